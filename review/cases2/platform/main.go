// Command cases2 runs the cases of the review's second part against the project's own programs.
// It starts three entries and eleven sides as processes on loopback addresses, and stands in for
// the store, the runners and the callers.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held and with 2 if the case
// could not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// maxDuration bounds a case.
	maxDuration = 115 * time.Second
)

var cases = map[string]func(w *world, trouble bool){
	"rack":     rackCase,
	"large":    largeCase,
	"long":     longCase,
	"suspect":  suspectCase,
	"canceled": canceledCase,
	"headroom": headroomCase,
	"pending":  pendingCase,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE BINARY RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

func runCase(run func(w *world, trouble bool), binary, record string, trouble bool) int {
	w, err := newWorld(binary, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	w.note("trouble: %t", trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := w.boot(); err != nil {
			w.fail("%v", err)
			return
		}
		run(w, trouble)
	}()
	select {
	case <-done:
	case s := <-signals:
		w.fail("ended by %s", s)
	case <-time.After(maxDuration):
		w.fail("not done after %s", maxDuration)
	}
	w.recordMutex.Lock()
	defer w.recordMutex.Unlock()
	for _, f := range w.failures {
		fmt.Println("cannot run:", f)
	}
	for _, v := range w.violations {
		fmt.Println("broken:", v)
	}
	switch {
	case len(w.failures) > 0:
		return exitFailed
	case len(w.violations) > 0:
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
