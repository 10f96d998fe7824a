package jaycell

import "time"

// lateCallWindow is how long after its order a start call may still be carried out.
const lateCallWindow = 15 * time.Second

// A runner that is back under its name takes calls for its former life as its own: it cannot
// tell them apart. So the starts that were sent to the former life are stopped on the next one
// before anything is concluded from its end, whether their runs had begun, had ended or not.

// abandonFormerLives notes the runs of a node's runner of the same name, in a life before r.
func (c *Cell) abandonFormerLives(r *Runner, node string) {
	for _, old := range c.runners {
		if old.node != node || old.replaced || RunnerName(old.id) != RunnerName(r.id) {
			continue
		}
		for task, s := range old.sentStarts {
			r.abandon(task, s.run)
		}
		for task, pl := range old.placements {
			if pl.committed {
				r.abandon(task, pl.run)
			}
		}
		for task, run := range old.abandoned {
			r.abandon(task, run)
		}
	}
}

// replaceRunners ends the runners in whose place r reports, as far as they match.
func (c *Cell) replaceRunners(r *Runner, matches func(old *Runner) bool) {
	for _, old := range c.sortedRunners() {
		if old.node == r.node && old != r && !old.replaced && matches(old) {
			c.noteUnseenEnd(old)
			c.markLost(old, "a new runner took its place")
			old.replaced = true
		}
	}
}
