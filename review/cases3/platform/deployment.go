package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Sizes of a small deployment.
const (
	entries      = 3
	runners      = 11
	entryMemory  = 284
	agentMemory  = 152
	restartDelay = 200 * time.Millisecond
	callTimeout  = 3 * time.Second
)

const host = "nony24.example"

var zones = []string{"fryserum-a", "fryserum-b", "kontorhal"}

// process is one of the project's programs. It is restarted when it ends, as the platform does.
type process struct {
	name, role, settings string
	memoryMB             int
	logFile              string

	mutex   sync.Mutex
	command *exec.Cmd
	// peakMB is the highest resident size, overLimit how often that was over the machine's memory,
	// exits how often the process ended by itself.
	peakMB    int
	overLimit int
	exits     int
	stopped   bool
}

// deployment is a whole deployment on loopback addresses.
type deployment struct {
	record    *record
	dir       string
	store     *store
	runners   []*runner
	processes []*process
	fronts    []string
	done      chan struct{}
	wg        sync.WaitGroup
	servers   map[string]*http.Server
	next      atomic.Int64
	version   int

	mutex    sync.Mutex
	jobs     map[string]*job
	stopOnce sync.Once
}

// job is a job that a caller hands in.
type job struct {
	id    string
	route string
	key   string
	body  string
	// steps tells what the tasks of each step need.
	steps []jobStep
	// accepted is set once it was answered with success.
	accepted   bool
	acceptedAt time.Time
}

type jobStep struct {
	count int
	work  work
}

func (j *job) tasks() (all []string) {
	for i, s := range j.steps {
		for n := range s.count {
			all = append(all, fmt.Sprintf("%s.0.%d.%d", j.id, i, n))
		}
	}
	return all
}

// address returns the loopback address of a machine.
func address(machine int) string {
	return fmt.Sprintf("127.%d.%d.%d", 60+os.Getpid()%150, 1+os.Getpid()/150%200, 1+machine)
}

// The ports of each machine begin with basePort, which findPorts chooses.
var basePort int

const (
	portsPerMachine = 6
	firstPort       = 8500
	portRange       = 10_000
	portTries       = 50
	storeMachine    = 100
	adviceMachine   = 101
)

func at(machine, port int) string { return address(machine) + ":" + strconv.Itoa(basePort+port) }

// findPorts chooses ports that are free on all machines.
func findPorts() error {
	var err error
	for range portTries {
		basePort = firstPort + rand.IntN(portRange)/portsPerMachine*portsPerMachine
		if err = checkPorts(); err == nil {
			return nil
		}
	}
	return err
}

func checkPorts() error {
	machines := []int{storeMachine, adviceMachine}
	for i := range entries + runners {
		machines = append(machines, i)
	}
	for _, m := range machines {
		for p := range portsPerMachine {
			l, err := net.Listen("tcp", at(m, p))
			if err != nil {
				return err
			}
			if err := l.Close(); err != nil {
				return err
			}
		}
	}
	return nil
}

// newDeployment returns a deployment that has not been started.
func newDeployment(rec *record) *deployment {
	return &deployment{record: rec, store: newStore(), done: make(chan struct{}), jobs: map[string]*job{}, servers: map[string]*http.Server{}}
}

// start starts the stand-ins and the programs. The deployment is to be stopped also after an error.
func (d *deployment) start(binary string) error {
	var err error
	if d.dir, err = os.MkdirTemp("", "jaystile-case-"); err != nil {
		return err
	}
	if err := findPorts(); err != nil {
		return err
	}
	storeAt := at(storeMachine, 0)
	if err := d.serve(storeAt, d.store); err != nil {
		return err
	}
	if err := d.serve(at(adviceMachine, 0), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { answer(w, 429, struct{}{}) })); err != nil {
		return err
	}
	d.publish()
	var seeds []string
	for i := range entries {
		seeds = append(seeds, at(i, 2))
	}
	for i := range entries {
		d.fronts = append(d.fronts, at(i, 0))
		ini := fmt.Sprintf("[process]\nname = edge-%s-1\ndata_centre = %s\ncores = 0.4\nmemory_mb = %d\ndescriptors = 4100\n\n[listen]\ncallers = %s\nreadiness = %s\ncontrol = %s\nlink = %s\nmetrics = %s\n\n", zones[i], zones[i], entryMemory, at(i, 0), at(i, 1), at(i, 2), at(i, 3), at(i, 4))
		ini += settings(seeds, storeAt, true)
		if err := d.startProcess(binary, "edge-"+zones[i]+"-1", "cell-entry", ini, entryMemory); err != nil {
			return err
		}
	}
	for i := range runners {
		m := entries + i
		zone := zones[i%len(zones)]
		r := newRunner(fmt.Sprintf("i-%08x", 0x7f3a9100+i), at(m, 5), at(m, 2), zone, "huvo11a", fmt.Sprintf("r%d-%d", i%len(zones)+1, i/9+1), d.record, d.workOf)
		d.runners = append(d.runners, r)
		if err := d.serve(r.address, r); err != nil {
			return err
		}
		d.wg.Add(1)
		go func() { defer d.wg.Done(); r.supervise(d.done) }()
		name := fmt.Sprintf("side-%s-%d", zone, i/len(zones)+1)
		ini := fmt.Sprintf("[process]\nname = %s\ndata_centre = %s\ncores = 0.24\nmemory_mb = %d\ndescriptors = 4096\n\n[listen]\ncontrol = %s\nlink = %s\nmetrics = %s\n\n", name, zone, agentMemory, at(m, 2), at(m, 3), at(m, 4))
		ini += settings(seeds, storeAt, false) + fmt.Sprintf("[runner]\naddress = %s\nservice = huvo11a\norders = call\nheartbeat_ms = 1500\n", r.address)
		if err := d.startProcess(binary, name, "cell-side", ini, agentMemory); err != nil {
			return err
		}
	}
	return nil
}

