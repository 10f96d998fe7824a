package jayevacuation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testPrefix = "evacuate/"
	testBound  = 5 * time.Second
)

// Other records of the operator's topic must not request an evacuation, and a request that
// changes nothing must not be logged again.
func TestRequestsFollowRecords(t *testing.T) {
	type record struct {
		key     string
		removed bool
	}
	for _, c := range []struct {
		name    string
		prefix  string
		records []record
		// changed tells whether the last record changes anything, and want what remains.
		changed bool
		want    map[string]bool
	}{
		{"requested", testPrefix, []record{{"evacuate/a", false}}, true, map[string]bool{"a": true}},
		{"requested twice", testPrefix, []record{{"evacuate/a", false}, {"evacuate/a", false}}, false, map[string]bool{"a": true}},
		{"two data centres", testPrefix, []record{{"evacuate/a", false}, {"evacuate/b", false}}, true, map[string]bool{"a": true, "b": true}},
		{"removed", testPrefix, []record{{"evacuate/a", false}, {"evacuate/a", true}}, true, map[string]bool{}},
		{"one of two removed", testPrefix, []record{{"evacuate/a", false}, {"evacuate/b", false}, {"evacuate/a", true}}, true, map[string]bool{"b": true}},
		{"removed without a request", testPrefix, []record{{"evacuate/a", true}}, false, map[string]bool{}},
		{"requested again", testPrefix, []record{{"evacuate/a", false}, {"evacuate/a", true}, {"evacuate/a", false}}, true, map[string]bool{"a": true}},
		{"another key", testPrefix, []record{{"config", false}}, false, map[string]bool{}},
		{"without a data centre", testPrefix, []record{{"evacuate/", false}}, false, map[string]bool{}},
		{"name with a separator", testPrefix, []record{{"evacuate/a/b", false}}, true, map[string]bool{"a/b": true}},
		{"without a prefix", "", []record{{"config", false}}, false, map[string]bool{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, changed := NewRequests(c.prefix), false
			for _, x := range c.records {
				_, changed = r.Apply(x.key, x.removed)
			}
			assert.Equal(t, changed, c.changed)
			assert.DeepEqual(t, r.DataCentres(), c.want)
		})
	}
}

// A request that was removed while the history was lost would stay in force for good.
func TestMissingRequestsAreThoseWithoutARecord(t *testing.T) {
	for _, c := range []struct {
		name string
		keys []string
		want []string
	}{
		{"no records", nil, []string{"evacuate/a", "evacuate/b"}},
		{"other records", []string{"config", "a"}, []string{"evacuate/a", "evacuate/b"}},
		{"one request", []string{"config", "evacuate/b"}, []string{"evacuate/a"}},
		{"all requests", []string{"evacuate/b", "evacuate/a"}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewRequests(testPrefix)
			r.Apply("evacuate/b", false)
			r.Apply("evacuate/a", false)
			assert.DeepEqual(t, r.Missing(c.keys), c.want)
		})
	}
}

// A caller that changes the returned set must not change the requests.
func TestDataCentresIsACopy(t *testing.T) {
	r := NewRequests(testPrefix)
	r.Apply("evacuate/a", false)
	delete(r.DataCentres(), "a")
	assert.DeepEqual(t, r.DataCentres(), map[string]bool{"a": true})
}

// An agent must start nothing by a statement that is unknown, too old or overtaken, and must not
// hold starts back where there is no bound.
func TestGate(t *testing.T) {
	const now = time.Hour
	oldest := MaxStatementAge(testBound)
	type told struct {
		Statement
		sentAgo time.Duration
	}
	for _, c := range []struct {
		name  string
		bound time.Duration
		told  []told
		want  Verdict
	}{
		{"no bound", 0, nil, Start},
		{"no bound, evacuated", 0, []told{{Statement{Evacuated: true}, 0}}, Start},
		{"nothing known", testBound, nil, Wait},
		{"in service", testBound, []told{{Statement{}, 0}}, Start},
		{"evacuated", testBound, []told{{Statement{Evacuated: true}, 0}}, Refuse},
		{"just recent enough", testBound, []told{{Statement{ViewAge: time.Second}, oldest - time.Second}}, Start},
		{"report too long ago", testBound, []told{{Statement{}, oldest + time.Millisecond}}, Wait},
		{"view too old", testBound, []told{{Statement{ViewAge: oldest + time.Millisecond}, 0}}, Wait},
		{"report and view together too old", testBound, []told{{Statement{ViewAge: time.Second}, oldest - time.Second + time.Millisecond}}, Wait},
		{"evacuated, too old", testBound, []told{{Statement{Evacuated: true}, oldest + time.Millisecond}}, Wait},
		{"back in service", testBound, []told{{Statement{Evacuated: true}, time.Second}, {Statement{}, 0}}, Start},
		{"older statement comes last", testBound, []told{{Statement{Evacuated: true}, 0}, {Statement{}, time.Second}}, Refuse},
		{"older view in a newer answer", testBound, []told{{Statement{Evacuated: true}, time.Second}, {Statement{ViewAge: 2 * time.Second}, 0}}, Refuse},
		{"same view again", testBound, []told{{Statement{}, 0}, {Statement{Evacuated: true}, 0}}, Refuse},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := Gate{Bound: c.bound}
			for _, x := range c.told {
				g.Record(x.Statement, now-x.sentAgo)
			}
			assert.Equal(t, g.Check(now), c.want)
		})
	}
}

// The leader must read the requests again before it may not decide any more, and a decision must
// leave time for the way to the agent.
func TestAgesAreInOrder(t *testing.T) {
	for _, bound := range []time.Duration{500 * time.Millisecond, 2 * time.Second, testBound, 20 * time.Second} {
		assert.Assert(t, RefreshAge(bound) < MaxDecisionAge(bound), "bound %s", bound)
		assert.Assert(t, MaxStatementAge(bound) < bound, "bound %s", bound)
		if bound >= testBound {
			assert.Assert(t, MaxDecisionAge(bound) < MaxStatementAge(bound), "bound %s", bound)
			assert.Assert(t, bound-MaxStatementAge(bound) >= startMargin, "bound %s", bound)
		}
	}
}
