package main

import (
	"fmt"
	"time"
)

const (
	// repeatedJobs is how many jobs come at one entry, where every second channel is reset
	// resetDelay after its request: while the store, which takes 4 ms, stores the job.
	repeatedJobs = 12
	resetDelay   = 2 * time.Millisecond
	// jobsMeanwhile is how many jobs come in the second before the store forgets its history.
	jobsMeanwhile = 5
	// settleTime is how long the runners are watched afterwards.
	settleTime = 12 * time.Second
)

// playForgottenHistory checks TWICE: half of the channels to one entry are reset while the jobs are
// being stored, so that consumers hand them in again. The jobs are completed. Then the leader is
// killed, and the store forgets its history.
func playForgottenHistory(record *journal, trouble bool) string {
	c, err := newCluster(record, 5, 2500*time.Millisecond)
	if err != nil {
		return err.Error()
	}
	defer c.stop()
	if err := c.start(); err != nil {
		return err.Error()
	}
	if !c.awaitService() {
		return "the system does not serve"
	}
	var ids []string
	for i := range repeatedJobs {
		id, at := fmt.Sprintf("a%015x", i), 0
		ids = append(ids, id)
		if i%2 == 0 {
			// Every second job is handed in at the next entry after its channel was reset.
			if trouble {
				c.submitCut(0, id, jobBody(1, 1), resetDelay)
			}
			at = 1
		}
		if !c.submit(at, id, jobBody(1, 1)) {
			return "a job was not accepted"
		}
	}
	if !c.awaitCompleted(0, ids, 40*time.Second) {
		return "the jobs were not completed"
	}
	for _, id := range ids {
		record.add("job    %s: %d records in the store, %d starts, completed", id, c.store.count("keyed.jobs", "j/"+id), record.startsOf(id+".0.0.0"))
	}
	survivor := 0
	if trouble {
		old := c.leader()
		record.add("kill   edge-%d, which leads; it starts again after 1 s", old+1)
		c.processes[old].kill()
		time.Sleep(time.Second)
		if err := c.launch(c.processes[old]); err != nil {
			return err.Error()
		}
		if !await(15*time.Second, func() bool { return c.leader() != old }) {
			return "no other entry leads"
		}
		survivor = c.leader()
		record.add("leader edge-%d", survivor+1)
	}
	if !c.submit(survivor, "b000000000000000", jobBody(1, 1)) || !c.awaitCompleted(survivor, []string{"b000000000000000"}, 20*time.Second) {
		return "the next leader does not serve"
	}
	if trouble {
		record.add("store  reads hear nothing for a second")
		c.store.hold()
	}
	var later []string
	for i := range jobsMeanwhile {
		id := fmt.Sprintf("c%015x", i)
		later = append(later, id)
		if !c.submit(survivor, id, jobBody(1, 1)) {
			return "a later job was not accepted"
		}
		time.Sleep(200 * time.Millisecond)
	}
	if trouble {
		record.add("store  forgets its history")
		c.store.forget()
	}
	if !c.awaitCompleted(survivor, later, 30*time.Second) {
		record.add("the later jobs are not completed")
	}
	time.Sleep(settleTime)
	for _, id := range ids {
		record.add("job    %s: shown as %s, %d starts", id, c.state(survivor, id), record.startsOf(id+".0.0.0"))
	}
	return ""
}
