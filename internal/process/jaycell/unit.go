package jaycell

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// phase is how far a unit is.
type phase uint8

const (
	phaseWaiting phase = iota
	phaseActive
	phaseDone
	phaseFailed
)

// unit is what starts and ends as one: a gang, or a single task.
type unit struct {
	job *job
	// name is the key of the unit's record.
	name       string
	occurrence int
	step       int
	firstIndex int
	count      int

	phase phase
	// run numbers the starts; it rises over all terms.
	run        int
	checkpoint string
	// live holds the members of the current run that may still run.
	placements []*placement
	// failedRuns lists the runs that ended as failed, each once.
	failedRuns []int
	// stopping tells that the current run has been told to stop.
	stopping bool
	// notBefore delays the next start after a run that could not begin.
	notBefore time.Duration
	// avoid names runners on which the unit's runs failed or stalled, and until
	// when they are avoided.
	avoidUntil map[string]time.Duration
	// claims is room that stops are making for the unit, by runner.
	claims map[string]jaytask.Resources
	// claimedAt is when the stops were ordered.
	claimedAt time.Duration
	reason    string
	// spread is whether the gang was wider than every rack at spreadAt.
	spansRacks   bool
	spansRacksAt time.Duration
}

func (u *unit) spec() *jaytask.Step { return &u.job.spec.Steps[u.step] }

// waits reports whether the unit may be started now.
func (u *unit) startable(now time.Duration) bool {
	return u.phase == phaseWaiting && now >= u.notBefore
}

// exhausted reports whether no further run may begin.
func (u *unit) exhausted() bool {
	return !u.spec().Daemon && len(u.failedRuns) >= max(u.job.spec.Policy.MaxAttempts, 1)
}

// avoidRunner keeps the unit from a runner for a while.
func (u *unit) avoidRunner(id string, until time.Duration) {
	if u.avoidUntil == nil {
		u.avoidUntil = map[string]time.Duration{}
	}
	u.avoidUntil[id] = until
}

// key names the unit's record.
func (u *unit) key() string { return u.name }

// makeKey returns the job, the occurrence, the step, and for a single task its
// index.
func (u *unit) makeKey() string {
	k := stepName(u.job.spec.ID, u.occurrence, u.step)
	if u.spec().Gang {
		return k
	}
	return k + "." + strconv.Itoa(u.firstIndex)
}

// stepName identifies one occurrence of a job's step.
func stepName(job string, occurrence, step int) string {
	return fmt.Sprintf("%s.%d.%d", job, occurrence, step)
}

// TaskName identifies one task over all processes.
func TaskName(job string, occurrence, step, index int) string {
	return stepName(job, occurrence, step) + "." + strconv.Itoa(index)
}

// parseTask splits a task's name.
func parseTaskName(name string) (job string, occurrence, step, index int, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, 0, 0, false
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return "", 0, 0, 0, false
		}
		n[i] = v
	}
	return parts[0], n[0], n[1], n[2], true
}

type memberRecord struct {
	_      struct{} `cbor:",toarray"`
	Index  int
	Runner string
	Node   string
}

type unitRecord struct {
	_       struct{} `cbor:",toarray"`
	Phase   uint8
	Run     int
	Failed  []int
	Saved   string
	Members []memberRecord
}

// record returns what a successor must know of the unit.
func (u *unit) record() Record {
	r := unitRecord{Phase: uint8(u.phase), Run: u.run, Failed: u.failedRuns, Saved: u.checkpoint}
	for _, pl := range u.placements {
		r.Members = append(r.Members, memberRecord{Index: pl.index, Runner: pl.runner.id, Node: pl.runner.node})
	}
	b, err := cbor.Marshal(r)
	if err != nil {
		panic(fmt.Errorf("encode unit %s: %w", u.key(), err))
	}
	return Record{Key: u.key(), Value: b}
}

