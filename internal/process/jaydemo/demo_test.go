package jaydemo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/iter"
	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaystandin"
	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/internal/version/jaymanifest"
	"github.com/jaystile/jaystile/pkg/jayapi"
	"github.com/jaystile/jaystile/pkg/jayclient"
	"github.com/jaystile/jaystile/pkg/jayrefusal"
)

// shortTiming detects failures fast, so that tests are short.
var shortTiming = Timing{HeartbeatInterval: 50 * time.Millisecond, SilenceTimeout: 400 * time.Millisecond, Lease: 800 * time.Millisecond}

// testTimeout bounds the waits of tests; nothing is measured by it.
const testTimeout = 30 * time.Second

// startFleet starts a deployment and puts its manifest in force.
func startFleet(t *testing.T) *run {
	t.Helper()
	f := NewFleet(kjaergaard(), 3, shortTiming, zerolog.Nop())
	stop, err := f.Start(1)
	assert.NilError(t, err)
	t.Cleanup(stop)
	r := &run{demo: &Demo{Deployment: f.Deployment, Entries: 3}, fleet: f, checker: NewChecker(), clients: map[string]*jayclient.Client{}}
	t.Cleanup(r.createClients())
	assert.NilError(t, r.publishManifest(context.Background()))
	return r
}

// client returns a client of a workspace that connects to one entry only.
func (r *run) client(t *testing.T, entry int, workspace string) *jayclient.Client {
	t.Helper()
	c, closeClient := jayclient.New(r.fleet.Addresses()[entry])
	c.Workspace, c.Key, c.OperatorKey = workspace, WorkspaceKey(workspace), OperatorKey
	t.Cleanup(closeClient)
	return c
}

func program(millis int, answer string) []byte {
	return []byte(fmt.Sprintf(`{"standin_ms":%d,"answer":%q}`, millis, answer))
}

func orderJob(answer, key string, millis int) jayapi.Submission {
	return jayapi.Submission{Kind: "order", Class: "urgent", Members: 1, Payload: program(millis, answer), Key: key, Wait: true, DeadlineMillis: 20_000}
}

func gangJob(answer string, millis int) jayapi.Submission {
	return jayapi.Submission{Kind: "replan", Class: "standard", Members: 2, Accelerators: 8, Near: "rack", Payload: program(millis, answer), Idempotent: true, Checkpointing: true}
}

func (r *run) countRuns(answer string) int {
	var records [][]jaystandin.Run
	for i := range r.fleet.workers {
		records = append(records, r.fleet.workers[i].Runs(), r.fleet.runners[i].Runs())
	}
	return len(runsByToken(records...)[answer])
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("condition not met in time: %s", what)
}

func TestDemoHoldsInvariants(t *testing.T) {
	cases := []struct {
		deployment string
		seed       uint64
		seconds    int
		load       float64
		faults     string
	}{
		{"kjaergaard", 1, 2, 0.7, ""},
		{"salish", 2, 2, 1.1, ""},
		{"kjaergaard", 3, 6, 0.5, "kill_entry,kill_side"},
		{"salish", 4, 6, 0.5, "pause_entry,pause_side,silent_link,one_way_link,slow_link"},
		{"kjaergaard", 5, 6, 0.5, "log_out,log_slow,log_loses_answers,log_stale_reads,drain_side,stop_entry"},
		{"salish", 6, 6, 0.5, "cross_answers,bad_worker,runner_down"},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s %d %s", c.deployment, c.seed, c.faults), func(t *testing.T) {
			d, err := FindDeployment(c.deployment)
			assert.NilError(t, err)
			faults, err := ParseFaults(c.faults, time.Second)
			assert.NilError(t, err)
			demo := &Demo{Deployment: d, Entries: 3, Duration: time.Duration(c.seconds) * time.Second, Seed: c.seed, Load: c.load, Faults: faults, Timing: shortTiming, Logger: zerolog.Nop(), Progress: testWriter{t}}
			s, err := demo.Run(context.Background())
			assert.NilError(t, err)
			assert.NilError(t, s.Err())
			assert.Equal(t, s.Completed+s.Refused+s.Unknown, s.Submitted)
		})
	}
}

