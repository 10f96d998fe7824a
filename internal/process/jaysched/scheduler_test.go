package jaysched

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jaystile/jaystile/internal/process/jaypool"
	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/internal/version/jaymanifest"
)

func shapeOf(t rapid.TB, members, accelerators int, locality jayjob.Locality) jayjob.Shape {
	s, err := jayjob.NewShape(members, accelerators, locality)
	assert.NilError(t, err)
	return s
}

func pool(workers int) *jaypool.Pool {
	p := jaypool.New()
	for i := range workers {
		p.Add(fmt.Sprintf("w%d", i), jaypool.NewLocation("dc", fmt.Sprintf("r%d", i/2), "c"), 4)
	}
	return p
}

// scheduler returns a scheduler over a pool with a guarantee of the shape for
// workspace "a".
func scheduler(t rapid.TB, workers int, guaranteed jayjob.Shape) *Scheduler {
	d := jaymanifest.Draft{Deployment: "t", Weights: jaymanifest.NewWeights(1, 1), Workspaces: []jaymanifest.DraftWorkspace{
		{Name: "a", Key: jaymanifest.DeterministicCredential("a"), Share: 1, Guarantees: []jaymanifest.Guarantee{jaymanifest.NewGuarantee("a", "g", guaranteed)}},
		{Name: "b", Key: jaymanifest.DeterministicCredential("b"), Share: 1, Quota: 100},
	}}
	b, err := d.Encode()
	assert.NilError(t, err)
	m, err := jaymanifest.Parse(b)
	assert.NilError(t, err)
	s := New(pool(workers))
	s.Configure(m.WithVersion(1))
	return s
}

func spec(t rapid.TB, f jayjob.Fields) jayjob.Spec {
	if f.Kind == "" {
		f.Kind = "k"
	}
	if !f.Idempotent {
		f.Key = "key"
	}
	s, err := jayjob.New(f)
	assert.NilError(t, err)
	return s
}

// TestReclaimPreemptsBorrowedAccelerators fills the pool with small jobs of another
// workspace and then reclaims the adjacent accelerators of the guarantee.
func TestReclaimPreemptsBorrowedAccelerators(t *testing.T) {
	s := scheduler(t, 4, shapeOf(t, 2, 4, jayjob.SameRack))
	quote := spec(t, jayjob.Fields{Workspace: "b", Class: jayjob.Urgent, Shape: shapeOf(t, 1, 1, jayjob.Anywhere), Idempotent: true, Runtime: time.Hour})
	for i := range 16 {
		assert.NilError(t, s.Submit(NewJob(fmt.Sprint(i), quote, 0)))
	}
	assert.Equal(t, len(s.Decide(0)), 16)
	assert.Equal(t, s.Pool().Free(), 0)
	replan := spec(t, jayjob.Fields{Workspace: "a", Class: jayjob.Standard, Shape: shapeOf(t, 2, 4, jayjob.SameRack), Idempotent: true})
	assert.NilError(t, s.Submit(NewJob("replan", replan, 0)))
	d := s.Decide(time.Second)
	assert.Equal(t, len(d), 1)
	assert.Equal(t, d[0].Reason().Cause(), PlacedByReclaim)
	assert.Equal(t, len(d[0].Victims()), 8)
	assert.Equal(t, len(d[0].Placements()), 2)
}

// TestGuaranteeIsReclaimableAfterAnyDecisions starts and ends random jobs of
// another workspace, then submits a job for the whole guarantee: it must start at
// once.
func TestGuaranteeIsReclaimableAfterAnyDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		locality := jayjob.Locality(rapid.IntRange(0, 3).Draw(t, "near"))
		members := rapid.IntRange(1, 3).Draw(t, "members")
		accelerators := rapid.IntRange(1, 4).Draw(t, "accelerators")
		s := scheduler(t, 4, shapeOf(t, members, accelerators, locality))
		if len(s.Plan().Unmet()) > 0 {
			t.Skip("the guarantee does not fit")
		}
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 25).Draw(t, "steps") {
			now += time.Second
			if ids := runningIDs(s); len(ids) > 0 && rapid.Bool().Draw(t, "end") {
				s.Finish(rapid.SampledFrom(ids).Draw(t, "job"), time.Second)
			}
			j := spec(t, jayjob.Fields{
				Workspace:     "b",
				Class:         jayjob.Class(rapid.IntRange(0, 2).Draw(t, "class")),
				Shape:         shapeOf(t, rapid.IntRange(1, 3).Draw(t, "m"), rapid.IntRange(1, 4).Draw(t, "n"), jayjob.Locality(rapid.IntRange(0, 3).Draw(t, "at"))),
				Idempotent:    rapid.Bool().Draw(t, "idempotent"),
				Checkpointing: rapid.Bool().Draw(t, "checkpointing"),
				Runtime:       time.Duration(rapid.IntRange(1, 100).Draw(t, "runtime")) * time.Second,
			})
			var neverFits *NeverFitsError
			if err := s.Submit(NewJob(fmt.Sprintf("b%d", i), j, now)); err != nil {
				assert.Assert(t, errors.As(err, &neverFits))
			}
			decideAll(s, now)
			assert.NilError(t, s.Plan().Check(s.Pool()))
			assert.NilError(t, s.Pool().Check())
		}
		claim := spec(t, jayjob.Fields{Workspace: "a", Class: jayjob.Standard, Shape: shapeOf(t, members, accelerators, locality), Idempotent: true})
		assert.Assert(t, s.FitsUnusedHome(claim))
		assert.NilError(t, s.Submit(NewJob("claim", claim, now)))
		s.Decide(now)
		assert.Assert(t, s.running["claim"] != nil, "the guarantee was not reclaimed: %s", s.waiting["claim"])
	})
}

