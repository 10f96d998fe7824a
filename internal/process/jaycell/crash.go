package jaycell

import "time"

// Crash is the crash of a runner that its agent has seen: the runner answered, had not
// announced its shutdown, and then nothing listened at its address or another incarnation
// answered there.
type Crash struct {
	// Runner is the incarnation that crashed.
	Runner string
	Runs   []CrashedRun
}

// CrashedRun is a run that was on a runner when it crashed, or may have begun there.
type CrashedRun struct {
	Task string
	Run  int
	// Percent is the last listed progress; Progressed reports that it had risen since the
	// run was first listed, Age ago.
	Percent    int
	Progressed bool
	Age        time.Duration
}
