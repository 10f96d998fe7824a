package jaycell

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// phase is the state of a unit. Its values are stored.
type phase uint8

const (
	phaseWaiting phase = iota
	phaseActive
	phaseDone
	phaseFailed
)

// unit is what starts and ends as one: a gang or a single task.
type unit struct {
	job *job
	// name is the unit's record key.
	name       string
	occurrence int
	step       int
	// The unit consists of count tasks of its step, from index firstIndex on.
	firstIndex int
	count      int

	phase phase
	// run is the number of the latest run; it increases over all terms.
	run        int
	checkpoint string
	// placements holds the members of the current run that may still be running.
	placements []*placement
	// failedRuns lists the numbers of the runs that failed, each once.
	failedRuns []int
	// crashes holds the crashes of runners under the unit's tasks that nothing has made up
	// for. clearedRuns holds, by task index, the highest run whose crash does not count.
	crashes     []taskCrash
	clearedRuns map[int]int
	// trialWantedAt is since when a suspect waits for runners on which it may be tried,
	// zero if it does not.
	trialWantedAt time.Duration
	// stopping reports that the current run is being stopped.
	stopping bool
	// notBefore delays the next start after a run that could not start.
	notBefore time.Duration
	// avoidUntil maps the runners on which the unit failed, stalled or was refused to
	// the time until which they are avoided.
	avoidUntil map[string]time.Duration
	// claims holds the resources that preemption is freeing for the unit, by runner.
	claims map[string]jaytask.Resources
	// claimedAt is when the preemption was ordered.
	claimedAt time.Duration
	// yields reports that nothing was stopped for the claims, so that they are made anew in
	// each round and units before this one may take the room.
	yields bool
	// awaited holds the runs that the unit waits for without having them stopped,
	// awaitingSince is when it began to, zero if it does not.
	awaited       []awaitedRun
	awaitingSince time.Duration
	// idle is the idle wait of a daemon task.
	idle idleWait
	// reason is why the unit's run was last stopped or refused.
	reason string
	// spansRacks caches whether the gang is larger than every rack, as of
	// spansRacksAt.
	spansRacks   bool
	spansRacksAt time.Duration
}

func (u *unit) spec() *jaytask.Step { return &u.job.spec.Steps[u.step] }

// startable reports whether the unit may start now.
func (u *unit) startable(now time.Duration) bool {
	return u.phase == phaseWaiting && now >= u.notBefore
}

// sortByKey sorts units by their record keys.
func sortByKey(units []*unit) {
	slices.SortFunc(units, func(a, b *unit) int { return strings.Compare(a.key(), b.key()) })
}

// startable returns those of a step's units that may start now.
func startable(units []*unit, now time.Duration) []*unit {
	var all []*unit
	for _, u := range units {
		if u != nil && u.startable(now) {
			all = append(all, u)
		}
	}
	return all
}

// countPhase counts the units in a phase.
func countPhase(units []*unit, p phase) int {
	n := 0
	for _, u := range units {
		if u != nil && u.phase == p {
			n++
		}
	}
	return n
}

func countActive(units []*unit) int { return countPhase(units, phaseActive) }

// exhausted reports whether the unit has used up its attempts.
func (u *unit) exhausted() bool {
	return !u.spec().Daemon && len(u.failedRuns) >= max(u.job.spec.Policy.MaxAttempts, 1)
}

// avoidRunner makes the unit avoid a runner until the given time.
func (u *unit) avoidRunner(id string, until time.Duration) {
	if u.avoidUntil == nil {
		u.avoidUntil = map[string]time.Duration{}
	}
	u.avoidUntil[id] = until
}

// key returns the unit's record key.
func (u *unit) key() string { return u.name }

// makeKey builds the record key from job, occurrence and step, and for a single
// task its index.
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

// TaskName returns the name by which all processes identify a task.
func TaskName(job string, occurrence, step, index int) string {
	return stepName(job, occurrence, step) + "." + strconv.Itoa(index)
}

// parseTaskName parses the output of TaskName.
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

// parseUnitKey parses the output of makeKey. That of a gang has no task index.
func parseUnitKey(key string) (job string, occurrence, step, index int, ok bool) {
	if job, occurrence, step, index, ok = parseTaskName(key); ok {
		return job, occurrence, step, index, true
	}
	return parseTaskName(key + ".0")
}

type memberRecord struct {
	_      struct{} `cbor:",toarray"`
	Index  int
	Runner string
	Node   string
}

type unitRecord struct {
	_          struct{} `cbor:",toarray"`
	Phase      uint8
	Run        int
	FailedRuns []int
	Checkpoint string
	Members    []memberRecord
}

// crashedUnitRecord is the record of a unit with crashes. Others keep the form that earlier
// versions can read.
type crashedUnitRecord struct {
	_          struct{} `cbor:",toarray"`
	Phase      uint8
	Run        int
	FailedRuns []int
	Checkpoint string
	Members    []memberRecord
	Crashes    []taskCrash
}

// decodeUnitRecord decodes both forms of a unit's record.
func decodeUnitRecord(b []byte) (crashedUnitRecord, error) {
	var r crashedUnitRecord
	if err := cbor.Unmarshal(b, &r); err == nil {
		return r, nil
	}
	var plain unitRecord
	err := cbor.Unmarshal(b, &plain)
	return crashedUnitRecord{Phase: plain.Phase, Run: plain.Run, FailedRuns: plain.FailedRuns, Checkpoint: plain.Checkpoint, Members: plain.Members}, err
}