// TestAtMostOnceThroughEveryEntry sends one keyed request through all entries
// concurrently, then again, then with another body.
func TestAtMostOnceThroughEveryEntry(t *testing.T) {
	r := startFleet(t)
	key := jayclient.NewKey()
	entries := []int{0, 1, 2}
	iter.ForEach(entries, func(i *int) {
		j, err := r.client(t, *i, "order-desk").Submit(context.Background(), orderJob("pallet", key, 200))
		assert.Check(t, err)
		assert.Check(t, j != nil && string(j.Answers[0]) == "pallet")
	})
	j, err := r.client(t, 1, "order-desk").Submit(context.Background(), orderJob("pallet", key, 200))
	assert.NilError(t, err)
	assert.Equal(t, string(j.Answers[0]), "pallet")
	assert.Equal(t, r.countRuns("pallet"), 1)
	_, err = r.client(t, 2, "order-desk").Submit(context.Background(), orderJob("another", key, 200))
	assert.Equal(t, jayrefusal.From(err).Code(), jayrefusal.KeyReused)
	assert.Equal(t, r.countRuns("another"), 0)
}

// The answer to a caller's first try is cut after the job has run, and its next tries
// are refused as not run. The caller must not take that for the whole job.
func TestRefusedRepetitionSaysNothingOfCutTry(t *testing.T) {
	var tries atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if tries.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(jayapi.FromRefusal(jayrefusal.New(jayrefusal.NoManifest, jayrefusal.NotRun, "no manifest is in force yet")))
	}))
	t.Cleanup(server.Close)
	client, closeClient := jayclient.New(server.Listener.Addr().String())
	t.Cleanup(closeClient)
	kind := kjaergaard().JobKinds()[0]
	kind.Idempotent = true
	r := &run{checker: NewChecker(), clients: map[string]*jayclient.Client{kind.Workspace: client}}
	r.submit(t.Context(), arrival{kind: kind, token: "a", body: jayapi.Submission{Kind: kind.Name, Idempotent: true}})
	assert.Assert(t, tries.Load() > 1)
	assert.Equal(t, len(r.checker.results), 1)
	assert.Equal(t, r.checker.results[0].refusal.Code(), jayrefusal.NoManifest)
	r.checker.checkRuns(map[string][]jaystandin.Run{"a": {{Attempt: "x.0"}}}, time.Second)
	for _, v := range r.checker.Violations() {
		assert.Assert(t, v.Invariant != invariantNotRun, v.Detail)
	}
}

// TestKeyedRequestSurvivesEntryFailure kills the entry that owns a keyed request. A
// retry at another entry gets the answer or "unknown", never a second run.
func TestKeyedRequestSurvivesEntryFailure(t *testing.T) {
	r := startFleet(t)
	key := jayclient.NewKey()
	done := make(chan error, 1)
	go func() {
		_, err := r.client(t, 0, "order-desk").Submit(context.Background(), orderJob("fish", key, 1000))
		done <- err
	}()
	eventually(t, "the request runs", func() bool { return r.countRuns("fish") == 1 })
	r.fleet.KillEntry(0)
	assert.Equal(t, jayrefusal.From(<-done).Outcome(), jayrefusal.Unknown)
	eventually(t, "another entry knows the outcome", func() bool {
		j, err := r.client(t, 1, "order-desk").Submit(context.Background(), orderJob("fish", key, 1000))
		return err == nil && string(j.Answers[0]) == "fish" || err != nil && jayrefusal.From(err).Outcome() == jayrefusal.Unknown && jayrefusal.From(err).RetryAfter() == 0
	})
	assert.Equal(t, r.countRuns("fish"), 1)
	assert.NilError(t, r.fleet.StartEntry(0))
}

