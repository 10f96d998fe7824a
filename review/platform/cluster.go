package main

import (
	"bytes"
	"encoding/json"
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
	entries = 3
	// The ports are the same on all machines, of which each has a loopback address.
	callersPort, readinessPort, controlPort, linkPort, metricsPort = 8521, 8523, 8526, 7000, 7001
	// machineOfSides is the number of the first machine of a side.
	machineOfSides = 100

	bounds = "[bounds]\nhold_most_ms = 10000\nstop_ms = 900\ngang_ms = 3000\nreclaim_ms = 3400\nretention_s = 120\nfar_factor = 3\ngrace_s = 6\n"
	config = `{"Version":1,"Routes":[{"Name":"r","Host":"ordrevagt.example","PathPrefix":"/pricecheck/","TimeoutMs":3000,"SloMs":1000,"Priority":0,"Service":"ordrevagt","Attempts":4,"Stretch":3.0,"Public":false}],` +
		`"Services":[{"Name":"ordrevagt","AdmissionCheck":true}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144},"Tenants":[{"Name":"one","ApiKeys":["key-one"],"Guaranteed":{"Gpu":8}}]}`
)

// process is a process of the system under test.
type process struct {
	role, settings string
	cmd            *exec.Cmd
}

// cluster is a small deployment: entries, sides with their runners, and the store.
type cluster struct {
	record  *journal
	store   *store
	runners []*runner
	dir     string
	network int

	processes []*process
	servers   []*http.Server
	done      chan struct{}
	wg        sync.WaitGroup
	// working waits for the runners' work.
	working sync.WaitGroup
}

// newCluster starts the store and the runners.
func newCluster(record *journal, runners int, workTime time.Duration) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	c := &cluster{record: record, store: newStore(), dir: dir, done: make(chan struct{})}
	c.network, err = freeNetwork(runners)
	if err != nil {
		return nil, err
	}
	for i := range runners {
		c.runners = append(c.runners, newRunner(fmt.Sprintf("i-%02d", i+1), workTime, record))
	}
	return c, nil
}

// freeNetwork returns the second number of loopback addresses on which all ports are free.
func freeNetwork(runners int) (int, error) {
	for n := range 200 {
		network := 20 + (os.Getpid()+n)%200
		if portsAreFree(network, 1, entries) && portsAreFree(network, machineOfSides, runners) {
			return network, nil
		}
	}
	return 0, fmt.Errorf("free ports: %w", syscall.EADDRINUSE)
}

func portsAreFree(network, first, count int) bool {
	for i := range count {
		for _, port := range []int{callersPort, readinessPort, controlPort, linkPort, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.%d:%d", network, first+i, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (c *cluster) host(machine int) string { return fmt.Sprintf("127.%d.1.%d", c.network, machine) }

// serve serves a handler on a free port and returns its address.
func (c *cluster) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: h}
	c.servers = append(c.servers, server)
	c.wg.Go(func() { _ = server.Serve(l) })
	return l.Addr().String(), nil
}

// start starts the stand-ins and the processes of the system.
func (c *cluster) start() error {
	c.store.put("keyed.op", "config", []byte(config))
	store, err := c.serve(c.store)
	if err != nil {
		return err
	}
	seeds := []string{}
	for i := range entries {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.host(1+i), controlPort))
	}
	common := fmt.Sprintf("[peers]\nseeds = %s\n[store]\naddress = %s\n%s", strings.Join(seeds, ","), store, bounds)
	for i := range entries {
		h := c.host(1 + i)
		settings := fmt.Sprintf("[process]\nname = edge-%d\ndata_centre = fryserum-a\ncores = 0.4\n[listen]\ncallers = %s:%d\nreadiness = %s:%d\ncontrol = %s:%d\nlink = %s:%d\nmetrics = %s:%d\n%s[overload]\nadmission = on\n",
			i+1, h, callersPort, h, readinessPort, h, controlPort, h, linkPort, h, metricsPort, common)
		if err := c.startProcess("cell-entry", fmt.Sprintf("edge-%d", i+1), settings); err != nil {
			return err
		}
	}
	for i, r := range c.runners {
		if err := c.serveRunner(r); err != nil {
			return err
		}
		h := c.host(machineOfSides + i)
		settings := fmt.Sprintf("[process]\nname = side-%d\ndata_centre = fryserum-a\ncores = 0.24\n[listen]\ncontrol = %s:%d\nlink = %s:%d\nmetrics = %s:%d\n%s[runner]\naddress = %s\nservice = ordrevagt\norders = call\nheartbeat_ms = %d\n",
			i+1, h, controlPort, h, linkPort, h, metricsPort, common, r.address, heartbeatInterval.Milliseconds())
		if err := c.startProcess("cell-side", fmt.Sprintf("side-%d", i+1), settings); err != nil {
			return err
		}
		c.working.Go(func() { r.work(c.done) })
		c.wg.Go(func() { r.sendHeartbeats(c.control(i), c.done) })
	}
	return nil
}

