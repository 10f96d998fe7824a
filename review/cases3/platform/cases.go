package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// cases are the scripted cases by name. Each reports whether it could run.
var cases = map[string]func(d *deployment, trouble bool) bool{"crash": playCrash, "hang": playHang, "frame": playFrame, "steps": playSteps, "budget": playBudget, "collide": playCollide, "fragment": playFragment, "gang": playGang}

// Times of a case.
const (
	trafficS = 20
	// finishS and reclaimMS are bounds of the rules.
	finishS   = 14
	reclaimMS = 3400
	// troubleAt is when the jobs that disturb are handed in.
	troubleAt = 5 * time.Second
	// slowTime is for how long the store is slow, storeSlowness how much. collideDelay is the time between two
	// jobs with one ID.
	slowTime      = 4500 * time.Millisecond
	storeSlowness = 60
	collideDelay  = 100 * time.Millisecond
	// idleS is for how long a job has nothing running, by LOST.
	idleS = 3
)

const (
	quoteRoute = "/pufi791/"
	castRoute  = "/pule252/"
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// quote returns an ordinary small job of priority 0.
func quote() *job {
	return &job{id: newID(), route: quoteRoute, key: ordinaryKey, body: `{"Spec":"quote","Steps":[{"Count":3,"Cpu":7500,"MemMb":15000,"Gpu":1,"EstMs":2500}]}`, steps: []jobStep{{count: 3, work: work{need: amount{7500, 15000, 1}, runs: 2500 * time.Millisecond}}}}
}

// specOf returns the body of a small job whose specification names the caller's workspace.
func specOf(key string) string {
	return `{"Spec":"` + keyName(key) + `","Steps":[{"Count":3,"Cpu":7500,"MemMb":15000,"Gpu":1,"EstMs":2500}]}`
}

func keyName(key string) string {
	if key == ordinaryKey {
		return "kaje80"
	}
	return "moru17"
}

// figure returns a figure of a case, which the environment may change for a trial.
func figure(name string, value int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return value
}

// graph returns a job whose first step has all its subtasks but one a further step. Each step waits for all
// earlier ones.
func graph(steps, tasks int) *job {
	label := os.Getenv("LABEL")
	j := &job{id: newID(), route: castRoute, key: otherKey}
	var b strings.Builder
	b.WriteString(`{"Spec":"sweep","Steps":[`)
	for i := range steps {
		s := jobStep{count: 1, work: work{need: amount{5600, 15000, 1}, runs: 7600 * time.Millisecond}}
		if i == 0 {
			s.count = tasks - steps + 1
		}
		j.steps = append(j.steps, s)
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `{"Count":%d,"Cpu":%d,"MemMb":%d,"Gpu":%d,"EstMs":7600`, s.count, s.work.need.Cpu, s.work.need.MemMb, s.work.need.Gpu)
		if label != "" {
			fmt.Fprintf(&b, `,"RequiredLabel":%q`, label)
		}
		for k := range i {
			if k == 0 {
				b.WriteString(`,"After":[0`)
				continue
			}
			fmt.Fprintf(&b, ",%d", k)
		}
		if i > 0 {
			b.WriteString("]")
		}
		b.WriteString("}")
	}
	b.WriteString("]}")
	j.body = b.String()
	return j
}

// playCrash hands in a number of wide jobs of one step.
func playCrash(d *deployment, trouble bool) bool {
	return playBeside(d, trouble, func() {
		for range figure("JOBS", 40) {
			d.submit(graph(1, 20000))
		}
	})
}

// playHang hands in one job with a wide first step and many steps after it.
func playHang(d *deployment, trouble bool) bool {
	return playBeside(d, trouble, func() {
		for range figure("JOBS", 1) {
			d.submit(graph(figure("STEPS", 256), figure("TASKS", 20000)))
		}
	})
}

// playFrame hands in one job with many small subtasks and a specification of the longest size, or a short one
// without trouble, and judges it like the ordinary ones.
func playFrame(d *deployment, trouble bool) bool {
	count, cpu := figure("COUNT", 20000), figure("CPU", 5)
	j := &job{id: newID(), route: castRoute, key: otherKey, steps: []jobStep{{count: count, work: work{need: amount{Cpu: cpu, MemMb: figure("MEM", 6)}, runs: 2 * time.Second}}}}
	spec := "s"
	if trouble {
		spec = strings.Repeat("s", 4000)
	}
	j.body = fmt.Sprintf(`{"Spec":"%s","Steps":[{"Count":%d,"Cpu":%d,"MemMb":%d,"EstMs":2000}]}`, spec, count, cpu, figure("MEM", 6))
	return playBeside(d, true, func() { d.submit(j) }, j)
}

