package jayplan

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jaystile/jaystile/internal/process/jaypool"
	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/internal/version/jaymanifest"
)

func testPool(workers, accelerators int) *jaypool.Pool {
	p := jaypool.New()
	for i := range workers {
		p.Add(fmt.Sprintf("w%d", i), jaypool.NewLocation("dc", fmt.Sprintf("r%d", i/2), "c"), accelerators)
	}
	return p
}

func newGuarantee(t rapid.TB, workspace string, n int, members, accelerators int, locality jayjob.Locality) jaymanifest.Guarantee {
	s, err := jayjob.NewShape(members, accelerators, locality)
	assert.NilError(t, err)
	return jaymanifest.NewGuarantee(workspace, fmt.Sprint(n), s)
}

// fitsExhaustive is the oracle: it tries every worker for every member.
func fitsExhaustive(pool *jaypool.Pool, free map[string]int, gs []jaymanifest.Guarantee, members int, group string) bool {
	if len(gs) == 0 {
		return true
	}
	s := gs[0].Shape()
	if members == s.Members() {
		return fitsExhaustive(pool, free, gs[1:], 0, "")
	}
	for _, w := range pool.Workers() {
		workerGroup := w.Location().Group(s.Locality(), w.ID())
		if free[w.ID()] < s.Accelerators() || (members > 0 && workerGroup != group) {
			continue
		}
		free[w.ID()] -= s.Accelerators()
		if fitsExhaustive(pool, free, gs, members+1, workerGroup) {
			return true
		}
		free[w.ID()] += s.Accelerators()
	}
	return false
}

func drawGuarantees(t *rapid.T) []jaymanifest.Guarantee {
	var gs []jaymanifest.Guarantee
	for i := range rapid.IntRange(1, 4).Draw(t, "guarantees") {
		locality := jayjob.Locality(rapid.IntRange(0, 3).Draw(t, "near"))
		gs = append(gs, newGuarantee(t, fmt.Sprintf("s%d", i), i, rapid.IntRange(1, 3).Draw(t, "members"), rapid.IntRange(1, 4).Draw(t, "accelerators"), locality))
	}
	return gs
}

func TestBuildMatchesExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := testPool(rapid.IntRange(1, 4).Draw(t, "workers"), 4)
		gs := drawGuarantees(t)
		free := map[string]int{}
		for _, w := range pool.Workers() {
			free[w.ID()] = w.Accelerators()
		}
		want := fitsExhaustive(pool, free, gs, 0, "")
		plan := Build(1, gs, pool, nil)
		assert.Equal(t, len(plan.Unmet()) == 0, want)
		assert.NilError(t, plan.Check(pool))
		var unmet *UnmetError
		assert.Equal(t, errors.As(plan.Err(pool), &unmet), !want)
	})
}

// Adding a worker moves no home; removing a worker moves its homes elsewhere.
func TestHomesMoveOnlyWhenNecessary(t *testing.T) {
	pool := testPool(6, 8)
	gs := []jaymanifest.Guarantee{newGuarantee(t, "a", 0, 2, 8, jayjob.SameRack), newGuarantee(t, "b", 0, 4, 1, jayjob.Anywhere)}
	before := Build(1, gs, pool, nil)
	pool.Add("w9", jaypool.NewLocation("dc", "r9", "c"), 8)
	grown := Build(1, gs, pool, before)
	for _, g := range gs {
		assert.DeepEqual(t, fmt.Sprint(grown.Placements(g.ID())), fmt.Sprint(before.Placements(g.ID())))
	}
	lost := before.Placements("a/0")[0].Worker()
	pool.Remove(lost)
	shrunk := Build(1, gs, pool, grown)
	assert.Equal(t, len(shrunk.Unmet()), 0)
	for _, p := range shrunk.Placements("a/0") {
		assert.Assert(t, p.Worker() != lost)
	}
}

// Homes are planned around non-preemptible work, and Check fails for a plan whose
// home such work has taken.
func TestHomesAvoidNonPreemptibleWork(t *testing.T) {
	pool := testPool(2, 8)
	gs := []jaymanifest.Guarantee{newGuarantee(t, "a", 0, 1, 8, jayjob.SameWorker)}
	plan := Build(1, gs, pool, nil)
	home := plan.Placements("a/0")[0].Worker()
	_, err := pool.Allocate(home, jaypool.AllocationSpec{ID: "x", Job: "x", Workspace: "b", Accelerators: 1})
	assert.NilError(t, err)
	var overcommit *OvercommitError
	assert.Assert(t, errors.As(plan.Check(pool), &overcommit))
	again := Build(1, gs, pool, plan)
	assert.Assert(t, again.Placements("a/0")[0].Worker() != home)
	assert.NilError(t, again.Check(pool))
}