func runningIDs(s *Scheduler) []string {
	var ids []string
	for i := range 30 {
		if id := fmt.Sprintf("b%d", i); s.running[id] != nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// decideAll runs one decision round and queues the victims again, as an entry
// does.
func decideAll(s *Scheduler, now time.Duration) {
	for _, d := range s.Decide(now) {
		for _, v := range d.Victims() {
			s.Requeue(v.Job(), 0)
		}
	}
}

func TestInfeasibleJobIsRefusedWithNearestShape(t *testing.T) {
	s := scheduler(t, 4, shapeOf(t, 1, 4, jayjob.SameWorker))
	cases := []struct {
		shape          jayjob.Shape
		nonPreemptible bool
		nearest        string
	}{
		{shapeOf(t, 3, 4, jayjob.SameRack), false, "3x4 near data_centre"},
		{shapeOf(t, 1, 8, jayjob.SameWorker), false, "1x4 near worker"},
		{shapeOf(t, 4, 4, jayjob.Anywhere), true, "3x4 near anywhere"},
	}
	for _, c := range cases {
		err := s.Submit(NewJob("x", spec(t, jayjob.Fields{Workspace: "b", Shape: c.shape, Idempotent: !c.nonPreemptible}), 0))
		var neverFits *NeverFitsError
		assert.Assert(t, errors.As(err, &neverFits))
		assert.Equal(t, neverFits.Nearest.String(), c.nearest)
	}
}

func TestWaitingJobRecordsReason(t *testing.T) {
	s := scheduler(t, 2, shapeOf(t, 1, 1, jayjob.Anywhere))
	long := spec(t, jayjob.Fields{Workspace: "b", Class: jayjob.Standard, Shape: shapeOf(t, 2, 4, jayjob.Anywhere), Idempotent: true, Runtime: time.Hour})
	first, second := NewJob("first", long, 0), NewJob("second", long, 0)
	assert.NilError(t, s.Submit(first))
	assert.NilError(t, s.Submit(second))
	assert.Equal(t, len(s.Decide(0)), 1)
	assert.Equal(t, second.Reason().Cause(), WaitsWithReservation)
	assert.Equal(t, second.Reason().ExpectedStart(), time.Hour)
	assert.Equal(t, second.Reason().Blocker(), "0 accelerators free of 8, 2x4 near anywhere needed")
}

func TestCancelingAllJobsReleasesAllAllocations(t *testing.T) {
	s := scheduler(t, 4, shapeOf(t, 1, 1, jayjob.Anywhere))
	j := spec(t, jayjob.Fields{Workspace: "b", Class: jayjob.Standard, Shape: shapeOf(t, 1, 1, jayjob.Anywhere), Idempotent: true})
	for i := range 10_000 {
		s.Enqueue(NewJob(fmt.Sprint(i), j, 0))
	}
	s.Decide(0)
	for i := range 10_000 {
		s.Cancel(fmt.Sprint(i))
	}
	assert.Equal(t, s.Pool().Free(), s.Pool().Total())
	assert.Equal(t, s.Waiting(), 0)
	assert.Equal(t, s.WaitingIn("b", jayjob.Standard), 0)
}

func TestCompactMovesWorkOffPartlyUsedWorker(t *testing.T) {
	s := scheduler(t, 2, shapeOf(t, 1, 4, jayjob.SameWorker))
	j := spec(t, jayjob.Fields{Workspace: "b", Class: jayjob.Standard, Shape: shapeOf(t, 1, 2, jayjob.Anywhere), Idempotent: true, Checkpointing: true, Runtime: time.Hour})
	for i, worker := range []string{"w0", "w1"} {
		job := s.Adopt(fmt.Sprint(i), j, 0)
		job.estimate = time.Hour
		_, err := s.Pool().Allocate(worker, job.allocation(job.id, 2, 0))
		assert.NilError(t, err)
	}
	assert.Equal(t, len(s.Compact(time.Second)), 0)
	assert.Equal(t, len(s.Compact(2*time.Minute)), 1)
}

func TestPredictorPrefersActualRuntimes(t *testing.T) {
	p := NewPredictor()
	assert.Equal(t, p.Predict("w", "k", time.Hour, 0.5), time.Hour)
	for range 20 {
		p.Observe("w", "k", time.Hour, time.Minute)
	}
	assert.Equal(t, p.Predict("w", "k", time.Hour, 0.5), time.Minute)
	assert.Equal(t, p.Predict("w", "other", 0, 0.5), defaultRuntime)
}

func TestHealthDistinguishesBadWorkersFromPoisonedJobs(t *testing.T) {
	h := NewHealth()
	for i := range 10 {
		assert.Assert(t, !h.RecordFailure(fmt.Sprintf("w%d", i), "a", "poisoned", 11, 0), "failures of a poisoned job were attributed to a worker")
	}
	assert.Assert(t, h.Poisoned("a", "poisoned"))
	quarantined := false
	for i := range 8 {
		quarantined = quarantined || h.RecordFailure("bad", "a", fmt.Sprint("kind", i%3), 11, 0)
	}
	assert.Assert(t, quarantined)
	for _, w := range []string{"second", "third", "fourth"} {
		for i := range 12 {
			h.RecordFailure(w, "b", fmt.Sprint(w, i), 11, 0)
		}
	}
	assert.Assert(t, h.quarantinedCount() <= 2, "too large a share is quarantined")
	assert.Equal(t, len(h.ReleaseQuarantined(maxQuarantine)), h.quarantinedCount()+len(h.workers)-countWithoutProbation(h))
}

// countWithoutProbation counts workers that are not on probation.
func countWithoutProbation(h *Health) int {
	n := 0
	for _, w := range h.workers {
		if !w.probation {
			n++
		}
	}
	return n
}