// playGang hands in wide gangs, and crashes the runner with most of their subtasks.
func playGang(d *deployment, trouble bool) bool {
	count := figure("COUNT", 1700)
	return playBeside(d, true, func() {
		for range figure("JOBS", 3) {
			j := &job{id: newID(), route: castRoute, key: otherKey, steps: []jobStep{{count: count, work: work{need: amount{Cpu: 10, MemMb: 20}, runs: 20 * time.Second}}}}
			j.body = fmt.Sprintf(`{"Spec":"gang","Steps":[{"Count":%d,"Cpu":10,"MemMb":20,"EstMs":20000,"Gang":true}]}`, count)
			d.submit(j)
		}
		time.Sleep(5 * time.Second)
		if !trouble {
			return
		}
		most := d.runners[0]
		for _, r := range d.runners {
			if r.runs() > most.runs() {
				most = r
			}
		}
		d.crash(most, 4500*time.Millisecond)
	})
}

// playBeside lets ordinary jobs come, and others beside them, and judges the ordinary ones and those given by
// LOST.
func playBeside(d *deployment, trouble bool, others func(), judged ...*job) bool {
	var wg sync.WaitGroup
	all := judged
	if trouble {
		wg.Go(func() {
			time.Sleep(troubleAt)
			others()
		})
	}
	for range trafficS {
		j := quote()
		all = append(all, j)
		wg.Go(func() { d.submit(j) })
		time.Sleep(time.Second)
	}
	wg.Wait()
	time.Sleep(finishS * time.Second)
	accepted := 0
	for i, j := range all {
		if !j.accepted {
			continue
		}
		accepted++
		if s := d.state(j, i%entries); s == "" || s == "gone" {
			d.record.violate("LOST", fmt.Sprintf("job %s, accepted %.0f s ago: no answer or no such job %d s after the end of the traffic", j.id, time.Since(j.acceptedAt).Seconds(), finishS))
		}
	}
	d.judgeIdle(all)
	d.record.add("%d jobs handed in, %d accepted", len(all), accepted)
	for _, p := range d.processes {
		if _, over, _ := p.figures(); over > 0 {
			d.record.violate("memory", fmt.Sprintf("process %s was over the memory of its machine %d times", p.name, over))
		}
	}
	return accepted > 0
}

// judgeIdle watches for idleS whether jobs with subtasks to do have nothing running, while under half of
// the capacity is in use.
func (d *deployment) judgeIdle(all []*job) {
	idle := map[*job]bool{}
	for _, j := range all {
		idle[j] = j.accepted
	}
	most := 0.0
	for until := time.Now().Add(idleS * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		most = max(most, d.inUse())
		for _, j := range all {
			done, running := d.record.doneTasks(j.tasks())
			idle[j] = idle[j] && running == 0 && done < len(j.tasks())
		}
	}
	d.record.add("at most %.0f%% of the capacity is in use", 100*most)
	if most >= 0.5 {
		return
	}
	for _, j := range all {
		if idle[j] {
			done, _ := d.record.doneTasks(j.tasks())
			d.record.violate("LOST", fmt.Sprintf("job %s, accepted %.0f s ago: nothing runs for %d s, %d of %d subtasks are done, at most %.0f%% of the capacity is in use", j.id, time.Since(j.acceptedAt).Seconds(), idleS, done, len(j.tasks()), 100*most))
		}
	}
}

// inUse returns the share of the capacity in use, of the resource of which most is.
func (d *deployment) inUse() float64 {
	var a amount
	for _, r := range d.runners {
		r.mutex.Lock()
		u := r.used()
		r.mutex.Unlock()
		a.Cpu, a.MemMb, a.Gpu = a.Cpu+u.Cpu, a.MemMb+u.MemMb, a.Gpu+u.Gpu
	}
	n := float64(len(d.runners))
	return max(float64(a.Cpu)/n/float64(capacity.Cpu), float64(a.MemMb)/n/float64(capacity.MemMb), float64(a.Gpu)/n/float64(capacity.Gpu))
}

// one is what a subtask of another workspace needs, shape that of the workspace that asks for its guarantee.
var (
	one   = amount{Cpu: 5600, MemMb: 15000, Gpu: 1}
	shape = amount{Cpu: 26000, MemMb: 38000, Gpu: 8}
)

// playSteps fills the pool with the second step of a job whose first step is within its workspace's
// guarantee.
func playSteps(d *deployment, trouble bool) bool {
	j := &job{id: newID(), route: quoteRoute, key: otherKey, steps: []jobStep{{count: 1, work: work{need: one, runs: time.Second}}, {count: 88, work: work{need: one}}}}
	j.body = `{"Spec":"season","Steps":[{"Count":1,"Cpu":5600,"MemMb":15000,"Gpu":1,"EstMs":1000},{"Count":88,"Cpu":5600,"MemMb":15000,"Gpu":1,"EstMs":60000,"After":[0],"Daemon":true}]}`
	if os.Getenv("ONE_STEP") != "" {
		j.steps = j.steps[1:]
		j.body = `{"Spec":"season","Steps":[{"Count":88,"Cpu":5600,"MemMb":15000,"Gpu":1,"EstMs":60000,"Daemon":true}]}`
	}
	return playReclaim(d, trouble, j)
}

