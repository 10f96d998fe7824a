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

func smallPool(workers, accelerators int) *jaypool.Pool {
	p := jaypool.New()
	for i := range workers {
		p.Add(fmt.Sprintf("w%d", i), jaypool.NewLocation("dc", fmt.Sprintf("r%d", i/2), "c"), accelerators)
	}
	return p
}

func guarantee(t rapid.TB, space string, n int, members, accelerators int, near jayjob.Near) jaymanifest.Guarantee {
	s, err := jayjob.NewShape(members, accelerators, near)
	assert.NilError(t, err)
	return jaymanifest.NewGuarantee(space, fmt.Sprint(n), s)
}

// fitsAll is the oracle: it tries every seat of every member.
func fitsAll(pool *jaypool.Pool, free map[string]int, gs []jaymanifest.Guarantee, members int, group string) bool {
	if len(gs) == 0 {
		return true
	}
	s := gs[0].Shape()
	if members == s.Members() {
		return fitsAll(pool, free, gs[1:], 0, "")
	}
	for _, w := range pool.Workers() {
		at := w.Location().Group(s.Near(), w.ID())
		if free[w.ID()] < s.Accelerators() || (members > 0 && at != group) {
			continue
		}
		free[w.ID()] -= s.Accelerators()
		if fitsAll(pool, free, gs, members+1, at) {
			return true
		}
		free[w.ID()] += s.Accelerators()
	}
	return false
}

func drawGuarantees(t *rapid.T) []jaymanifest.Guarantee {
	var gs []jaymanifest.Guarantee
	for i := range rapid.IntRange(1, 4).Draw(t, "guarantees") {
		near := jayjob.Near(rapid.IntRange(0, 3).Draw(t, "near"))
		gs = append(gs, guarantee(t, fmt.Sprintf("s%d", i), i, rapid.IntRange(1, 3).Draw(t, "members"), rapid.IntRange(1, 4).Draw(t, "accelerators"), near))
	}
	return gs
}

// TestPlansWhereTheOracleDoes compares the plan with exhaustive search.
func TestPlansWhereTheOracleDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := smallPool(rapid.IntRange(1, 4).Draw(t, "workers"), 4)
		gs := drawGuarantees(t)
		free := map[string]int{}
		for _, w := range pool.Workers() {
			free[w.ID()] = w.Accelerators()
		}
		want := fitsAll(pool, free, gs, 0, "")
		plan := Build(1, gs, pool, nil)
		assert.Equal(t, len(plan.Unmet()) == 0, want)
		assert.NilError(t, plan.Check(pool))
		var unmet *UnmetError
		assert.Equal(t, errors.As(plan.Err(pool), &unmet), !want)
	})
}

// TestPlanKeepsHomesWhenWorkersComeAndGo checks that homes move only when they
// must.
func TestPlanKeepsHomesWhenWorkersComeAndGo(t *testing.T) {
	pool := smallPool(6, 8)
	gs := []jaymanifest.Guarantee{guarantee(t, "a", 0, 2, 8, jayjob.SameRack), guarantee(t, "b", 0, 4, 1, jayjob.Anywhere)}
	before := Build(1, gs, pool, nil)
	pool.Add("w9", jaypool.NewLocation("dc", "r9", "c"), 8)
	grown := Build(1, gs, pool, before)
	for _, g := range gs {
		assert.DeepEqual(t, fmt.Sprint(grown.Seats(g.ID())), fmt.Sprint(before.Seats(g.ID())))
	}
	lost := before.Seats("a/0")[0].Worker()
	pool.Remove(lost)
	shrunk := Build(1, gs, pool, grown)
	assert.Equal(t, len(shrunk.Unmet()), 0)
	for _, s := range shrunk.Seats("a/0") {
		assert.Assert(t, s.Worker() != lost)
	}
}

// TestFixedWorkBlocksHomes checks that homes are planned around work that may
// not be stopped, and that the invariant notices when one is not.
func TestFixedWorkBlocksHomes(t *testing.T) {
	pool := smallPool(2, 8)
	gs := []jaymanifest.Guarantee{guarantee(t, "a", 0, 1, 8, jayjob.SameWorker)}
	plan := Build(1, gs, pool, nil)
	home := plan.Seats("a/0")[0].Worker()
	_, err := pool.Allocate(home, jaypool.AllocationSpec{ID: "x", Job: "x", Workspace: "b", Accelerators: 1})
	assert.NilError(t, err)
	var broken *OvercommitError
	assert.Assert(t, errors.As(plan.Check(pool), &broken))
	again := Build(1, gs, pool, plan)
	assert.Assert(t, again.Seats("a/0")[0].Worker() != home)
	assert.NilError(t, again.Check(pool))
}
