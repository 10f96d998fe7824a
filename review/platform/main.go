// Command platform plays one case of the review: it starts the system's own processes and
// stand-ins for the store, the runners and the consumers on loopback addresses, brings the
// disruption about and checks one rule.
//
// It exits with status 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit statuses.
const (
	statusHeld = iota
	statusBroken
	statusNotRun
)

// cases are the cases by name. Each returns why it could not run, or an empty string.
var cases = map[string]func(record *journal, trouble bool) string{
	"forgotten-history": playForgottenHistory,
	"foreign-report":    playForeignReport,
	"silent-restart":    playSilentRestart,
	"deadly-progress":   playDeadlyProgress,
}

func main() { os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")) }

// play plays a case and returns the exit status.
func play(name, recordPath string, trouble bool) int {
	record, err := newJournal(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	failure := cases[name](record, trouble)
	if failure != "" {
		record.add("could not run: %s", failure)
	}
	broken := record.close()
	for _, b := range broken {
		fmt.Println(b)
	}
	switch {
	case len(broken) > 0:
		return statusBroken
	case failure != "":
		fmt.Fprintln(os.Stderr, "could not run:", failure)
		return statusNotRun
	}
	fmt.Println("held")
	return statusHeld
}
