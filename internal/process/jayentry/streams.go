package jayentry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/process/jaylog"
	"github.com/jaystile/jaystile/internal/process/jaystate"
	"github.com/jaystile/jaystile/internal/process/jaytimeline"
	"github.com/jaystile/jaystile/internal/process/jaywork"
)

const (
	// recordAgainEvery is how often the manifest and the members are recorded
	// anew; it must be well inside the log's retention.
	recordAgainEvery = 5 * time.Minute
	announceRetry    = time.Second
)

// snapshotState says when this entry writes the next snapshots.
type snapshotState struct {
	offset  uint64
	at      time.Duration
	running bool
}

// buildStreams connects the folds with the log.
func (e *Entry) buildStreams() {
	e.restorer = &jaystate.Restorer{
		Snapshot: e.jobsFold.AddSnapshotPart,
		Load:     e.jobsFold.LoadSnapshot,
		Apply:    e.applyJobRecord,
	}
	follow := func(stream string, apply func(jaylog.Record), gap func(from, to uint64)) *jaylog.Follower {
		return &jaylog.Follower{Stream: stream, Read: e.log.Read, Apply: apply, OnGap: gap, OnHealthChange: func(h jaylog.Health) { e.logChanged(stream, h) }}
	}
	e.follower = map[string]*jaylog.Follower{
		jaystate.ManifestStream: follow(jaystate.ManifestStream, e.onManifestRecord, func(from, to uint64) { e.logGap(jaystate.ManifestStream, from, to) }),
		jaystate.MembersStream:  follow(jaystate.MembersStream, e.onMemberRecord, func(from, to uint64) { e.logGap(jaystate.MembersStream, from, to) }),
		jaystate.JobsStream: follow(jaystate.JobsStream, e.onJobRecord, func(from, to uint64) {
			e.logGap(jaystate.JobsStream, from, to)
			e.mutex.Lock()
			defer e.mutex.Unlock()
			e.restorer.Gap(to)
		}),
	}
	e.appender = jaylog.NewAppender(jaystate.JobsStream)
	e.appender.Append = e.log.Append
	e.appender.OnAppend = func(records int, took time.Duration, err error) {
		e.counter(`jaystile_entry_log_appends_total`).Inc()
		e.counter(`jaystile_entry_log_records_total`).Add(records)
		e.metrics.GetOrCreateHistogram(`jaystile_entry_log_append_seconds`).Update(took.Seconds())
		if err != nil {
			e.counter(`jaystile_entry_log_append_failures_total`).Inc()
		}
	}
}

func (e *Entry) logChanged(stream string, h jaylog.Health) {
	e.recorder.Record(jaytimeline.LogHealthChanged, jaytimeline.Fields{Detail: stream + " " + h.String()})
	e.Logger.Warn().Str("stream", stream).Str("health", h.String()).Msg("state of the log changed")
}

func (e *Entry) logGap(stream string, from, to uint64) {
	e.counter(`jaystile_entry_log_gaps_total{stream="` + stream + `"}`).Inc()
	e.recorder.Record(jaytimeline.LogGap, jaytimeline.Fields{Detail: stream})
	e.Logger.Warn().Str("stream", stream).Uint64("from", from).Uint64("to", to).Msg("retention has overtaken the reader")
}

// onManifestRecord folds one record of the manifest stream.
func (e *Entry) onManifestRecord(r jaylog.Record) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	before := e.manifests.Version()
	verdict := e.manifests.Apply(r)
	if e.manifests.Version() > before {
		e.manifestInForce()
		return
	}
	if verdict == jaystate.Superseded || verdict == jaystate.NotAManifest {
		e.recorder.Record(jaytimeline.ManifestRejected, jaytimeline.Fields{Detail: verdictNames[verdict]})
	}
}

var verdictNames = map[jaystate.Verdict]string{
	jaystate.NotAManifest: "record is no manifest",
	jaystate.Superseded:   "base is not in force",
}

// onPeerManifest takes a manifest that another process has in force.
func (e *Entry) onPeerManifest(m *jayframe.Manifest) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.manifests.Offer(m.Version, m.Source) {
		e.manifestInForce()
	}
}