// serveRunner serves a runner on a free port, on which it may stop to listen.
func (c *cluster) serveRunner(r *runner) error {
	r.address = "127.0.0.1:0"
	r.listen = func() error {
		l, err := net.Listen("tcp", r.address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		r.address = l.Addr().String()
		server := &http.Server{Handler: r}
		r.close = func() { _ = server.Close() }
		c.wg.Go(func() { _ = server.Serve(l) })
		return nil
	}
	return r.listen()
}

// control returns the control address of a side.
func (c *cluster) control(side int) string {
	return fmt.Sprintf("%s:%d", c.host(machineOfSides+side), controlPort)
}

func (c *cluster) startProcess(role, name, settings string) error {
	file := filepath.Join(c.dir, name+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	p := &process{role: role, settings: file}
	c.processes = append(c.processes, p)
	return c.launch(p)
}

// launch starts a process, whose output goes to a file in the temporary folder.
func (c *cluster) launch(p *process) error {
	out, err := os.OpenFile(p.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	p.cmd = exec.Command("target/jaystile", p.role)
	p.cmd.Env = append(os.Environ(), "JAYSTILE_BOOT="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.role, err)
	}
	return out.Close()
}

// kill kills a process.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// stop ends all that the cluster has started.
func (c *cluster) stop() {
	for _, p := range c.processes {
		p.kill()
	}
	close(c.done)
	c.working.Wait()
	for _, s := range c.servers {
		_ = s.Close()
	}
	for _, r := range c.runners {
		r.close()
		r.changed.Broadcast()
	}
	c.wg.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println(c.dir)
	}
}

// leader returns the index of the entry that leads the newest term, or -1.
func (c *cluster) leader() int {
	term := c.store.newest("keyed.cell", "term")["term"]
	for i := range entries {
		if bytes.Contains(term, fmt.Appendf(nil, "edge-%d", i+1)) {
			return i
		}
	}
	return -1
}

// jobBody returns the body of a job of single tasks.
func jobBody(tasks, accelerators int) string {
	return fmt.Sprintf(`{"Spec":"quote","Steps":[{"Count":%d,"Cpu":7500,"MemMb":8192,"Gpu":%d,"EstMs":2500}]}`, tasks, accelerators)
}

// newRequest returns a consumer's request about a job.
func (c *cluster) newRequest(method string, entry int, id, body string) *http.Request {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d/pricecheck/%s", c.host(1+entry), callersPort, id), strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = "ordrevagt.example"
	r.Header.Set("Credential", "key-one")
	r.Header.Set("Deadline-Ms", "3000")
	r.Header.Set("Content-Type", "application/json")
	return r
}

// call sends a request and returns status and body, status zero without an answer.
func (c *cluster) call(method string, entry int, id, body string) (int, string) {
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(c.newRequest(method, entry, id, body))
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	b, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(b)
}

// submit hands a job in until it is accepted, each time at the next entry.
func (c *cluster) submit(entry int, id, body string) bool {
	for try := range 5 {
		at := (entry + try) % entries
		status, _ := c.call("POST", at, id, body)
		c.record.add("POST   %s at edge-%d: %d", id, at+1, status)
		if status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// submitCut hands a job in on a channel that is reset after a delay, without an answer.
func (c *cluster) submitCut(entry int, id, body string, delay time.Duration) {
	conn, err := net.Dial("tcp", net.JoinHostPort(c.host(1+entry), strconv.Itoa(callersPort)))
	if err != nil {
		return
	}
	_ = c.newRequest("POST", entry, id, body).Write(conn)
	time.Sleep(delay)
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
	c.record.add("POST   %s at edge-%d: channel reset after %s, no answer", id, entry+1, delay)
}

// state returns the state of a job as an entry shows it, or the status if there is none.
func (c *cluster) state(entry int, id string) string {
	status, body := c.call("GET", entry, id, "")
	var answer struct{ State string }
	if status != http.StatusOK || json.Unmarshal([]byte(body), &answer) != nil {
		return fmt.Sprint(status)
	}
	return answer.State
}

// await waits until a condition holds, and returns whether it does.
func await(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// awaitCompleted waits until an entry shows all jobs as completed.
func (c *cluster) awaitCompleted(entry int, ids []string, limit time.Duration) bool {
	return await(limit, func() bool {
		for _, id := range ids {
			if c.state(entry, id) != "completed" {
				return false
			}
		}
		return true
	})
}

// awaitService waits until a first job has been completed.
func (c *cluster) awaitService() bool {
	if !await(15*time.Second, func() bool { return c.state(0, "0000000000000000") == "410" }) {
		return false
	}
	time.Sleep(3 * time.Second)
	return c.submit(0, "00000000000000ff", jobBody(1, 1)) && c.awaitCompleted(0, []string{"00000000000000ff"}, 20*time.Second)
}
