package jaycontroller

import (
	"testing"

	"gotest.tools/v3/assert"
)

var (
	livesOnly = []modelVersion{versionLives}
	namesOnly = []modelVersion{versionNames}
	bothKinds = []modelVersion{versionLives, versionNames}
)

// allFaults returns all faults beside a deployment whose entries have these versions first and
// those later.
func allFaults(versions, later []modelVersion) modelFaults {
	return modelFaults{stalls: true, restarts: true, storeCuts: true, linkCuts: true, lateFrames: true, slowClocks: true, versions: versions, laterVersions: later, judged: versionLives}
}

// withoutRecord begins in a term that an entry without electors has led.
func withoutRecord(f modelFaults) modelFaults {
	f.term = 5
	return f
}

// Guards against a leader that grants leases after a successor counts on their end: under stalls of
// processes, readers and loops, late frames, cuts of one direction or both and from the store,
// restarts, new entries, appends without an answer or executed late, slow clocks, and beside
// entries of the version before.
func TestGrantsOfTwoLeadersNeverOverlap(t *testing.T) {
	for _, c := range []struct {
		name          string
		faults        modelFaults
		seeds         uint64
		handovers     int
		outageSeconds float64
	}{
		{"one version", allFaults(livesOnly, livesOnly), 550, 2000, 5000},
		{"both versions", allFaults(bothKinds, bothKinds), 150, 300, 500},
		{"upgrade", allFaults(namesOnly, livesOnly), 150, 300, 100},
		{"nothing stored", withoutRecord(allFaults(bothKinds, livesOnly)), 150, 300, 300},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			handovers, outageGrants := 0, 0
			for seed := range c.seeds {
				m := newElectorsModel(seed, &modelRule{}, c.faults)
				m.play()
				assert.Equal(t, m.overlap, "", "seed %d", seed)
				handovers += m.handovers
				outageGrants += m.outageGrants
			}
			outageSeconds := float64(outageGrants) * modelStep.Seconds()
			assert.Assert(t, handovers > c.handovers && outageSeconds > c.outageSeconds, "%d handovers, %.0f s of grants without the store: too few to show anything", handovers, outageSeconds)
		})
	}
}

// findOverlap returns the first seed below a limit that shows an overlap, and the overlap.
func findOverlap(limit uint64, rule *modelRule, faults modelFaults) (seed uint64, overlap string) {
	for seed = range limit {
		m := newElectorsModel(seed, rule, faults)
		if m.play(); m.overlap != "" {
			return seed, m.overlap
		}
	}
	return limit, ""
}

// Guards against a model that is too tame: it must show what broke the rule of 4dcefe6, which
// counted open links by the entries' names.
func TestModelBreaksTheFormerRule(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *modelFaults)
		broken bool
	}{
		{"cuts", func(*modelFaults) {}, false},
		{"stalls", func(f *modelFaults) { f.stalls = true }, true},
		{"restarts", func(f *modelFaults) { f.restarts = true }, true},
		{"nothing stored", func(f *modelFaults) { f.restarts, f.versions = true, []modelVersion{versionContact} }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			faults := modelFaults{storeCuts: true, linkCuts: true, versions: namesOnly, laterVersions: namesOnly, judged: versionNames}
			c.change(&faults)
			seed, overlap := findOverlap(100, &modelRule{}, faults)
			assert.Equal(t, overlap != "", c.broken, "%s", overlap)
			t.Logf("seed %d: %s", seed, overlap)
		})
	}
}
