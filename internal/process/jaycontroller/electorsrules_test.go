package jaycontroller

import (
	"testing"
	"time"

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
		{"rolled back", allFaults(livesOnly, namesOnly), 150, 300, 100},
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

// findOverlap returns the first of some seeds that shows an overlap, and the overlap.
func findOverlap(first, seeds uint64, rule *modelRule, faults modelFaults) (seed uint64, overlap string) {
	for seed = first; seed < first+seeds; seed++ {
		m := newElectorsModel(seed, rule, faults)
		if m.play(); m.overlap != "" {
			return seed, m.overlap
		}
	}
	return seed, ""
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
			seed, overlap := findOverlap(0, 100, &modelRule{}, faults)
			assert.Equal(t, overlap != "", c.broken, "%s", overlap)
			t.Logf("seed %d: %s", seed, overlap)
		})
	}
}

// Guards against a model that is too tame: it must show an overlap for each of these flaws of the
// rule.
func TestModelBreaksFlawedRules(t *testing.T) {
	oneVersion, both, rolledBack := allFaults(livesOnly, livesOnly), allFaults(bothKinds, bothKinds), allFaults(livesOnly, namesOnly)
	for _, c := range []struct {
		rule   modelRule
		faults modelFaults
		// first is near below the first seed that shows it, as found in 1,000; seeds is how many
		// are played at most.
		first, seeds uint64
	}{
		{modelRule{name: "one elector less is excluded", haveCeased: func(l *modelLeadership, _ time.Duration) bool {
			excluded := 1
			for _, e := range l.electors {
				if l.followsNoOther(e) {
					excluded++
				}
			}
			return l.electors != nil && 2*excluded >= len(l.electors)
		}}, oneVersion, 0, 10},
		{modelRule{name: "no wait", lessDelay: handoverDelay}, oneVersion, 0, 10},
		{modelRule{name: "answers count for longer than the successor waits", grantsUntil: func(s standing) time.Duration {
			s.followedSince += followTimeout / 2
			return s.grantsUntil()
		}}, oneVersion, 25, 100},
		{modelRule{name: "reads count for longer than the successor waits", grantsUntil: func(s standing) time.Duration {
			s.termKnownAt += isolationTimeout / 5
			return s.grantsUntil()
		}}, oneVersion, 55, 200},
		{modelRule{name: "answers are dated by their arrival", datedByArrival: true}, oneVersion, 0, 100},
		{modelRule{name: "a restarted entry is the same elector", restartsKeepElector: true}, oneVersion, 75, 200},
		{modelRule{name: "a life at another address excludes an elector", countsOtherAddresses: true}, oneVersion, 170, 300},
		{modelRule{name: "electors change before the handover has ended", changesEarly: true}, oneVersion, 0, 50},
		{modelRule{name: "an append without an answer is forgotten", forgetsAppends: true}, oneVersion, 170, 300},
		{modelRule{name: "the successor waits less than an outage", haveCeased: func(l *modelLeadership, now time.Duration) bool {
			return now-l.beganAt > maxOutage*3/4
		}}, oneVersion, 20, 100},
		{modelRule{name: "nothing stored excludes all", haveCeased: func(l *modelLeadership, _ time.Duration) bool { return l.electors == nil }}, withoutRecord(allFaults(bothKinds, livesOnly)), 0, 50},
		{modelRule{name: "names are excluded", marksNoTerms: true, haveCeased: func(l *modelLeadership, _ time.Duration) bool {
			return l.electors != nil && excludesMajority(l.electors, func(e string) bool { return l.followsNoOther(e) || electorAddress(e) == e })
		}}, both, 0, 10},
		{modelRule{name: "an ended leadership grants until its loop notices", endsWithLoop: true}, oneVersion, 0, 10},
		{modelRule{name: "a term of the version before is not known as such", marksNoTerms: true}, rolledBack, 115, 200},
	} {
		t.Run(c.rule.name, func(t *testing.T) {
			t.Parallel()
			seed, overlap := findOverlap(c.first, c.seeds, &c.rule, c.faults)
			assert.Assert(t, overlap != "", "nothing found in %d seeds from %d", c.seeds, c.first)
			t.Logf("seed %d: %s", seed, overlap)
		})
	}
}
