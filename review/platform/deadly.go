package main

import "time"

const (
	// deadlyID is the job of the subtask that crashes its runners.
	deadlyID = "f000000000000000"
	// watchTime is how long the runners are watched.
	watchTime = 26 * time.Second
)

// playDeadlyProgress checks BUDGET: a subtask that saves its progress crashes each runner that
// starts it, a while after the start.
func playDeadlyProgress(record *journal, trouble bool) string {
	c, err := newCluster(record, 5, 11*time.Second)
	if err != nil {
		return err.Error()
	}
	defer c.stop()
	for _, r := range c.runners {
		r.saves = true
	}
	if err := c.start(); err != nil {
		return err.Error()
	}
	if !c.awaitService() {
		return "the system does not serve"
	}
	spec := "quote"
	if trouble {
		spec = deadlySpec
	}
	if !c.submit(0, deadlyID, `{"Spec":"`+spec+`","Steps":[{"Count":1,"Cpu":26000,"MemMb":8192,"Gpu":2,"EstMs":11000,"Checkpoint":true}]}`) {
		return "the job was not accepted"
	}
	await(watchTime, func() bool {
		state := c.state(0, deadlyID)
		return state == "completed" || state == "failed"
	})
	record.add("job    %s: shown as %s, %d starts", deadlyID, c.state(0, deadlyID), record.startsOf(deadlyID+".0.0.0"))
	return ""
}