// settings returns the part of the settings file that all machines share.
func settings(seeds []string, store string, entry bool) string {
	s := "[peers]\nseeds = " + strings.Join(seeds, ",") + "\n\n[store]\naddress = " + store + "\n"
	if entry {
		s += fmt.Sprintf("record_bytes = %d\ncall_bytes = 2097152\n\n[advice]\naddress = %s\n", recordBytes, at(adviceMachine, 0))
	}
	s += "\n[bounds]\nhold_most_ms = 10000\nstop_ms = 900\ngang_ms = 3000\nreclaim_ms = 3400\nevacuation_ms = \nretention_s = 120\nfar_factor = 3\ngrace_s = 6\n\n"
	if entry {
		s += "[overload]\nadmission = on\n"
	}
	return s
}

// publish stores the operator's configuration.
func (d *deployment) publish() {
	d.version++
	route := func(name, prefix string, priority int, objective, stretch float64) map[string]any {
		return map[string]any{"Name": name, "Host": host, "PathPrefix": prefix, "Type": "non_idempotent", "TimeoutMs": 3000, "SloMs": objective, "Priority": priority, "Service": "huvo11a", "Attempts": 4, "Stretch": stretch, "Public": false}
	}
	b, err := json.Marshal(map[string]any{
		"Version":  d.version,
		"Routes":   []any{route("r-quote", "/pufi791/", 0, 250, 1.5), route("r-plan", "/lohu930/", 1, 1000, 3), route("r-cast", "/pule252/", 2, 3000, 3)},
		"Services": []any{map[string]any{"Name": "huvo11a", "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1", "Tls": false, "AdmissionCheck": true, "Standby": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{
			map[string]any{"Name": "kaje80", "ApiKeys": []string{ordinaryKey}, "Priority": 1, "Guaranteed": map[string]int{"Gpu": 16}},
			map[string]any{"Name": "moru17", "ApiKeys": []string{otherKey}, "Priority": 1, "Guaranteed": map[string]int{"Gpu": 16}},
		},
	})
	if err != nil {
		panic(err)
	}
	d.store.put("keyed.op", "config", b)
}

const (
	ordinaryKey = "d4a3hwrr6x73d3zji9n7"
	otherKey    = "3hh2b9wu3fexd9dnn2ct"
)

func (d *deployment) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	d.mutex.Lock()
	d.servers[address] = s
	d.mutex.Unlock()
	go func() { _ = s.Serve(l) }()
	return nil
}

// crash crashes a runner, which is back after a time.
func (d *deployment) crash(r *runner, back time.Duration) {
	d.mutex.Lock()
	s := d.servers[r.address]
	d.mutex.Unlock()
	_ = s.Close()
	d.record.add("runner %s crashes with %d runs", r.id, r.crash())
	time.Sleep(back)
	r.restart()
	if err := d.serve(r.address, r); err != nil {
		d.record.add("runner %s isn't back: %v", r.id, err)
	}
}

func (d *deployment) startProcess(binary, name, role, ini string, memoryMB int) error {
	p := &process{name: name, role: role, settings: filepath.Join(d.dir, name+".ini"), memoryMB: memoryMB, logFile: filepath.Join(d.dir, name+".log")}
	if err := os.WriteFile(p.settings, []byte(ini), 0o600); err != nil {
		return err
	}
	d.processes = append(d.processes, p)
	d.wg.Add(1)
	go func() { defer d.wg.Done(); p.supervise(binary, d.record) }()
	return nil
}

// supervise starts the process whenever it has ended.
func (p *process) supervise(binary string, rec *record) {
	for {
		log, err := os.OpenFile(p.logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			rec.add("%s has no log: %v", p.name, err)
			return
		}
		c := exec.Command(binary, p.role)
		c.Env = append(os.Environ(), "JAYSTILE_BOOT="+p.settings)
		c.Stdout, c.Stderr = log, log
		p.mutex.Lock()
		if p.stopped {
			p.mutex.Unlock()
			_ = log.Close()
			return
		}
		err = c.Start()
		p.command = c
		p.mutex.Unlock()
		if err != nil {
			rec.add("%s does not start: %v", p.name, err)
			return
		}
		err = c.Wait()
		_ = log.Close()
		p.mutex.Lock()
		p.command = nil
		stopped := p.stopped
		if !stopped {
			p.exits++
		}
		p.mutex.Unlock()
		if !stopped {
			rec.add("process %s has ended: %v", p.name, err)
		}
		time.Sleep(restartDelay)
	}
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s)
	}
}

