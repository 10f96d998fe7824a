package jaycontroller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jayevacuation"
	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/request/jaytask"
	"github.com/jaystile/jaystile/internal/version/jayconfig"
)

const evacuationBound = time.Second

// operatorTopic is a topic in memory that may be down, and loses history as of first. Its pages
// hold one record each.
type operatorTopic struct {
	mutex   sync.Mutex
	records []jaystore.StoredRecord
	first   uint64
	down    bool
	// onlyReads is set while there are no pages of the newest records.
	onlyReads bool
}

func (o *operatorTopic) put(key string, value []byte) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.records = append(o.records, jaystore.StoredRecord{Record: jaystore.Record{Key: key, Value: value}, Offset: uint64(len(o.records))})
}

func (o *operatorTopic) request(dataCentre string) { o.put("evacuate/"+dataCentre, []byte("{}")) }

func (o *operatorTopic) remove(dataCentre string) { o.put("evacuate/"+dataCentre, nil) }

// loseHistory deletes all records but the newest of each key that is not removed.
func (o *operatorTopic) loseHistory() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.first = uint64(len(o.records))
}

func (o *operatorTopic) setDown(down bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.down = down
}

func (o *operatorTopic) newest(_ context.Context, _, after string) (jaystore.Page, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.down || o.onlyReads {
		return jaystore.Page{}, errors.New("store is down")
	}
	newest := map[string]jaystore.StoredRecord{}
	for _, s := range o.records {
		newest[s.Key] = s
	}
	page, next := jaystore.Page{End: uint64(len(o.records))}, ""
	for key, s := range newest {
		if s.Value != nil && key > after && (next == "" || key < next) {
			next = key
		}
	}
	if next != "" {
		page.Records, page.More = []jaystore.StoredRecord{newest[next]}, true
	}
	return page, nil
}

func (o *operatorTopic) read(_ context.Context, _ string, from uint64, _ time.Duration) (jaystore.ReadResult, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	switch end := uint64(len(o.records)); {
	case o.down:
		return jaystore.ReadResult{}, errors.New("store is down")
	case from < o.first:
		return jaystore.ReadResult{}, &jaystore.ExpiredError{First: o.first}
	default:
		return jaystore.ReadResult{Records: append([]jaystore.StoredRecord(nil), o.records[from:]...), Next: end, End: end}, nil
	}
}

// newEvacuationController returns a controller that leads and has not read the operator's topic
// yet, where bound is the time for evacuations.
func newEvacuationController(bound time.Duration) (*Controller, *operatorTopic) {
	o := &operatorTopic{}
	c := New(nil)
	c.Topics = Topics{Operator: "operator", Jobs: "jobs", Runs: "runs", ConfigKey: "config", EvacuationPrefix: "evacuate/"}
	c.Timing.Retention, c.Timing.Evacuation, c.Timing.Lease = time.Minute, bound, time.Minute
	c.NewStoreClient = func(func(context.Context, jaystore.Request) (jaystore.Response, error)) *jaystore.Client {
		return &jaystore.Client{Append: func(context.Context, jaystore.Append) (uint64, error) { return 0, nil }, Newest: o.newest, Read: o.read}
	}
	c.Prepare()
	c.config.Store(jayconfig.NewConfig(1, nil, nil, nil, jayconfig.Limits{}))
	c.leadership = newLeadership(c, 1)
	c.leadership.loaded = true
	return c, o
}