func TestWorkspaceIsolation(t *testing.T) {
	r := startFleet(t)
	j, err := r.client(t, 0, "dispatch").Submit(context.Background(), gangJob("plan", 1))
	assert.NilError(t, err)
	other := r.client(t, 0, "warehouse")
	_, foreignErr := other.Job(context.Background(), j.ID, 0)
	_, missingErr := other.Job(context.Background(), "j0000000000000001-1", 0)
	assert.Equal(t, foreignErr.Error(), missingErr.Error())
	_, err = other.Cancel(context.Background(), j.ID)
	assert.Equal(t, jayrefusal.From(err).Code(), jayrefusal.NotFound)
	wrongKey := r.client(t, 0, "dispatch")
	wrongKey.Key = "guess"
	_, err = wrongKey.Job(context.Background(), j.ID, 0)
	assert.Equal(t, jayrefusal.From(err).Code(), jayrefusal.Unauthorized)
	viaOtherEntry, err := r.client(t, 2, "dispatch").Job(context.Background(), j.ID, testTimeout)
	assert.NilError(t, err)
	assert.Equal(t, len(viaOtherEntry.Answers), 2)
	l, err := other.List(context.Background(), "", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(l.Jobs), 0)
}

func TestConcurrentPublishAcceptsOne(t *testing.T) {
	r := startFleet(t)
	r.fleet.Log().SetFaults(jaystandin.LogFaults{LostResponses: 0.5})
	defer r.fleet.Log().SetFaults(jaystandin.LogFaults{})
	var accepted atomic.Int32
	entries := []int{0, 1, 2}
	iter.ForEach(entries, func(i *int) {
		d := kjaergaard()
		d.name = fmt.Sprintf("publisher-%d", *i)
		b, err := d.Manifest(1)
		assert.Check(t, err)
		_, err = r.client(t, *i, "").Publish(context.Background(), b, false)
		if err == nil {
			accepted.Add(1)
			return
		}
		assert.Check(t, jayrefusal.From(err).Code() == jayrefusal.Conflict, "%v", err)
	})
	assert.Equal(t, accepted.Load(), int32(1))
	assert.NilError(t, r.awaitManifest(context.Background(), 2))
}

// TestReplaceAllEntries kills every entry while a durable gang runs. New ones start
// while the log is unavailable, serve with the manifest that the agents have, and
// adopt the gang when the log is back.
func TestReplaceAllEntries(t *testing.T) {
	r := startFleet(t)
	j, err := r.client(t, 0, "dispatch").Submit(context.Background(), gangJob("night", 4000))
	assert.NilError(t, err)
	eventually(t, "the gang runs", func() bool {
		s, err := r.client(t, 0, "dispatch").Job(context.Background(), j.ID, 0)
		return err == nil && s.State == jayapi.JobRunning || err == nil && s.State == jayapi.JobStarting && r.acceleratorsInUse(16)
	})
	for i := range 3 {
		r.fleet.KillEntry(i)
	}
	r.fleet.Log().SetFaults(jaystandin.LogFaults{Unavailable: true})
	for i := range 3 {
		assert.NilError(t, r.fleet.StartEntry(i))
	}
	assert.NilError(t, r.awaitManifest(context.Background(), 1))
	quote := jayapi.Submission{Kind: "pricecheck", Class: "urgent", Members: 1, Accelerators: 1, Payload: program(1, "quote"), Idempotent: true, Wait: true, DeadlineMillis: 20_000}
	answered, err := r.client(t, 1, "order-desk").Submit(context.Background(), quote)
	assert.NilError(t, err)
	assert.Equal(t, string(answered.Answers[0]), "quote")
	_, err = r.client(t, 1, "order-desk").Submit(context.Background(), orderJob("charge", jayclient.NewKey(), 1))
	assert.Equal(t, jayrefusal.From(err).Code(), jayrefusal.LogUnavailable)
	assert.Equal(t, jayrefusal.From(err).Outcome(), jayrefusal.NotRun)
	r.fleet.Log().SetFaults(jaystandin.LogFaults{})
	eventually(t, "the gang's answer", func() bool {
		s, err := r.client(t, 2, "dispatch").Job(context.Background(), j.ID, 0)
		return err == nil && len(s.Answers) == 2 && string(s.Answers[1]) == "night"
	})
	assert.Equal(t, r.countRuns("charge"), 0)
}