// manifestInForce acts on a new manifest and spreads it to every side at once.
func (e *Entry) manifestInForce() {
	m := e.manifests.Current()
	e.recorder.Record(jaytimeline.ManifestInForce, jaytimeline.Fields{Detail: fmt.Sprintf("version %d", m.Version())})
	e.Logger.Info().Uint64("version", m.Version()).Msg("manifest in force")
	e.scheduler.Configure(m)
	e.replan()
	for _, s := range e.linkedSides() {
		e.sendManifest(s)
	}
	e.kick()
}

func (e *Entry) onMemberRecord(r jaylog.Record) {
	e.mutex.Lock()
	m, changed := e.members.Apply(r)
	follow := e.follow
	e.mutex.Unlock()
	if changed && follow != nil {
		follow(m.Link())
	}
}

// onJobRecord folds one record of the jobs stream.
func (e *Entry) onJobRecord(r jaylog.Record) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.restorer.Process(r)
}

// applyJobRecord folds a record and tells whoever waits for it.
func (e *Entry) applyJobRecord(r jaylog.Record) {
	row := e.jobsFold.Apply(r)
	if row == nil {
		return
	}
	if c := e.claims[row.ID()]; c != nil {
		select {
		case c <- row:
		default:
		}
	}
	if refusal := e.abandoned[row.ID()]; refusal != nil && row.End() == nil {
		// The record of an abandoned claim has arrived after all.
		e.postEnded(row.ID(), refusal, nil)
	}
	if row.End() != nil {
		delete(e.abandoned, row.ID())
	}
	e.ownershipChanged(row)
}

// announceLoop records this entry in the members stream, now and then anew.
func (e *Entry) announceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		record, err := jaystate.EncodeMember(e.Settings.Name, e.incarnation, e.Settings.Link)
		if err == nil {
			_, err = e.log.Append(ctx, jaystate.MembersStream, [][]byte{record})
		}
		if err != nil {
			jaywork.Pause(ctx, announceRetry+rand.N(announceRetry))
			continue
		}
		jaywork.Pause(ctx, recordAgainEvery+rand.N(recordAgainEvery/5))
	}
}

// snapshotDue reports whether this entry should record the state anew: after a
// number of records, or after a time. Jitter lets one entry come first, whose
// snapshot the others then count from.
func (e *Entry) snapshotDue(now time.Duration) bool {
	if e.snapshots.running || e.follower[jaystate.JobsStream].Health() != jaylog.Healthy || e.restorer.NeedsSnapshot() {
		return false
	}
	if e.snapshots.at == 0 {
		e.snapshots.at = now + recordAgainEvery/2 + rand.N(recordAgainEvery/2)
	}
	many := e.jobsFold.Next() >= e.snapshots.offset+uint64(e.Settings.SnapshotEvery)+uint64(rand.N(e.Settings.SnapshotEvery/10+1))
	if !many && now < e.snapshots.at {
		return false
	}
	e.snapshots.running = true
	return true
}

// writeSnapshots records the manifest in force and the jobs anew.
func (e *Entry) writeSnapshots() {
	e.mutex.Lock()
	records, jobsErr := e.jobsFold.Snapshot(uint64(e.source.Next().Counter())^uint64(e.incarnation), time.Now())
	manifest, manifestErr := e.manifests.Snapshot(time.Now())
	covers := e.jobsFold.Next()
	e.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if jobsErr == nil {
		_, jobsErr = e.log.Append(ctx, jaystate.JobsStream, records)
	}
	if manifestErr == nil && manifest != nil {
		_, manifestErr = e.log.Append(ctx, jaystate.ManifestStream, [][]byte{manifest})
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.snapshots.running = false
	e.snapshots.at = e.now() + recordAgainEvery + rand.N(recordAgainEvery/5)
	e.snapshots.offset = covers
	if jobsErr != nil || manifestErr != nil {
		e.counter(`jaystile_entry_snapshot_failures_total`).Inc()
		return
	}
	e.counter(`jaystile_entry_snapshots_total`).Inc()
}
