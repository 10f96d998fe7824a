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
	// rerecordInterval is how often the manifest, jobs and members are written to
	// the log again. It must be well below the log's retention.
	rerecordInterval   = 5 * time.Minute
	announceRetryDelay = time.Second
)

// snapshotState tracks when this entry writes its next snapshots: dueAt, or earlier
// when enough records follow coveredOffset.
type snapshotState struct {
	coveredOffset uint64
	dueAt         time.Duration
	running       bool
}

// buildStreams sets up the followers and the appender of the log's streams.
func (e *Entry) buildStreams() {
	e.restorer = &jaystate.Restorer{
		Snapshot: e.jobTable.AddSnapshotPart,
		Load:     e.jobTable.LoadSnapshot,
		Apply:    e.applyJobRecord,
	}
	follow := func(stream string, apply func(jaylog.Record), gap func(from, to uint64)) *jaylog.Follower {
		return &jaylog.Follower{Stream: stream, Read: e.log.Read, Apply: apply, OnGap: gap, OnHealthChange: func(h jaylog.Health) { e.onLogHealthChange(stream, h) }}
	}
	e.followers = map[string]*jaylog.Follower{
		jaystate.ManifestStream: follow(jaystate.ManifestStream, e.onManifestRecord, func(from, to uint64) { e.onLogGap(jaystate.ManifestStream, from, to) }),
		jaystate.MembersStream:  follow(jaystate.MembersStream, e.onMemberRecord, func(from, to uint64) { e.onLogGap(jaystate.MembersStream, from, to) }),
		jaystate.JobsStream: follow(jaystate.JobsStream, e.onJobRecord, func(from, to uint64) {
			e.onLogGap(jaystate.JobsStream, from, to)
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

func (e *Entry) onLogHealthChange(stream string, h jaylog.Health) {
	e.recorder.Record(jaytimeline.LogHealthChanged, jaytimeline.Fields{Detail: stream + " " + h.String()})
	e.Logger.Warn().Str("stream", stream).Str("health", h.String()).Msg("log health changed")
}

func (e *Entry) onLogGap(stream string, from, to uint64) {
	e.counter(`jaystile_entry_log_gaps_total{stream="` + stream + `"}`).Inc()
	e.recorder.Record(jaytimeline.LogGap, jaytimeline.Fields{Detail: stream})
	e.Logger.Warn().Str("stream", stream).Uint64("from", from).Uint64("to", to).Msg("log retention removed records before they were read")
}

// onManifestRecord applies one record of the manifest stream.
func (e *Entry) onManifestRecord(r jaylog.Record) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	before := e.manifests.Version()
	verdict := e.manifests.Apply(r)
	if e.manifests.Version() > before {
		e.onManifestInForce()
		return
	}
	if verdict == jaystate.Superseded || verdict == jaystate.NotAManifest {
		e.recorder.Record(jaytimeline.ManifestRejected, jaytimeline.Fields{Detail: verdictNames[verdict]})
	}
}

var verdictNames = map[jaystate.Verdict]string{
	jaystate.NotAManifest: "record is not a manifest",
	jaystate.Superseded:   "base is not in force",
}

// onPeerManifest applies a manifest that another process has in force, if it is
// newer.
func (e *Entry) onPeerManifest(m *jayframe.Manifest) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.manifests.OfferFromPeer(m.Version, m.Source) {
		e.onManifestInForce()
	}
}

// onManifestInForce reconfigures the scheduler for a new manifest and sends the
// manifest to every agent.
func (e *Entry) onManifestInForce() {
	m := e.manifests.Current()
	e.recorder.Record(jaytimeline.ManifestInForce, jaytimeline.Fields{Detail: fmt.Sprintf("version %d", m.Version())})
	e.Logger.Info().Uint64("version", m.Version()).Msg("manifest in force")
	e.scheduler.Configure(m)
	e.replan()
	for _, agent := range e.linkedAgents() {
		e.sendManifest(agent)
	}
	e.signalDecide()
}

func (e *Entry) onMemberRecord(r jaylog.Record) {
	e.mutex.Lock()
	m, changed := e.members.Apply(r)
	follow := e.followEntry
	e.mutex.Unlock()
	if changed && follow != nil {
		follow(m.Link())
	}
}

// onJobRecord applies one record of the jobs stream, or buffers it until a snapshot
// has been read.
func (e *Entry) onJobRecord(r jaylog.Record) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.restorer.Process(r)
}

// applyJobRecord applies a record to the job table and notifies a pending claim.
func (e *Entry) applyJobRecord(r jaylog.Record) {
	row := e.jobTable.Apply(r)
	if row == nil {
		return
	}
	if c := e.pendingClaims[row.ID()]; c != nil {
		select {
		case c <- row:
		default:
		}
	}
	if refusal := e.abandonedClaims[row.ID()]; refusal != nil && row.End() == nil {
		// The append of an abandoned claim succeeded late.
		e.appendEnded(row.ID(), refusal, nil)
	}
	if row.End() != nil {
		delete(e.abandonedClaims, row.ID())
	}
	e.onOwnershipChange(row)
}

// announceLoop writes this entry to the members stream every rerecordInterval.
func (e *Entry) announceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		record, err := jaystate.EncodeMember(e.Settings.Name, e.incarnation, e.Settings.Link)
		if err == nil {
			_, err = e.log.Append(ctx, jaystate.MembersStream, [][]byte{record})
		}
		if err != nil {
			jaywork.Pause(ctx, announceRetryDelay+rand.N(announceRetryDelay))
			continue
		}
		jaywork.Pause(ctx, rerecordInterval+rand.N(rerecordInterval/5))
	}
}

// snapshotDue reports whether this entry should write snapshots, after a number of
// records or a time. Both are jittered so that entries do not write at once.
func (e *Entry) snapshotDue(now time.Duration) bool {
	if e.snapshots.running || e.followers[jaystate.JobsStream].Health() != jaylog.Healthy || e.restorer.NeedsSnapshot() {
		return false
	}
	if e.snapshots.dueAt == 0 {
		e.snapshots.dueAt = now + rerecordInterval/2 + rand.N(rerecordInterval/2)
	}
	enoughRecords := e.jobTable.NextOffset() >= e.snapshots.coveredOffset+uint64(e.Settings.SnapshotEvery)+uint64(rand.N(e.Settings.SnapshotEvery/10+1))
	if !enoughRecords && now < e.snapshots.dueAt {
		return false
	}
	e.snapshots.running = true
	return true
}

// writeSnapshots appends snapshots of the jobs and of the manifest in force.
func (e *Entry) writeSnapshots() {
	e.mutex.Lock()
	records, jobsErr := e.jobTable.Snapshot(uint64(e.ids.Next().Counter())^uint64(e.incarnation), time.Now())
	manifest, manifestErr := e.manifests.Snapshot(time.Now())
	coveredOffset := e.jobTable.NextOffset()
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
	e.snapshots.dueAt = e.now() + rerecordInterval + rand.N(rerecordInterval/5)
	e.snapshots.coveredOffset = coveredOffset
	if jobsErr != nil || manifestErr != nil {
		e.counter(`jaystile_entry_snapshot_failures_total`).Inc()
		return
	}
	e.counter(`jaystile_entry_snapshots_total`).Inc()
}