// acceleratorsInUse reports whether an entry sees at least n accelerators in use.
func (r *run) acceleratorsInUse(n int) bool {
	s, err := r.operator.Status(context.Background())
	return err == nil && s.Total-s.Free >= n
}

// TestGracefulShutdownLosesNoRequests keeps requests open while every entry and two
// agents are restarted in turn.
func TestGracefulShutdownLosesNoRequests(t *testing.T) {
	r := startFleet(t)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var lost, answered atomic.Int32
	for caller := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := r.client(t, caller%3, "order-desk")
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				_, err := c.Submit(context.Background(), orderJob(fmt.Sprintf("%d-%d", caller, n), jayclient.NewKey(), 150))
				if err == nil {
					answered.Add(1)
					continue
				}
				refusal := jayrefusal.From(err)
				if refusal.Outcome() != jayrefusal.NotRun && !refusedToConnect(refusal) {
					lost.Add(1)
					t.Log(refusal)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	for i := range 3 {
		r.fleet.StopEntry(i)
		assert.NilError(t, r.fleet.StartEntry(i))
		assert.NilError(t, r.awaitManifest(context.Background(), 1))
	}
	for _, i := range []int{0, 5} {
		r.fleet.StopAgent(i)
		assert.NilError(t, r.fleet.StartAgent(i))
	}
	close(stop)
	wg.Wait()
	assert.Equal(t, lost.Load(), int32(0))
	assert.Assert(t, answered.Load() > 0)
}

// refusedToConnect reports whether no entry accepted the connection: a load
// balancer would have sent the request to another one.
func refusedToConnect(r *jayrefusal.Refusal) bool {
	return r.Code() == jayrefusal.Internal && (strings.Contains(r.Message(), "connection refused") || strings.Contains(r.Message(), "closed connection before returning"))
}

func TestUnknownNamesAreErrors(t *testing.T) {
	_, err := FindDeployment("atlantis")
	var deployment *UnknownDeploymentError
	assert.Assert(t, errors.As(err, &deployment))
	_, err = ParseFaults("flood", time.Second)
	var fault *UnknownFaultError
	assert.Assert(t, errors.As(err, &fault))
}

// TestCheckerDetectsViolations gives the checker results and runs that violate one
// invariant each.
func TestCheckerDetectsViolations(t *testing.T) {
	d := kjaergaard()
	a := arrival{kind: d.kinds[4], token: "t"}
	run := jaystandin.Run{Answer: "t", Attempt: "x.0"}
	cases := []struct {
		invariant string
		result    result
		runs      []jaystandin.Run
	}{
		{invariantOwnAnswer, result{arrival: a, job: &jayapi.Job{State: jayapi.JobAnswered, Answers: [][]byte{[]byte("other")}}}, nil},
		{invariantOwnAnswer, result{arrival: a, job: &jayapi.Job{State: jayapi.JobAnswered}}, nil},
		{invariantNotRun, result{arrival: a, refusal: jayrefusal.New(jayrefusal.QueueFull, jayrefusal.NotRun, "x")}, []jaystandin.Run{run}},
		{invariantAtMostOnce, result{arrival: a, job: &jayapi.Job{State: jayapi.JobAnswered, Answers: [][]byte{[]byte("t")}}}, []jaystandin.Run{run, run}},
		{invariantSettled, result{arrival: a, job: &jayapi.Job{State: jayapi.JobRunning}}, nil},
		{invariantWholeGang, result{arrival: arrival{kind: d.kinds[0], token: "t"}, refusal: jayrefusal.New(jayrefusal.Failed, jayrefusal.Ran, "x")}, []jaystandin.Run{{Answer: "t", Attempt: "x.0", End: time.Time{}.Add(time.Hour)}}},
	}
	for _, c := range cases {
		checker := NewChecker()
		checker.recordResult(c.result)
		checker.checkRuns(runsByToken(c.runs), time.Second)
		assert.Equal(t, len(checker.Violations()), 1, c.invariant)
		assert.Equal(t, checker.Violations()[0].Invariant, c.invariant)
	}
}

// testWriter writes progress to the log of the test.
type testWriter struct{ t *testing.T }

// Write implements io.Writer.
func (w testWriter) Write(b []byte) (int, error) {
	w.t.Log(strings.TrimSpace(string(b)))
	return len(b), nil
}

// TestEntryKilledRightAfterStart kills entries before their servers accept
// requests.
func TestEntryKilledRightAfterStart(t *testing.T) {
	r := startFleet(t)
	for range 5 {
		r.fleet.KillEntry(0)
		assert.NilError(t, r.fleet.StartEntry(0))
	}
}

// TestShrunkPoolAcceptsManifests publishes a manifest while most workers are away,
// then one that the whole pool could not satisfy either.
func TestShrunkPoolAcceptsManifests(t *testing.T) {
	r := startFleet(t)
	for i := 1; i < workers; i++ {
		r.fleet.KillAgent(i)
	}
	defer func() {
		for i := 1; i < workers; i++ {
			assert.NilError(t, r.fleet.StartAgent(i))
		}
	}()
	eventually(t, "the pool shrinks", func() bool {
		s, err := r.operator.Status(context.Background())
		return err == nil && len(s.UnmetGuarantees) > 0
	})
	d := kjaergaard()
	d.name = "changed"
	b, err := d.Manifest(1)
	assert.NilError(t, err)
	_, err = r.operator.Publish(context.Background(), b, false)
	assert.NilError(t, err)
	d.workspaces = append(d.workspaces, newWorkspace("greedy", 0, 1, jaymanifest.NewGuarantee("greedy", "all", mustShape(11, 8, jayjob.Anywhere))))
	b, err = d.Manifest(2)
	assert.NilError(t, err)
	_, err = r.operator.Publish(context.Background(), b, false)
	assert.Equal(t, jayrefusal.From(err).Code(), jayrefusal.NeverFits)
}

// TestMalformedRequestsAreRefused sends invalid requests and expects the status and
// code of each refusal.
func TestMalformedRequestsAreRefused(t *testing.T) {
	r := startFleet(t)
	address := r.fleet.Addresses()[0]
	cases := []struct {
		method, path, body string
		status             int
		code               string
	}{
		{"POST", "/v1/jobs", "{", 400, "malformed"},
		{"POST", "/v1/jobs", "[]", 400, "malformed"},
		{"POST", "/v1/jobs", `{"kind":"k","class":"soon","members":1}`, 400, "malformed"},
		{"POST", "/v1/jobs", `{"kind":"k","class":"urgent","members":0}`, 400, "malformed"},
		{"POST", "/v1/jobs", `{"kind":"k","class":"urgent","members":1,"idempotent":true,"runtime_ms":9223372036854775807}`, 400, "malformed"},
		{"POST", "/v1/jobs", `{"kind":"k","class":"urgent","members":1}`, 400, "malformed"},
		{"POST", "/v1/jobs", strings.Repeat("x", 3<<20), 413, "malformed"},
		{"GET", "/v1/jobs?limit=0", "", 400, "malformed"},
		{"GET", "/v1/jobs/nonsense", "", 404, "not_found"},
		{"GET", "/v1/nowhere", "", 404, "not_found"},
		{"POST", "/v1/operator/manifest", "{}", 401, "unauthorized"},
	}
	for _, c := range cases {
		request, err := http.NewRequest(c.method, "http://"+address+c.path, strings.NewReader(c.body))
		assert.NilError(t, err)
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set(jayapi.WorkspaceHeader, "dispatch")
		request.Header.Set(jayapi.AuthorizationHeader, jayapi.BearerPrefix+WorkspaceKey("dispatch"))
		response, err := http.DefaultClient.Do(request)
		if c.status == 413 && err != nil {
			continue // The server may close the connection when a body is too long.
		}
		assert.NilError(t, err)
		var body jayapi.Refusal
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&body), c.body)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, c.status, "%s %s", c.path, body.Message)
		assert.Equal(t, body.Code, c.code)
		// Whether a job that no entry knows has run is unknown.
		want := jayrefusal.NotRun
		if strings.HasPrefix(c.path, "/v1/jobs/") {
			want = jayrefusal.Unknown
		}
		assert.Equal(t, body.Outcome, string(want), body.Message)
	}
}

