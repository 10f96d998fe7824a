package main

import (
	"fmt"
	"time"
)

const (
	// silence is how long the runner that restarts answers nothing.
	silence = 2500 * time.Millisecond
	// jobsBefore and jobsAfter are how many jobs come before and after the restart, one each
	// jobSpacing.
	jobsBefore = 32
	jobsAfter  = 48
	jobSpacing = 30 * time.Millisecond
)

// playSilentRestart checks TWICE: a runner restarts under its id and answers nothing meanwhile.
func playSilentRestart(record *journal, trouble bool) string {
	c, err := newCluster(record, 5, 1500*time.Millisecond)
	if err != nil {
		return err.Error()
	}
	defer c.stop()
	for _, r := range c.runners {
		r.hidesBorn = true
	}
	if err := c.start(); err != nil {
		return err.Error()
	}
	if !c.awaitService() {
		return "the system does not serve"
	}
	if failure := c.playJobs("a", jobsBefore); failure != "" {
		return failure
	}
	if trouble {
		record.add("restart %s under its id, silent for %s", c.runners[0].id, silence)
		c.runners[0].restartSilently(silence)
		record.add("back    %s", c.runners[0].id)
	}
	time.Sleep(4 * time.Second)
	return c.playJobs("b", jobsAfter)
}

// playJobs hands single tasks in and waits until all are shown as completed.
func (c *cluster) playJobs(prefix string, count int) string {
	var ids []string
	for i := range count {
		id := fmt.Sprintf("%s%015x", prefix, i)
		ids = append(ids, id)
		if !c.submit(i%entries, id, jobBody(1, 1)) {
			return "a job was not accepted"
		}
		time.Sleep(jobSpacing)
	}
	if !c.awaitCompleted(0, ids, 30*time.Second) {
		c.record.add("not all jobs are completed after 30 s")
	}
	return ""
}
