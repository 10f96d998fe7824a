package jaycontroller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A caller with four tries reaches the end of outages of up to six seconds, a third
// longer than those that the deployments see, and is never sent away for longer than the
// outage has lasted, or a second.
func TestRetriesOutlastAnOutage(t *testing.T) {
	const tries = 4
	for outage := 500 * time.Millisecond; outage <= 6*time.Second; outage += 100 * time.Millisecond {
		for noticed := downAfter; noticed < outage; noticed += 300 * time.Millisecond {
			at := noticed
			for range tries - 1 {
				if at >= outage {
					break
				}
				wait := retryIn(at)
				assert.Assert(t, wait <= max(at, retryLeast) && wait >= retryLeast)
				at += wait
			}
			assert.Assert(t, at >= outage, "turned away at %s of %s, last try at %s", noticed, outage, at)
		}
	}
}