// TestReservationsAreFreedAfterReconnect cuts the link between the entry of an
// urgent job and the agents: the job moves at once, and the agent frees the old
// reservation when the link is back.
func TestReservationsAreFreedAfterReconnect(t *testing.T) {
	r := startFleet(t)
	c := r.client(t, 0, "order-desk")
	done := make(chan *jayapi.Job, 1)
	go func() {
		j, err := c.Submit(context.Background(), jayapi.Submission{Kind: "pricecheck", Class: "urgent", Members: 1, Accelerators: 1, Payload: program(3000, "moved"), Idempotent: true, Wait: true})
		assert.Check(t, err)
		done <- j
	}()
	eventually(t, "the job runs", func() bool { return r.acceleratorsInUse(1) })
	r.fleet.Relays()[0].SetFaultOnOpen(jaystandin.RelayFault{DropForward: true, DropBack: true})
	j := <-done
	assert.Assert(t, j != nil && j.State == jayapi.JobAnswered)
	eventually(t, "every reservation is freed", func() bool {
		reservations := 0
		for i := range workers {
			reservations += r.fleet.Agent(i).ReservationCount()
		}
		return reservations == 0
	})
	assert.Assert(t, r.countRuns("moved") >= 1)
}

// TestOverrunIsThrottledThenStopped runs tasks that use more accelerators than
// they reserved. One that ignores the throttling is stopped.
func TestOverrunIsThrottledThenStopped(t *testing.T) {
	cases := []struct {
		payload string
		state   jayapi.JobState
	}{
		{`{"standin_ms":300,"answer":"greedy","uses":4}`, jayapi.JobAnswered},
		{`{"standin_ms":300,"answer":"stubborn","uses":4,"stubborn":true}`, jayapi.JobRefused},
	}
	r := startFleet(t)
	for _, c := range cases {
		j, err := r.client(t, 0, "warehouse").Submit(context.Background(), jayapi.Submission{Kind: "overrun", Class: "standard", Members: 1, Accelerators: 2, Payload: []byte(c.payload), Key: jayclient.NewKey(), Wait: true})
		if c.state == jayapi.JobAnswered {
			assert.NilError(t, err)
			assert.Equal(t, j.State, c.state)
			continue
		}
		assert.Equal(t, jayrefusal.From(err).Code(), jayrefusal.Failed)
		assert.Assert(t, strings.Contains(err.Error(), "uses 4 accelerators and holds 2"), "%v", err)
	}
	throttled := uint64(0)
	for i := range workers {
		throttled += r.fleet.Agent(i).Metrics().GetOrCreateCounter(`jaystile_side_throttled_total`).Get()
	}
	assert.Equal(t, throttled, uint64(2))
}

