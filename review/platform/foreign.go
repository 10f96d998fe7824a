package main

import (
	"fmt"
	"time"
)

const (
	// foreignService is not in the configuration. foreignSequence is the Seq of the other
	// writer's report; the runner itself reaches it after 25 minutes.
	foreignService  = "another-service"
	foreignSequence = 1000
	// finishTime is finish_s of the deployment, calmTime how long a job may have nothing
	// running while there is room for it.
	finishTime = 14 * time.Second
	calmTime   = 3 * time.Second
)

// playForeignReport checks LOST: one status report about a runner comes from another writer.
// Jobs that need the label of that runner come afterwards.
func playForeignReport(record *journal, trouble bool) string {
	c, err := newCluster(record, 5, 1500*time.Millisecond)
	if err != nil {
		return err.Error()
	}
	defer c.stop()
	labeled := c.runners[0]
	labeled.kind = "b"
	if err := c.start(); err != nil {
		return err.Error()
	}
	if !c.awaitService() {
		return "the system does not serve"
	}
	if !c.submit(0, "d0000000000000ff", labeledJobBody()) || !c.awaitCompleted(0, []string{"d0000000000000ff"}, 10*time.Second) {
		return "the runner with the label does not serve"
	}
	if trouble {
		report := labeled.report()
		report["Service"], report["Seq"] = foreignService, foreignSequence
		status := labeled.sendHeartbeat(c.control(0), report)
		record.add("report of another writer about %s, of service %s and Seq %d: answered %d", labeled.id, foreignService, foreignSequence, status)
	}
	var ids []string
	for i := range 6 {
		id := fmt.Sprintf("d%015x", i)
		ids = append(ids, id)
		if !c.submit(i%entries, id, labeledJobBody()) {
			return "a job was not accepted"
		}
		time.Sleep(time.Second)
	}
	record.add("end of the traffic")
	time.Sleep(finishTime + calmTime)
	status := labeled.sendHeartbeat(c.control(0), labeled.report())
	record.add("report of %s itself: answered %d", labeled.id, status)
	for i, id := range ids {
		state, starts := c.state(i%entries, id), record.startsOf(id+".0.0.0")
		record.add("job    %s: shown as %s, %d starts", id, state, starts)
		if starts == 0 {
			record.violate("LOST: job %s is %s, nothing of it has run, and its runner is up and empty", id, state)
		}
	}
	return ""
}

// labeledJobBody returns the body of a job that needs the label b.
func labeledJobBody() string {
	return `{"Spec":"quote","Steps":[{"Count":1,"Cpu":7500,"MemMb":8192,"Gpu":1,"EstMs":1500,"RequiredLabel":"b"}]}`
}