// Only the newest records remain after lost history, so that requests must be found, and their
// removal noticed, by comparison.
func TestEvacuationsFollowTheOperatorsTopic(t *testing.T) {
	for _, c := range []struct {
		name  string
		known func(o *operatorTopic)
		then  func(o *operatorTopic)
		want  map[string]bool
	}{
		{"requested", func(*operatorTopic) {}, func(o *operatorTopic) { o.request("a") }, map[string]bool{"a": true}},
		{"requested before this entry began", func(o *operatorTopic) { o.request("a") }, func(*operatorTopic) {}, map[string]bool{"a": true}},
		{"removed", func(o *operatorTopic) { o.request("a") }, func(o *operatorTopic) { o.remove("a") }, nil},
		{"removed and requested again", func(o *operatorTopic) { o.request("a") }, func(o *operatorTopic) { o.remove("a"); o.request("a") }, map[string]bool{"a": true}},
		{"requested while history was lost", func(o *operatorTopic) { o.request("a") }, func(o *operatorTopic) { o.request("b"); o.loseHistory() }, map[string]bool{"a": true, "b": true}},
		{"removed while history was lost", func(o *operatorTopic) { o.request("a"); o.request("b") }, func(o *operatorTopic) { o.remove("a"); o.put("other", []byte("1")); o.loseHistory() }, map[string]bool{"b": true}},
		{"all removed while history was lost", func(o *operatorTopic) { o.request("a") }, func(o *operatorTopic) { o.remove("a"); o.loseHistory() }, nil},
		{"other records", func(o *operatorTopic) { o.put("other", []byte("1")) }, func(o *operatorTopic) { o.put("a", []byte("1")) }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			controller, o := newEvacuationController(evacuationBound)
			c.known(o)
			assert.NilError(t, controller.operatorTail.Refresh(t.Context()))
			c.then(o)
			assert.NilError(t, controller.operatorTail.Refresh(t.Context()))
			for _, dataCentre := range []string{"a", "b", "other"} {
				assert.Equal(t, controller.isEvacuated(dataCentre), c.want[dataCentre], dataCentre)
			}
			assert.Equal(t, evacuatedDataCentres.Get(), float64(len(controller.evacuations.requests.DataCentres())))
		})
	}
}

// A leader whose view is old may place tasks in a data centre that has been evacuated since.
func TestLeaderPlacesNothingWhileItsViewIsOld(t *testing.T) {
	for _, c := range []struct {
		name  string
		bound time.Duration
		// loaded is set if the topic was read before the store went down, down for how long it
		// has been down.
		loaded bool
		down   time.Duration
		// lost is set if history is lost and the newest records cannot be read.
		lost   bool
		placed bool
	}{
		{"view is fresh", evacuationBound, true, 0, false, true},
		{"nothing read yet", evacuationBound, false, 0, false, false},
		{"view is old", evacuationBound, true, jayevacuation.MaxDecisionAge(evacuationBound) + 50*time.Millisecond, false, false},
		{"history is lost", evacuationBound, true, 0, true, false},
		{"no bound, nothing read yet", 0, false, 0, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			controller, o := newEvacuationController(c.bound)
			if c.loaded {
				assert.NilError(t, controller.operatorTail.Refresh(t.Context()))
			}
			if c.lost {
				o.request("a")
				o.loseHistory()
				o.onlyReads = true
				assert.Assert(t, controller.operatorTail.Refresh(t.Context()) != nil)
			}
			o.setDown(true)
			time.Sleep(c.down)
			l := controller.leadership
			// The test is not a pause of the process.
			l.pauses.reset()
			l.setCellTime()
			l.cell.ApplyReport(jaycell.Report{Node: "n1", Sequence: 1, Term: 1, Responsive: true, Runner: jaycell.RunnerInfo{ID: "r1", Service: "s", DataCentre: "a", Capacity: jaytask.Resources{CPU: 1000, Memory: 1000}}})
			l.cell.Submit(&jaytask.Job{ID: "x", Steps: []jaytask.Step{{Count: 1, Estimate: time.Second, Resources: jaytask.Resources{CPU: 1000}}}, Accepted: time.Now(), Policy: jaytask.Policy{Service: "s", MaxAttempts: 1, Stretch: 3, Objective: time.Second}})
			batch, _ := l.decide(t.Context())
			assert.Equal(t, batch != nil && len(batch.Units) > 0, c.placed)
		})
	}
}