// resident returns the resident size in MB, zero if it is unknown.
func (p *process) resident() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			if err == nil {
				return kb >> 10
			}
		}
	}
	return 0
}

// note notes the resident size and reports whether it is over the memory of the machine.
func (p *process) note(mb int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.peakMB = max(p.peakMB, mb)
	if mb > p.memoryMB {
		p.overLimit++
	}
	return mb > p.memoryMB
}

// figures returns the peak of the resident size, how often that was over the memory, and how often the
// process has ended.
func (p *process) figures() (peakMB, overLimit, exits int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.peakMB, p.overLimit, p.exits
}

// enforceMemory kills processes over the memory of their machines, as the platform does, until done is closed.
func (d *deployment) enforceMemory() {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		for {
			select {
			case <-d.done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			for _, p := range d.processes {
				mb := p.resident()
				if p.note(mb) {
					d.record.add("process %s has %d MB, its machine %d: killed", p.name, mb, p.memoryMB)
					p.signal(syscall.SIGKILL)
				}
			}
		}
	}()
}

// stop ends all processes and stand-ins, once.
func (d *deployment) stop(keepLogs bool) { d.stopOnce.Do(func() { d.end(keepLogs) }) }

func (d *deployment) end(keepLogs bool) {
	for _, p := range d.processes {
		p.mutex.Lock()
		p.stopped = true
		p.mutex.Unlock()
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	close(d.done)
	d.wg.Wait()
	d.mutex.Lock()
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.mutex.Unlock()
	if !keepLogs {
		_ = os.RemoveAll(d.dir)
	}
}

// workOf returns what is known of a subtask.
func (d *deployment) workOf(task string) (work, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return work{}, false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	j := d.jobs[parts[0]]
	step, err := strconv.Atoi(parts[2])
	if j == nil || err != nil || step >= len(j.steps) {
		return work{}, false
	}
	return j.steps[step].work, true
}

// call sends a caller's request to an entry. Status 0 is no answer.
func (d *deployment) call(entry int, method, path, key, body string) (status int, answer string) {
	q, err := http.NewRequest(method, "http://"+d.fronts[entry]+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	q.Host = host
	q.Header.Set("Credential", key)
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	began := time.Now()
	a, err := client.Do(q)
	if err != nil {
		d.record.add("%s %s at %d: no answer after %s: %v", method, path, entry, time.Since(began).Round(time.Millisecond), err)
		return 0, ""
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		d.record.add("%s %s at %d: broken answer: %v", method, path, entry, err)
		return 0, ""
	}
	d.record.add("%s %s (%d bytes) at %d: %d %s after %s", method, path, len(body), entry, a.StatusCode, bytes.TrimSpace(b), time.Since(began).Round(time.Millisecond))
	return a.StatusCode, string(b)
}

// submit hands a job in, with up to five tries at different entries, and reports whether it was accepted.
func (d *deployment) submit(j *job) bool {
	d.mutex.Lock()
	d.jobs[j.id] = j
	d.mutex.Unlock()
	first := int(d.next.Add(1))
	for try := range 5 {
		status, _ := d.call((first+try)%entries, "POST", j.route+j.id, j.key, j.body)
		if status >= 200 && status < 300 {
			d.mutex.Lock()
			j.accepted, j.acceptedAt = true, time.Now()
			d.mutex.Unlock()
			return true
		}
		if status >= 400 && status < 429 {
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// state returns a job's state as an entry tells it, empty without an answer.
func (d *deployment) state(j *job, entry int) string {
	status, body := d.call(entry, "GET", j.route+j.id, j.key, "")
	if status == 410 {
		return "gone"
	}
	var a struct{ State string }
	if status != 200 || json.Unmarshal([]byte(body), &a) != nil {
		return ""
	}
	return a.State
}

// awaitReady waits until all entries serve and all runners are known, and reports whether that came.
func (d *deployment) awaitReady() bool {
	deadline := time.Now().Add(20 * time.Second)
	client := &http.Client{Timeout: time.Second}
	for time.Now().Before(deadline) {
		ready := 0
		for i := range entries {
			a, err := client.Get("http://" + at(i, 1) + "/ready")
			if err == nil {
				_ = a.Body.Close()
				if a.StatusCode == 200 {
					ready++
				}
			}
		}
		held := 0
		for _, r := range d.runners {
			r.mutex.Lock()
			if r.deadline > r.clock() {
				held++
			}
			r.mutex.Unlock()
		}
		if ready == entries && held == runners {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
