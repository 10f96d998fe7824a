package jaysupervisor

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a start call that is executed after the lease has ended: sum D of
// docs/design/permissions.md.
func TestStartCallEndsBeforeTheLease(t *testing.T) {
	assert.Assert(t, callTimeout < minLeaseLeft)
	// The agent's answer to a heartbeat counts for a second, which is kept of each lease.
	assert.Assert(t, maxResponseDelay > callTimeout)
	// Two reports fit into the time for which a runner counts as responsive.
	assert.Assert(t, 2*ReportInterval < responsiveTimeout)
}