// hold is one member of a run on one runner.
type placement struct {
	unit      *unit
	name      string
	run       int
	index     int
	runner    *Runner
	resources jaytask.Resources
	// committed tells that the record of the run is stored, so that the order may
	// be sent.
	committed bool
	// confirmed tells that the runner has begun the run.
	confirmed   bool
	confirmedAt time.Duration
	stopOrdered bool
	// sentAt is when the latest order was sent.
	orderSentAt time.Duration
	// percent is the progress and changedAt when it last moved.
	percent      int
	firstPercent int
	progressAt   time.Duration
	checkpoint   string
	// load is what the runner reports: the tail latency of a task that serves, in
	// milliseconds.
	load int
	// share is the pace that was ordered last, in percent, pacedAt when it changed
	// and paceAt when it was last sent, zero before the first.
	share          int
	shareChangedAt time.Duration
	shareSentAt    time.Duration
}

// newHold returns a member of a unit's current run.
func newPlacement(u *unit, index int, r *Runner, now time.Duration) *placement {
	return &placement{unit: u, name: TaskName(u.job.spec.ID, u.occurrence, u.step, index), run: u.run, index: index, runner: r, resources: u.spec().Allocation(), progressAt: now, share: fullShare}
}

// fullShare is the share of its speed, in percent, at which a run begins.
const fullShare = 100

func (pl *placement) task() string { return pl.name }

// job is a job that has not ended, with its units.
type job struct {
	spec     *jaytask.Job
	state    jaytask.State
	canceled bool
	// units by their keys, created when their turn comes; table holds them by
	// occurrence, step and index.
	units     map[string]*unit
	unitTable [][][]*unit
	// undone counts the units of each occurrence and step that are not done.
	remaining      [][]int
	unitsCreated   [][]bool
	remainingUnits int
	endedAt        time.Duration
	started        bool
	// advised is what is known of the runners of steps that need tickets, by
	// occurrence and step.
	advice map[[2]int]*stepAdvice
	// objective is how long the job may take to be on time, as of objectiveAt.
	objective           time.Duration
	objectiveComputedAt time.Duration
	// measured is how long the tasks of a step take, as the job's own runs show.
	measuredRunTimes map[int]time.Duration
	// lateGuarantee tells that a missed guarantee has been reported.
	guaranteeMissReported bool
}

func newJob(spec *jaytask.Job) *job {
	j := &job{spec: spec, state: jaytask.Queued, units: map[string]*unit{}}
	for k := 0; k < spec.Occurrences(); k++ {
		undone := make([]int, len(spec.Steps))
		for i, s := range spec.Steps {
			undone[i] = unitCount(s)
			j.remainingUnits += undone[i]
		}
		j.remaining = append(j.remaining, undone)
		j.unitTable = append(j.unitTable, make([][]*unit, len(spec.Steps)))
		j.unitsCreated = append(j.unitsCreated, make([]bool, len(spec.Steps)))
	}
	return j
}

func unitCount(s jaytask.Step) int {
	if s.Gang {
		return 1
	}
	return s.Count
}

// unitOf returns the unit that holds a task, making it when it is new.
func (j *job) unitFor(occurrence, step, index int) *unit {
	if occurrence >= j.spec.Occurrences() || step >= len(j.spec.Steps) || index >= j.spec.Steps[step].Count {
		return nil
	}
	s := &j.spec.Steps[step]
	if s.Gang {
		index = 0
	}
	if j.unitTable[occurrence][step] == nil {
		j.unitTable[occurrence][step] = make([]*unit, unitCount(*s))
	}
	at := &j.unitTable[occurrence][step][index]
	if *at == nil {
		u := &unit{job: j, occurrence: occurrence, step: step, firstIndex: index, count: 1}
		if s.Gang {
			u.count = s.Count
		}
		u.name = u.makeKey()
		*at, j.units[u.name] = u, u
	}
	return *at
}

// ready reports whether the steps that a step waits for are done.
func (j *job) dependenciesDone(occurrence, step int) bool {
	for _, a := range j.spec.Steps[step].After {
		if j.remaining[occurrence][a] > 0 {
			return false
		}
	}
	return true
}

// open makes the units whose turn has come.
func (j *job) createReadyUnits(now time.Time) {
	for k := range j.remaining {
		if due := j.spec.Due(k); !due.IsZero() && now.Before(due) {
			break
		}
		for i := range j.spec.Steps {
			if j.unitsCreated[k][i] || !j.dependenciesDone(k, i) {
				continue
			}
			j.unitsCreated[k][i] = true
			for n := 0; n < unitCount(j.spec.Steps[i]); n++ {
				j.unitFor(k, i, n)
			}
		}
	}
}