// playBudget fills the pool with a job of low priority whose step lasts and may miss one subtask.
func playBudget(d *deployment, trouble bool) bool {
	j := &job{id: newID(), route: castRoute, key: otherKey, steps: []jobStep{{count: 88, work: work{need: one}}}}
	j.body = `{"Spec":"serve","Steps":[{"Count":88,"Cpu":5600,"MemMb":15000,"Gpu":1,"EstMs":60000,"Daemon":true,"MayMiss":1}]}`
	if os.Getenv("NO_BUDGET") != "" {
		j.body = strings.Replace(j.body, `,"MayMiss":1`, "", 1)
	}
	return playReclaim(d, trouble, j)
}

// playFragment lets a job within its workspace's guarantee have one accelerator of each runner: the others were
// in use when it came.
func playFragment(d *deployment, trouble bool) bool {
	j := &job{id: newID(), route: quoteRoute, key: otherKey, steps: []jobStep{{count: 11, work: work{need: one}}}}
	j.body = `{"Spec":"serve","Steps":[{"Count":11,"Cpu":5600,"MemMb":15000,"Gpu":1,"EstMs":60000,"Daemon":true}]}`
	if !trouble {
		return playReclaim(d, false, j)
	}
	filler := &job{id: newID(), route: castRoute, key: otherKey, steps: []jobStep{{count: 77, work: work{need: one}}}}
	filler.body = `{"Spec":"cast","Steps":[{"Count":77,"Cpu":5600,"MemMb":15000,"Gpu":1,"EstMs":60000,"MaxPerServer":7,"Daemon":true}]}`
	if !d.submit(filler) {
		return false
	}
	time.Sleep(4 * time.Second)
	time.AfterFunc(4*time.Second, func() { d.call(0, "DELETE", filler.route+filler.id, otherKey, "") })
	return playReclaim(d, true, j)
}

// playReclaim lets a workspace ask for its guaranteed shape while another one's job has the pool.
func playReclaim(d *deployment, trouble bool, other *job) bool {
	if trouble {
		if !d.submit(other) {
			return false
		}
		time.Sleep(6 * time.Second)
		_, running := d.record.doneTasks(other.tasks())
		d.record.add("%d subtasks of the other workspace run", running)
	}
	j := &job{id: newID(), route: quoteRoute, key: ordinaryKey, steps: []jobStep{{count: 2, work: work{need: shape, runs: 5 * time.Second}}}}
	j.body = `{"Spec":"quote","Steps":[{"Count":2,"Cpu":26000,"MemMb":38000,"Gpu":8,"EstMs":5000}]}`
	if !d.submit(j) {
		return false
	}
	time.Sleep(reclaimMS * time.Millisecond)
	if begun := d.record.begun(j.tasks()); begun < 2 {
		d.record.violate("RECLAIM", fmt.Sprintf("job %s needs 16 accelerators, as many as its workspace is guaranteed; %d of 2 subtasks have begun %d ms after its confirmation", j.id, begun, reclaimMS))
	}
	for i := range figure("WATCH_S", 30) {
		if begun := d.record.begun(j.tasks()); begun == 2 {
			d.record.add("both have begun after %d ms or less", reclaimMS+1000*i)
			break
		}
		time.Sleep(time.Second)
	}
	_, running := d.record.doneTasks(other.tasks())
	d.record.add("%d of 2 subtasks have begun in the end; %d subtasks of the other workspace run", d.record.begun(j.tasks()), running)
	d.state(j, 0)
	return true
}

// playCollide lets two workspaces hand in jobs with the same ID, the second a moment after the first and at another
// entry, while the store is slow.
func playCollide(d *deployment, trouble bool) bool {
	if trouble {
		d.store.slowness.Store(storeSlowness)
		d.record.add("the store's answers take %d times as long", storeSlowness)
	}
	var all []*job
	var wg sync.WaitGroup
	for range figure("PAIRS", 4) {
		a, b := quote(), quote()
		b.id, b.key = a.id, otherKey
		a.body, b.body = specOf(a.key), specOf(b.key)
		all = append(all, a, b)
		wg.Go(func() { d.submit(a) })
		time.Sleep(collideDelay)
		wg.Go(func() { d.submit(b) })
		time.Sleep(time.Second)
	}
	time.Sleep(slowTime - time.Duration(len(all)/2)*(time.Second+collideDelay))
	d.store.slowness.Store(1)
	d.record.add("the store is as fast as before")
	wg.Wait()
	time.Sleep(finishS * time.Second)
	for _, j := range all {
		if !j.accepted {
			continue
		}
		n := d.record.specs(j.id, keyName(j.key))
		for entry := range entries {
			if s := d.state(j, entry); s != "completed" || n == 0 {
				d.record.violate("LOST", fmt.Sprintf("job %s of %s was accepted %.0f s ago; entry %d tells its state as %q; %d of its subtasks have begun with its Spec", j.id, keyName(j.key), time.Since(j.acceptedAt).Seconds(), entry, s, n))
				break
			}
		}
	}
	return true
}
