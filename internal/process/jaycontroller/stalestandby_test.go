package jaycontroller

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaystore"
)

// Guards against a leader that takes the records of a closed standby topic for newer ones than those
// of the main topic: a reload of the cell's topic applies earlier announcements again.
func TestClosedStandbyTopicIsNotOpenAgain(t *testing.T) {
	c := New(nil)
	apply := func(s jaystore.Standby) {
		c.applyCellRecord(jaystore.StoredRecord{Record: jaystore.Record{Key: standbyKey, Value: encodeStandby(s)}})
	}
	open, closed := jaystore.Standby{Number: 3, Topic: "standby-0", Open: true}, jaystore.Standby{Number: 3, Topic: "standby-0"}
	apply(open)
	assert.Equal(t, c.newestStandby(), open)
	apply(closed)
	apply(jaystore.Standby{Number: 2, Topic: "standby-2", Open: true})
	apply(open)
	assert.Equal(t, c.newestStandby(), closed)
	next := jaystore.Standby{Number: 4, Topic: "standby-1", Open: true}
	apply(next)
	assert.Equal(t, c.newestStandby(), next)
}