// A leader that is idle reads the topic again before its view is too old: a long poll over a dead
// connection would hide a request.
func TestLeaderRefreshesItsView(t *testing.T) {
	controller, o := newEvacuationController(evacuationBound)
	assert.NilError(t, controller.operatorTail.Refresh(t.Context()))
	o.request("a")
	controller.refreshEvacuations(t.Context())
	controller.tasks.Wait()
	assert.Assert(t, !controller.isEvacuated("a"), "read again although the view was recent")
	time.Sleep(jayevacuation.RefreshAge(evacuationBound))
	controller.refreshEvacuations(t.Context())
	controller.tasks.Wait()
	assert.Assert(t, controller.isEvacuated("a"))
}

// An operator must be told when the guarantees no longer fit what an evacuation leaves, as of the
// pool without the data centre.
func TestRequestLogsWhatIsLeftOfThePool(t *testing.T) {
	for _, c := range []struct {
		name       string
		guaranteed int
		level, fit string
	}{
		{"guarantees fit", 8, "info", "true"},
		{"guarantees do not fit", 9, "warn", "false"},
	} {
		t.Run(c.name, func(t *testing.T) {
			controller, o := newEvacuationController(time.Minute)
			var log bytes.Buffer
			controller.Logger = zerolog.New(&log)
			controller.config.Store(jayconfig.NewConfig(2, nil, nil, []jayconfig.Workspace{{Name: "v", Guaranteed: 1}, {Name: "w", Guaranteed: c.guaranteed - 1}}, jayconfig.Limits{}))
			assert.NilError(t, controller.operatorTail.Refresh(t.Context()))
			l := controller.leadership
			l.setCellTime()
			for _, id := range []string{"a", "b"} {
				l.cell.ApplyReport(jaycell.Report{Node: id, Sequence: 1, Term: 1, Responsive: true, Runner: jaycell.RunnerInfo{ID: id, Service: "s", DataCentre: id, Capacity: jaytask.Resources{CPU: 1000, Accelerators: 8}}})
			}
			decide := func() string {
				log.Reset()
				assert.NilError(t, controller.operatorTail.Refresh(t.Context()))
				l.decide(t.Context())
				_, line, _ := strings.Cut(log.String(), "accelerators_left")
				return line
			}
			assert.Equal(t, decide(), "", "logged without a request")
			o.request("a")
			assert.Equal(t, decide(), fmt.Sprintf("\":8,\"accelerators_guaranteed\":%d,\"guarantees_fit\":%s,\"message\":\"what is left of the pool\"}\n", c.guaranteed, c.fit))
			assert.Assert(t, strings.Contains(log.String(), `"level":"`+c.level+`","event":"evacuation","accelerators_left"`), log.String())
			assert.Equal(t, decide(), "", "logged twice")
			o.remove("a")
			assert.Equal(t, decide(), "", "logged at a removal")
		})
	}
}

// An agent that is told too little, or too low an age, would start tasks in an evacuated data
// centre.
func TestGrantsCarryTheStatement(t *testing.T) {
	const pause = 30 * time.Millisecond
	for _, c := range []struct {
		name       string
		bound      time.Duration
		loaded     bool
		dataCentre string
		known      bool
		evacuated  bool
	}{
		{"evacuated", evacuationBound, true, "a", true, true},
		{"in service", evacuationBound, true, "b", true, false},
		{"topic not read", evacuationBound, false, "a", false, false},
		{"no bound", 0, true, "a", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			controller, o := newEvacuationController(c.bound)
			o.request("a")
			if c.loaded {
				assert.NilError(t, controller.operatorTail.Refresh(t.Context()))
			}
			o.setDown(true)
			time.Sleep(pause)
			var grant jayframe.CellLeaseGrant
			controller.tellEvacuation(&grant, c.dataCentre)
			assert.Equal(t, grant.EvacuationKnown, c.known)
			assert.Equal(t, grant.Evacuated, c.evacuated)
			assert.Equal(t, grant.ViewAgeMillis >= pause.Milliseconds(), c.known, "age %d ms", grant.ViewAgeMillis)
		})
	}
}
