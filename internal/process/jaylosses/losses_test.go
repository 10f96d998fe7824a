package jaylosses

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const log = `  0.5 edge-1 {"event":"submit","job":"a","outcome":"not_now","time":"2026-12-03T10:00:00Z"}
  1.0 edge-1 {"event":"job","job":"a","route":"r","data_centre":"north","priority":1,"accelerators":2,"cpu":4000,"time":"2026-12-03T10:00:01Z"}
  6.0 edge-1 {"event":"end","job":"a","task":"a.0.0.0","run":1,"outcome":"stopped","reason":"room for b.0.0","time":"2026-12-03T10:00:06Z"}
  2.0 edge-1 {"event":"place","job":"a","task":"a.0.0.0","run":1,"time":"2026-12-03T10:00:02Z"}
 no log line
  7.0 edge-1 {"event":"place","job":"a","task":"a.0.0.0","run":2,"time":"2026-12-03T10:00:07Z"}
  9.0 edge-1 {"event":"end","job":"a","task":"a.0.0.0","run":2,"outcome":"done","time":"2026-12-03T10:00:09Z"}
  9.0 edge-1 {"event":"state","job":"a","outcome":"completed","time":"2026-12-03T10:00:09Z"}
  9.1 edge-1 {"event":"end","job":"z","task":"z.0.0.0","run":2,"outcome":"failed","time":"2026-12-03T10:00:09Z"}
`

func TestReportByRouteDataCentreAndCause(t *testing.T) {
	r, err := Read(strings.NewReader(log))
	assert.NilError(t, err)
	jobs := func(name string) Group {
		return Group{Name: name, Jobs: 1, Refused: 1, Started: 1, TotalWait: time.Second, MaxWait: time.Second, FinalStates: map[string]int{"completed": 1}}
	}
	assert.DeepEqual(t, r, Report{
		Routes:       []Route{{Group: jobs("r"), Priority: 1}},
		DataCentres:  []Group{jobs("north")},
		Losses:       []Loss{{Priority: 1, Outcome: "stopped", Reason: "room for another job", Runs: 1, CoreSeconds: 80}},
		SkippedLines: 1,
	})
	assert.Equal(t, r.Routes[0].MeanWait(), time.Second)
	assert.Equal(t, r.DataCentres[0].MeanWait(), time.Second)
}

func TestTooLongLineIsAnError(t *testing.T) {
	_, err := Read(strings.NewReader("{" + strings.Repeat("x", maxLineBytes+1)))
	assert.ErrorContains(t, err, "too long")
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(log))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Read(strings.NewReader(string(b)))
		if err != nil {
			return
		}
		for _, x := range r.Routes {
			assert.Assert(t, x.Started <= x.Jobs)
		}
	})
}