// record returns the record from which the next leader restores the unit. Of the units of an ended
// job, only where their members may still run matters.
func (u *unit) record() Record {
	r := unitRecord{Phase: uint8(u.phase), Run: u.run}
	ended := u.job.state.Ended()
	if !ended {
		r.FailedRuns, r.Checkpoint = u.failedRuns, u.checkpoint
	}
	for _, pl := range u.placements {
		r.Members = append(r.Members, memberRecord{Index: pl.index, Runner: pl.runner.id, Node: pl.runner.node})
	}
	var record any = r
	if len(u.crashes) > 0 && !ended {
		record = crashedUnitRecord{Phase: r.Phase, Run: r.Run, FailedRuns: r.FailedRuns, Checkpoint: r.Checkpoint, Members: r.Members, Crashes: u.crashes}
	}
	b, err := cbor.Marshal(record)
	if err != nil {
		panic(fmt.Errorf("encode unit %s: %w", u.key(), err))
	}
	return Record{Key: u.key(), Value: b}
}

// placement is one member of a run on a runner.
type placement struct {
	unit      *unit
	name      string
	run       int
	index     int
	runner    *Runner
	resources jaytask.Resources
	// capacity is that of the runner when the placement was decided.
	capacity jaytask.Resources
	// committed reports that the run is stored, so that its start may be sent.
	committed bool
	// restored reports that an earlier term has placed the run, so that it may have run
	// for long when it is confirmed.
	restored bool
	// confirmed reports that the runner has started the run.
	confirmed   bool
	confirmedAt time.Duration
	stopOrdered bool
	// orderSentAt is when the latest order was sent.
	orderSentAt time.Duration
	// percent is the progress, firstPercent its first reported value, and progressAt
	// when it last changed.
	percent      int
	firstPercent int
	progressAt   time.Duration
	checkpoint   string
	// load is the latest Run.Load.
	load int
	// share is the CPU share last ordered, in percent, shareChangedAt when it changed
	// and shareSentAt when it was last sent, zero before the first order.
	share          int
	shareChangedAt time.Duration
	shareSentAt    time.Duration
}

// newPlacement returns a placement of a unit's current run.
func newPlacement(u *unit, index int, r *Runner, now time.Duration) *placement {
	return &placement{unit: u, name: TaskName(u.job.spec.ID, u.occurrence, u.step, index), run: u.run, index: index, runner: r, resources: u.spec().Allocation(), capacity: r.info.Capacity, progressAt: now, share: fullShare}
}

// fullShare is the CPU share of a run that is not throttled, in percent.
const fullShare = 100

func (pl *placement) task() string { return pl.name }

// job is a job with its units, until Settings.Retention after its end.
type job struct {
	spec     *jaytask.Job
	state    jaytask.State
	canceled bool
	// units holds the units by key. They are created when their step becomes ready.
	// unitTable holds them by occurrence, step and index.
	units     map[string]*unit
	unitTable [][][]*unit
	// remaining counts the units that are not done, by occurrence and step;
	// remainingUnits is their sum.
	remaining      [][]int
	unitsCreated   [][]bool
	remainingUnits int
	endedAt        time.Duration
	started        bool
	// advice holds the advice for steps that need tickets, by occurrence and step.
	advice map[[2]int]*stepAdvice
	// objective caches Cell.objective, as of objectiveComputedAt.
	objective           time.Duration
	objectiveComputedAt time.Duration
	// measuredRunTimes holds run times extrapolated from the progress of the job's own
	// runs, by step.
	measuredRunTimes map[int]time.Duration
	// paths caches Cell.remainingPaths, as of pathsVersion.
	paths        []time.Duration
	pathsVersion uint64
	// healthy is set once a run of the job has worked for a while; suspects holds the
	// runners on which runs failed at once before.
	healthy  bool
	suspects map[*Runner]bool
	// idle holds the idle waits of the steps other than daemon steps, by occurrence and step.
	idle map[[2]int]*idleWait
	// guaranteeMissReported is set once a missed guarantee has been reported.
	guaranteeMissReported bool
}

func newJob(spec *jaytask.Job) *job {
	j := &job{spec: spec, state: jaytask.Queued, units: map[string]*unit{}, idle: map[[2]int]*idleWait{}}
	for k := 0; k < spec.Occurrences(); k++ {
		remaining := make([]int, len(spec.Steps))
		for i, s := range spec.Steps {
			remaining[i] = unitCount(s)
			j.remainingUnits += remaining[i]
		}
		j.remaining = append(j.remaining, remaining)
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

// unitSize returns the number of tasks of each unit of a step.
func unitSize(s jaytask.Step) int {
	if s.Gang {
		return s.Count
	}
	return 1
}

// isOver reports whether nothing of the job is to start any more.
func (j *job) isOver() bool { return j.canceled || j.state.Ended() }

// unitFor returns the unit of a task and creates it if necessary. It returns nil if
// the job has no such task.
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
	slot := &j.unitTable[occurrence][step][index]
	if *slot == nil {
		u := &unit{job: j, occurrence: occurrence, step: step, firstIndex: index, count: unitSize(*s)}
		u.name = u.makeKey()
		*slot, j.units[u.name] = u, u
	}
	return *slot
}

// dependenciesDone reports whether the steps that a step depends on are done.
func (j *job) dependenciesDone(occurrence, step int) bool {
	for _, a := range j.spec.Steps[step].After {
		if j.remaining[occurrence][a] > 0 {
			return false
		}
	}
	return true
}

// createReadyUnits creates the units of all steps that are due and whose
// dependencies are done.
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
