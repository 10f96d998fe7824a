package jaycell

import (
	"fmt"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// The store bounds the size of a record, and a unit is one record with all its members. What a
// record may grow to follows from the job, so that a job whose records could outgrow the store is
// refused before it is stored. Names of runners and nodes are not known by then: a unit whose record
// outgrows the store all the same fails its job, and holds back no other.

// Sizes of the parts of a unit's record in bytes, at most.
const (
	unitHeadBytes = 64
	// memberHeadBytes and crashHeadBytes are those of a member and of a crash without the names of
	// runner and node.
	memberHeadBytes = 10
	crashHeadBytes  = 20
	failedRunBytes  = 5
	// namesBytes is allowed for the names of a runner and its node.
	namesBytes = 54
	// minCheckpointBytes is the space for a checkpoint that every unit has.
	minCheckpointBytes = 4 << 10
	// maxCheckpointBytes bounds a checkpoint where the store bounds none: each start carries it.
	maxCheckpointBytes = 1 << 20
	// crashesPerTask is how many crashes of runners under each task have space. A task under which
	// as many runners have crashed may be given up.
	crashesPerTask = 2
	// MaxUnitKeyBytes is the length of the longest key of a unit.
	MaxUnitKeyBytes = 48
)

// CheckStorable returns an InvalidError if a record of the job may outgrow max bytes, the largest
// value of a record under a unit's key. Zero means that there is no limit.
func CheckStorable(j *jaytask.Job, max int) error {
	if max == 0 {
		return nil
	}
	for i, s := range j.Steps {
		if n := unitBytes(s, j.Policy); n+minCheckpointBytes <= max {
			continue
		}
		if most := (max - minCheckpointBytes - unitBytes(jaytask.Step{}, j.Policy)) / bytesPerTask; s.Gang && most > 0 {
			return &jaytask.InvalidError{Field: fmt.Sprintf("step %d", i), Cause: fmt.Sprintf("a gang of %d tasks, at most %d can be stored", s.Count, most)}
		}
		return &jaytask.InvalidError{Field: fmt.Sprintf("step %d", i), Cause: fmt.Sprintf("its route allows %d attempts, more than can be stored", j.Policy.MaxAttempts)}
	}
	return nil
}

// bytesPerTask is the space for one task of a unit: for its crashes, or for its placement and
// the crashes before the last.
const bytesPerTask = crashesPerTask * (crashHeadBytes + namesBytes)

// unitBytes bounds the record of a unit of a step without its checkpoint.
func unitBytes(s jaytask.Step, p jaytask.Policy) int {
	n := min(s.Count, 1)
	if s.Gang {
		n = s.Count
	}
	return unitHeadBytes + failedRunBytes*p.MaxAttempts + bytesPerTask*n
}

// recordBytes bounds the unit's record with members on the given runners beside those it has.
func (u *unit) recordBytes(runners []*candidate) int {
	n := unitHeadBytes + failedRunBytes*len(u.failedRuns) + len(u.checkpoint)
	for _, pl := range u.placements {
		n += memberHeadBytes + len(pl.runner.id) + len(pl.runner.node)
	}
	for _, cand := range runners {
		n += memberHeadBytes + len(cand.runner.id) + len(cand.runner.node)
	}
	for _, x := range u.crashes {
		n += crashHeadBytes + len(x.Runner) + len(x.Node)
	}
	return n
}

// fitsRecord reports whether the unit can be stored with members on the runners.
func (c *Cell) fitsRecord(u *unit, runners []*candidate) bool {
	return c.settings.MaxRecordBytes == 0 || u.recordBytes(runners) <= c.settings.MaxRecordBytes
}

// failUnstorable fails the job of a unit whose record the store does not accept.
func (c *Cell) failUnstorable(u *unit, cause string) {
	if u.job.state.Ended() {
		return
	}
	u.reason = "cannot be stored: " + cause
	c.reportDecision(Decision{Job: u.job.spec.ID, Task: u.key(), Run: u.run, Event: "record", Outcome: "given up", Reason: u.reason, AgeMS: c.jobAgeMS(u.job)})
	if u.phase == phaseWaiting {
		u.phase = phaseFailed
	}
	c.endJob(u.job, jaytask.Failed)
}

// failOutgrown fails the jobs of the changed units that have outgrown their records: what has been
// stored of them is out of date, and no more can be.
func (c *Cell) failOutgrown() {
	var outgrown []*unit
	for u := range c.dirtyUnits {
		if !u.job.state.Ended() && !c.fitsRecord(u, nil) {
			outgrown = append(outgrown, u)
		}
	}
	sortByKey(outgrown)
	for _, u := range outgrown {
		c.failUnstorable(u, fmt.Sprintf("its record has grown to %d bytes, at most %d", u.recordBytes(nil), c.settings.MaxRecordBytes))
	}
}

// RejectRecords handles records of a batch that the store does not accept as they are. The jobs of
// their units fail, and what was placed with them is not started. It is called before
// ConfirmStored.
func (c *Cell) RejectRecords(keys []string, cause string) {
	for _, key := range keys {
		id, _, _, _, ok := parseUnitKey(key)
		if j := c.jobs[id]; ok && j != nil && j.units[key] != nil {
			c.failUnstorable(j.units[key], cause)
		}
	}
}

// setCheckpoint keeps the newest checkpoint of a unit, unless it is too large to be stored: the unit
// then resumes from the one before.
func (c *Cell) setCheckpoint(u *unit, checkpoint string) {
	if checkpoint == "" {
		return
	}
	most := maxCheckpointBytes
	if c.settings.MaxRecordBytes > 0 {
		most = max(c.settings.MaxRecordBytes-unitBytes(*u.spec(), u.job.spec.Policy), minCheckpointBytes)
	}
	if len(checkpoint) > most {
		c.reportDecision(Decision{Job: u.job.spec.ID, Task: u.key(), Run: u.run, Event: "checkpoint", Outcome: "ignored", Reason: fmt.Sprintf("too large to be stored: %d bytes, at most %d", len(checkpoint), most), AgeMS: c.jobAgeMS(u.job)})
		return
	}
	u.checkpoint = checkpoint
}
