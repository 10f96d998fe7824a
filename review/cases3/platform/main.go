// Command cases3 plays the scripted cases of a review against the project's own programs: it starts them as
// separate processes with stand-ins of the store, the runners and the callers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: cases3 CASE BINARY RECORD")
		os.Exit(statusNotRun)
	}
	play := cases[os.Args[1]]
	rec, err := newRecord(os.Args[3])
	if play == nil || err != nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", err)
		os.Exit(statusNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	d := newDeployment(rec)
	go func() {
		ends := make(chan os.Signal, 1)
		signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-ends:
		case <-time.After(maxTime):
		}
		rec.add("stopped before the end")
		d.stop(false)
		os.Exit(statusNotRun)
	}()
	if err := d.start(os.Args[2]); err != nil {
		rec.add("cannot start: %v", err)
		d.stop(false)
		os.Exit(statusNotRun)
	}
	d.enforceMemory()
	status := statusNotRun
	if d.awaitReady() {
		rec.add("ready; trouble %t", trouble)
		if play(d, trouble) {
			status = statusHeld
			if len(rec.violations) > 0 {
				status = statusBroken
			}
		}
	} else {
		rec.add("not ready in time")
	}
	for _, p := range d.processes {
		peak, over, exits := p.figures()
		rec.add("process %s: peak %d MB, over its memory %d times, ended %d times", p.name, peak, over, exits)
	}
	rec.add("lapsed runs %d, store calls refused %d, status %d", rec.lapsed, d.store.refused, status)
	d.stop(os.Getenv("KEEP_LOGS") != "")
	for _, v := range rec.violations[:min(len(rec.violations), 5)] {
		fmt.Println(v)
	}
	os.Exit(status)
}
