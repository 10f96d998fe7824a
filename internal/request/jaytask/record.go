package jaytask

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// RecordError reports a stored record that cannot be decoded.
type RecordError struct {
	What  string
	Cause error
}

// Error implements error.
func (e *RecordError) Error() string { return "unreadable " + e.What + " record: " + e.Cause.Error() }

// Unwrap returns the decoding error.
func (e *RecordError) Unwrap() error { return e.Cause }

type stepRecord struct {
	_              struct{} `cbor:",toarray"`
	Count          int
	CPU            int
	Memory         int
	Accelerators   int
	Estimate       int64
	After          []int
	Flags          uint8
	Label          string
	DataRack       string
	MaxPerRunner   int
	Image          string
	LatencyTarget  int64
	MaxUnavailable int
}

// Flags of a stepRecord.
const (
	flagCheckpoint = 1 << iota
	flagGang
	flagSameRack
	flagSpeculative
	flagDaemon
	flagBestEffort
)

type jobRecord struct {
	_                struct{} `cbor:",toarray"`
	Spec             string
	Steps            []stepRecord
	Route            string
	Service          string
	Workspace        string
	Priority         int
	MaxAttempts      int
	Stretch          float64
	Objective        int64
	Accepted         int64
	TimedOccurrences int
	Start            int64
	Period           int64
}

// EncodeJob encodes a job for the store. The ID is left out since it is part of the
// record's key.
func EncodeJob(j *Job) ([]byte, error) {
	r := jobRecord{
		Spec: j.Spec, Route: j.Policy.Route, Service: j.Policy.Service, Workspace: j.Policy.Workspace, Priority: j.Policy.Priority,
		MaxAttempts: j.Policy.MaxAttempts, Stretch: j.Policy.Stretch, Objective: int64(j.Policy.Objective), Accepted: j.Accepted.UnixMilli(),
		TimedOccurrences: j.TimedOccurrences, Start: j.Start.UnixMilli(), Period: int64(j.Period), Steps: make([]stepRecord, len(j.Steps)),
	}
	for i, s := range j.Steps {
		r.Steps[i] = stepRecord{
			Count: s.Count, CPU: s.Resources.CPU, Memory: s.Resources.Memory, Accelerators: s.Resources.Accelerators, Estimate: int64(s.Estimate),
			After: s.After, Flags: s.flags(), Label: s.Label, DataRack: s.DataRack, MaxPerRunner: s.MaxPerRunner,
			Image: s.Image, LatencyTarget: int64(s.LatencyTarget), MaxUnavailable: s.MaxUnavailable,
		}
	}
	b, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode job %s: %w", j.ID, err)
	}
	return b, nil
}

func (s Step) flags() uint8 {
	var f uint8
	for i, set := range []bool{s.Checkpoint, s.Gang, s.SameRack, s.Speculative, s.Daemon, s.BestEffort} {
		if set {
			f |= 1 << i
		}
	}
	return f
}

// DecodeJob decodes and validates a stored job.
func DecodeJob(id string, b []byte) (*Job, error) {
	var r jobRecord
	if err := cbor.Unmarshal(b, &r); err != nil {
		return nil, &RecordError{What: "job", Cause: err}
	}
	j := &Job{
		ID: id, Spec: r.Spec, Accepted: time.UnixMilli(r.Accepted), TimedOccurrences: r.TimedOccurrences, Start: time.UnixMilli(r.Start), Period: time.Duration(r.Period),
		Policy: Policy{Route: r.Route, Service: r.Service, Workspace: r.Workspace, Priority: r.Priority, MaxAttempts: r.MaxAttempts, Stretch: r.Stretch, Objective: time.Duration(r.Objective)},
		Steps:  make([]Step, len(r.Steps)),
	}
	for i, s := range r.Steps {
		j.Steps[i] = Step{
			Count: s.Count, Resources: Resources{CPU: s.CPU, Memory: s.Memory, Accelerators: s.Accelerators}, Estimate: time.Duration(s.Estimate), After: DistinctSteps(s.After),
			Checkpoint: s.Flags&flagCheckpoint != 0, Gang: s.Flags&flagGang != 0, SameRack: s.Flags&flagSameRack != 0,
			Speculative: s.Flags&flagSpeculative != 0, Daemon: s.Flags&flagDaemon != 0, BestEffort: s.Flags&flagBestEffort != 0,
			Label: s.Label, DataRack: s.DataRack, MaxPerRunner: s.MaxPerRunner, Image: s.Image, LatencyTarget: time.Duration(s.LatencyTarget), MaxUnavailable: s.MaxUnavailable,
		}
	}
	if err := j.Validate(); err != nil {
		return nil, &RecordError{What: "job", Cause: err}
	}
	return j, nil
}