// TestNeverFitsIsDecidedOncePoolIsKnown submits to an entry that has just started.
// A job that fits the pool must not be refused while the entry still lacks agents;
// one that is too large for it must be.
func TestNeverFitsIsDecidedOncePoolIsKnown(t *testing.T) {
	r := startFleet(t)
	r.fleet.KillEntry(0)
	assert.NilError(t, r.fleet.StartEntry(0))
	c := r.client(t, 0, "dispatch")
	submit := func(s jayapi.Submission) (j *jayapi.Job, err error) {
		s.Wait = true
		s.DeadlineMillis = 20_000
		eventually(t, "the entry accepts jobs", func() bool {
			j, err = c.Submit(context.Background(), s)
			return err == nil || !retryable(jayrefusal.From(err).Code())
		})
		return j, err
	}
	j, err := submit(gangJob("early", 1))
	assert.NilError(t, err)
	assert.Equal(t, j.State, jayapi.JobAnswered)
	_, err = submit(jayapi.Submission{Kind: "huge", Class: "standard", Members: 2, Accelerators: 64, Idempotent: true})
	assert.Equal(t, jayrefusal.From(err).Code(), jayrefusal.NeverFits)
	assert.Assert(t, strings.Contains(err.Error(), "the nearest shape that could is 2x8"), "%v", err)
}
