package jaystate

import (
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/process/jaylog"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
)

// Snapshot encodes the current table as the records of a snapshot. The ID, which
// its parts share, must be unique.
func (j *Jobs) Snapshot(id uint64, now time.Time) ([][]byte, error) {
	rows := j.wireRows()
	parts := max((len(rows)+rowsPerSnapshotPart-1)/rowsPerSnapshotPart, 1)
	records := make([][]byte, 0, parts)
	for p := range parts {
		w := wireSnapshot{ID: id, Part: p, Parts: parts, CoveredOffset: j.nextOffset, Millis: j.logTime, Rows: rows[p*rowsPerSnapshotPart : min((p+1)*rowsPerSnapshotPart, len(rows))]}
		b, err := encode(JobsStream, kindSnapshot, w)
		if err != nil {
			return nil, err
		}
		records = append(records, b)
	}
	return records, nil
}

// wireRows returns the rows in the order in which they were accepted.
func (j *Jobs) wireRows() []wireRow {
	ordered := make([]*Row, 0, len(j.rows))
	for _, r := range j.rows {
		ordered = append(ordered, r)
	}
	sort.Slice(ordered, func(a, b int) bool { return ordered[a].sequence < ordered[b].sequence })
	rows := make([]wireRow, 0, len(ordered))
	for _, r := range ordered {
		w := wireRow{OwnsKey: r.ownsKey, KeysExhausted: r.keysExhausted, Accepted: wireAccepted{Job: r.id, Owner: uint64(r.owner), Millis: r.acceptedAt.UnixMilli(), Digest: r.digest, Spec: jayframe.FromSpec(r.spec)}}
		if r.end != nil {
			w.Ended = &wireEnded{Job: r.id, Millis: r.end.at.UnixMilli(), Answers: r.end.answers, TooLong: r.end.tooLong}
			if r.end.refusal != nil {
				w.Ended.Code = string(r.end.refusal.Code())
				w.Ended.Outcome = string(r.end.refusal.Outcome())
				w.Ended.Message = r.end.refusal.Message()
			}
		}
		rows = append(rows, w)
	}
	return rows
}

// AddSnapshotPart collects the parts of snapshots. It implements
// Restorer.Snapshot.
func (j *Jobs) AddSnapshotPart(record jaylog.Record) (covers uint64, complete, isSnapshot bool) {
	e, err := decode(JobsStream, record.Data())
	if err != nil || e.Kind != kindSnapshot {
		return 0, false, false
	}
	var w wireSnapshot
	if decodeBody(JobsStream, e, &w) != nil {
		return 0, false, true
	}
	j.nextOffset = max(j.nextOffset, record.Offset()+1)
	parts := append(j.snapshotParts[w.ID], w)
	if len(parts) < w.Parts {
		j.snapshotParts[w.ID] = parts
		return w.CoveredOffset, false, true
	}
	j.snapshotParts = map[uint64][]wireSnapshot{}
	j.completeSnapshot = parts
	return w.CoveredOffset, true, true
}

// LoadSnapshot replaces the table by the last complete snapshot. It implements
// Restorer.Load.
func (j *Jobs) LoadSnapshot() {
	parts := j.completeSnapshot
	j.completeSnapshot = nil
	j.clear()
	for p := range parts {
		for _, w := range parts {
			if w.Part == p {
				j.loadPart(w)
			}
		}
	}
}

func (j *Jobs) loadPart(w wireSnapshot) {
	j.logTime = max(j.logTime, w.Millis)
	for _, row := range w.Rows {
		spec, err := row.Accepted.Spec.Spec()
		if err != nil {
			j.corrupt++
			continue
		}
		r := &Row{id: row.Accepted.Job, spec: spec, digest: row.Accepted.Digest, owner: jayattempt.Incarnation(row.Accepted.Owner), acceptedAt: time.UnixMilli(row.Accepted.Millis), ownsKey: row.OwnsKey, keysExhausted: row.KeysExhausted}
		j.sequence++
		r.sequence = j.sequence
		j.rows[r.id] = r
		if r.ownsKey && spec.Key() != "" {
			j.assignKey(workspaceKey{spec.Workspace(), spec.Key()}, r.id)
		}
		if row.Ended != nil {
			r.end = decodeEnd(*row.Ended)
		}
		if !r.ownsKey || r.end != nil {
			j.scheduleExpiry(r, endMillis(row))
		}
	}
}

// endMillis returns when the row became final: when its claim failed or the job
// ended.
func endMillis(row wireRow) int64 {
	if !row.OwnsKey {
		return row.Accepted.Millis
	}
	return row.Ended.Millis
}
