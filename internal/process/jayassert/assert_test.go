package jayassert

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A loop that panics beside others must end the process at once.
func TestGroupReportsAPanicWhileOthersRun(t *testing.T) {
	reported := make(chan error, 1)
	old := OnViolation
	OnViolation = func(err error) { reported <- err }
	defer func() { OnViolation = old }()
	stop := make(chan struct{})
	var g Group
	g.Go(func() { <-stop })
	g.Go(func() { panic("cannot go on") })
	select {
	case err := <-reported:
		assert.ErrorContains(t, err, "cannot go on")
	case <-time.After(20 * time.Second):
		t.Error("the panic was held back")
	}
	close(stop)
	g.Wait()
}
