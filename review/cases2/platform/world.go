package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "duesdesk"
	zoneName    = "tacoma-hall"
	hostName    = "case.example"
	apiKey      = "key-of-the-tenant"
	entryCount  = 3
	runnerCount = 11
	runnersRack = 3
	// callerTimeout is how long callers wait for a response.
	callerTimeout = 3 * time.Second
)

// world is a small deployment: the project's own entries and sides as processes, and stand-ins
// of the store, the runners and the callers.
type world struct {
	binary string
	dir    string
	began  time.Time
	ctx    context.Context
	cancel context.CancelFunc

	recordMutex sync.Mutex
	record      *os.File
	violations  []string
	failures    []string

	store   *store
	entries []*process
	sides   []*process

	runnersMutex sync.Mutex
	runners      []*runner
	// jobs holds what callers have sent, starts the starts by job, and gangs the present members
	// of each gang's run. runnersMutex guards them.
	jobs   map[string]job
	starts map[string][]start
	gangs  map[string][]*run
	// onStart is called with each start, with runnersMutex held.
	onStart func(r *runner, x *run)

	listenersMutex sync.Mutex
	listeners      map[string]*http.Server

	linkPort, controlPort, callersPort, readyPort, metricsPort, runnerPort int
	storeAddress                                                           string
}

// start is one start of a task that a runner has begun.
type start struct {
	task string
	run  int
	at   time.Time
}

// job and step are what callers send.
type job struct {
	Spec  string
	Steps []step
}

type step struct {
	Count        int
	Cpu          int    `json:",omitempty"`
	MemMb        int    `json:",omitempty"`
	Gpu          int    `json:",omitempty"`
	EstMs        int    `json:",omitempty"`
	After        []int  `json:",omitempty"`
	Gang         bool   `json:",omitempty"`
	SameRack     bool   `json:",omitempty"`
	DataRack     string `json:",omitempty"`
	MaxPerServer int    `json:",omitempty"`
	Daemon       bool   `json:",omitempty"`
	// work is how long a task takes.
	work time.Duration
}

// process is one of the project's programs.
type process struct {
	name, role, settings, address string
	command                       *exec.Cmd
	log                           *os.File
}

