package jaycontroller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A caller with four attempts retries past outages of up to six seconds, a third longer
// than those seen in the deployments. No retry delay is longer than the outage has
// lasted so far, or a second.
func TestRetriesOutlastAnOutage(t *testing.T) {
	const attempts = 4
	for outage := 500 * time.Millisecond; outage <= 6*time.Second; outage += 100 * time.Millisecond {
		for noticed := storeDownThreshold; noticed < outage; noticed += 300 * time.Millisecond {
			at := noticed
			for range attempts - 1 {
				if at >= outage {
					break
				}
				wait := retryAfterOutage(at)
				assert.Assert(t, wait <= max(at, minRetryAfter) && wait >= minRetryAfter)
				at += wait
			}
			assert.Assert(t, at >= outage, "refused %s into an outage of %s, last attempt at %s", noticed, outage, at)
		}
	}
}
