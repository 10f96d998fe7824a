package jaycontroller

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEntriesThatServedRelayFirst(t *testing.T) {
	outcomes := map[string]relayOutcome{
		"served late":  {served: true, at: 4 * time.Second},
		"served early": {served: true, at: time.Second},
		"failed early": {at: 2 * time.Second},
		"failed late":  {at: 3 * time.Second},
	}
	entries := []string{"failed late", "served early", "unknown", "failed early", "served late"}
	slices.SortStableFunc(entries, func(a, b string) int { return compareOutcomes(outcomes[a], outcomes[b]) })
	assert.DeepEqual(t, entries, []string{"served late", "served early", "unknown", "failed early", "failed late"})
}