func newWorld(binary, record string) (*world, error) {
	dir, err := os.MkdirTemp("", "jaystile-case-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{binary: binary, dir: dir, record: f, began: time.Now(), jobs: map[string]job{}, starts: map[string][]start{}, gangs: map[string][]*run{}, listeners: map[string]*http.Server{}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.store = newStore(w)
	return w, nil
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.recordMutex.Lock()
	defer w.recordMutex.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// violate records that a rule is broken.
func (w *world) violate(format string, args ...any) {
	w.note("BROKEN "+format, args...)
	w.recordMutex.Lock()
	defer w.recordMutex.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// fail records that the case cannot run.
func (w *world) fail(format string, args ...any) {
	w.note("CANNOT RUN "+format, args...)
	w.recordMutex.Lock()
	defer w.recordMutex.Unlock()
	w.failures = append(w.failures, fmt.Sprintf(format, args...))
}

// sleep reports whether the world goes on after a time.
func (w *world) sleep(d time.Duration) bool {
	select {
	case <-w.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// listen serves an address with a handler.
func (w *world) listen(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	w.listenersMutex.Lock()
	w.listeners[address] = server
	w.listenersMutex.Unlock()
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			w.fail("serve %s: %v", address, err)
		}
	}()
	return nil
}

// stopListening closes an address and its connections.
func (w *world) stopListening(address string) {
	w.listenersMutex.Lock()
	server := w.listeners[address]
	delete(w.listeners, address)
	w.listenersMutex.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// freePorts returns ports that are free on the machine's own address.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// join returns an address. Each machine has a loopback address of its own.
func join(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

func entryIP(n int) string { return fmt.Sprintf("127.0.61.%d", n+1) }

func sideIP(n int) string { return fmt.Sprintf("127.0.62.%d", n+1) }

// boot starts the store, the runners and all processes, and waits until they can place work.
func (w *world) boot() error {
	ports, err := freePorts(7)
	if err != nil {
		return err
	}
	w.linkPort, w.controlPort, w.callersPort, w.readyPort, w.metricsPort, w.runnerPort = ports[0], ports[1], ports[2], ports[3], ports[4], ports[5]
	w.storeAddress = join("127.0.0.1", ports[6])
	if err := w.listen(w.storeAddress, w.store); err != nil {
		return err
	}
	w.publish(1)
	var seeds []string
	for n := range entryCount {
		seeds = append(seeds, join(entryIP(n), w.controlPort))
	}
	for n := range entryCount {
		p, err := w.startProcess(fmt.Sprintf("edge-%d", n+1), "cell-entry", entryIP(n), seeds, "")
		if err != nil {
			return err
		}
		p.address = join(entryIP(n), w.callersPort)
		w.entries = append(w.entries, p)
	}
	for n := range runnerCount {
		address := join(sideIP(n), w.runnerPort)
		r := newRunner(w, n+1, address, join(sideIP(n), w.controlPort), fmt.Sprintf("r1-%d", n/runnersRack+1))
		if err := w.listen(address, r); err != nil {
			return err
		}
		w.runners = append(w.runners, r)
		p, err := w.startProcess(fmt.Sprintf("side-%d", n+1), "cell-side", sideIP(n), seeds, address)
		if err != nil {
			return err
		}
		w.sides = append(w.sides, p)
		go r.work()
		go r.report()
	}
	return w.awaitReady()
}

// writeSettings writes the settings that the templates of the deploy file give a small deployment.
func (w *world) writeSettings(name, role, ip string, seeds []string, runnerAddress string) (string, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "[process]\nname = %s\ndata_centre = %s\ncores = 0.4\n[listen]\ncontrol = %s\nlink = %s\nmetrics = %s\n", name, zoneName, join(ip, w.controlPort), join(ip, w.linkPort), join(ip, w.metricsPort))
	if role == "cell-entry" {
		fmt.Fprintf(&b, "callers = %s\nreadiness = %s\n", join(ip, w.callersPort), join(ip, w.readyPort))
	}
	fmt.Fprintf(&b, "[peers]\nseeds = %s\n[store]\naddress = %s\n", strings.Join(seeds, ","), w.storeAddress)
	b.WriteString("[bounds]\nhold_most_ms = 6000\nstop_ms = 400\ngang_ms = 3000\nreclaim_ms = 2900\nretention_s = 120\nfar_factor = 3\ngrace_s = 6\n")
	if role == "cell-entry" {
		b.WriteString("[overload]\nadmission = on\n")
	} else {
		fmt.Fprintf(&b, "[runner]\naddress = %s\nservice = %s\norders = call\nheartbeat_ms = 1500\n", runnerAddress, serviceName)
	}
	path := filepath.Join(w.dir, name+".ini")
	return path, os.WriteFile(path, []byte(b.String()), 0o600)
}

func (w *world) startProcess(name, role, ip string, seeds []string, runnerAddress string) (*process, error) {
	path, err := w.writeSettings(name, role, ip, seeds, runnerAddress)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(w.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, role: role, settings: path, log: log}
	p.command = exec.Command(w.binary, role)
	p.command.Env = append(os.Environ(), "JAYSTILE_BOOT="+path)
	p.command.Stdout, p.command.Stderr = log, log
	return p, p.command.Start()
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// publish puts a configuration into the store, as the operator does.
func (w *world) publish(version int) {
	route := func(name, prefix string, priority int, sloMs, stretch float64) map[string]any {
		return map[string]any{"Name": name, "Host": hostName, "PathPrefix": prefix, "Type": "non_idempotent", "TimeoutMs": 3000, "SloMs": sloMs, "Priority": priority, "Service": serviceName, "Attempts": 4, "Stretch": stretch, "Public": false}
	}
	b, err := json.Marshal(map[string]any{
		"Version":  version,
		"Routes":   []any{route("quote", "/quote/", 0, 250, 1.5), route("recalc", "/recalc/", 1, 1000, 3), route("sweep", "/sweep/", 2, 3000, 3)},
		"Services": []any{map[string]any{"Name": serviceName, "AdmissionCheck": true}},
		"Tenants":  []any{map[string]any{"Name": "tenant", "ApiKeys": []string{apiKey}, "Guaranteed": map[string]int{"Gpu": 8}}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 2000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	w.store.put("keyed.op", "config", b)
	w.note("operator: configuration %d is in the store", version)
}

// awaitReady waits until every entry is ready and every runner has been asked for its runs, which
// their agents do once they follow a leader.
func (w *world) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		ready := 0
		for n := range entryCount {
			resp, err := http.Get("http://" + join(entryIP(n), w.readyPort) + "/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		w.runnersMutex.Lock()
		for _, r := range w.runners {
			if r.fence > 0 {
				ready++
			}
		}
		w.runnersMutex.Unlock()
		if ready == entryCount+runnerCount {
			time.Sleep(2 * time.Second)
			w.note("all entries are ready and all runners follow a leader")
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the processes are not ready after 20 s")
}

// close ends all processes.
func (w *world) close() {
	w.cancel()
	for _, p := range append(w.entries, w.sides...) {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		_ = p.command.Wait()
		_ = p.log.Close()
	}
	_ = w.record.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs are in", w.dir)
	}
}

// answer is an answer to a caller; its status is 0 if there was none.
type answer struct {
	status  int
	state   string
	pending int
}

// call sends a caller's request to an entry.
func (w *world) call(entry int, method, path string, body []byte, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+w.entries[entry].address+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	q.Host = hostName
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Credential", apiKey)
	q.Header.Set("Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(q)
	if err != nil {
		w.note("caller: %s %s at %s: no answer", method, path, w.entries[entry].name)
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	var in struct {
		State   string
		Pending int
	}
	_ = json.Unmarshal(b, &in)
	w.note("caller: %s %s at %s: %d %s", method, path, w.entries[entry].name, resp.StatusCode, strings.TrimSpace(string(b)))
	return answer{status: resp.StatusCode, state: in.State, pending: in.Pending}
}

// submit submits a job and reports whether it was accepted.
func (w *world) submit(entry int, prefix, id string, j job) bool {
	w.remember(id, j)
	return w.call(entry, http.MethodPost, prefix+id, encodeJob(j), callerTimeout).status == http.StatusOK
}

func (w *world) remember(id string, j job) {
	w.runnersMutex.Lock()
	defer w.runnersMutex.Unlock()
	w.jobs[id] = j
}

func encodeJob(j job) []byte {
	b, err := json.Marshal(j)
	if err != nil {
		panic(err)
	}
	return b
}

// stepOf returns the step of a task that a caller has sent. runnersMutex is held.
func (w *world) stepOf(task string) (step, bool) {
	parts := strings.Split(task, ".")
	j, ok := w.jobs[parts[0]]
	if !ok || len(parts) != 4 {
		return step{}, false
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil || n >= len(j.Steps) {
		return step{}, false
	}
	return j.Steps[n], true
}

// started records a start. runnersMutex is held.
func (w *world) started(r *runner, x *run) {
	w.note("runner %s (rack %s): %s run %d starts", r.id, r.rack, x.task, x.number)
	id := jobOf(x.task)
	w.starts[id] = append(w.starts[id], start{task: x.task, run: x.number, at: x.startedAt})
	if x.step.Gang {
		key := gangOf(x)
		w.gangs[key] = append(w.gangs[key], x)
		if members := w.gangs[key]; len(members) == x.step.Count {
			for _, m := range members {
				m.workingSince = x.startedAt
			}
		}
	} else {
		x.workingSince = x.startedAt
	}
	if w.onStart != nil {
		w.onStart(r, x)
	}
}

// gangOf returns the name of a gang's run.
func gangOf(x *run) string {
	return fmt.Sprintf("%s#%d", x.task[:strings.LastIndexByte(x.task, '.')], x.number)
}

// ended ends the gang of a run that has ended. runnersMutex is held.
func (w *world) ended(x *run, how string) {
	if !x.step.Gang {
		return
	}
	members := w.gangs[gangOf(x)]
	delete(w.gangs, gangOf(x))
	if how != "done" {
		how = "broken"
	}
	for _, m := range members {
		for _, r := range w.runners {
			r.end(m, how)
		}
	}
}

// startsOf returns the starts of a job.
func (w *world) startsOf(id string) []start {
	w.runnersMutex.Lock()
	defer w.runnersMutex.Unlock()
	return append([]start(nil), w.starts[id]...)
}

// use is the shares of the capacity of the service that are in use.
type use struct{ cpu, memory, accelerators float64 }

// underHalf reports whether under half of every resource is in use.
func (u use) underHalf() bool { return u.cpu < 0.5 && u.memory < 0.5 && u.accelerators < 0.5 }

// room returns the use of the service and how many tasks of a step more would fit at once.
func (w *world) room(s step) (use, int) {
	w.runnersMutex.Lock()
	defer w.runnersMutex.Unlock()
	var u use
	fits := 0
	for _, r := range w.runners {
		cpu, memory, accelerators := 0, 0, 0
		for _, x := range r.running {
			cpu, memory, accelerators = cpu+x.step.Cpu, memory+x.step.MemMb, accelerators+x.step.Gpu
		}
		u.cpu += float64(cpu) / runnerCPU / runnerCount
		u.memory += float64(memory) / runnerMemory / runnerCount
		u.accelerators += float64(accelerators) / runnerAccelerators / runnerCount
		if r.down {
			continue
		}
		n := 1 << 20
		for _, p := range [][2]int{{s.Cpu, runnerCPU - cpu}, {s.MemMb, runnerMemory - memory}, {s.Gpu, runnerAccelerators - accelerators}} {
			if p[0] > 0 {
				n = min(n, p[1]/p[0])
			}
		}
		fits += n
	}
	return u, fits
}
