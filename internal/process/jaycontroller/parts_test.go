package jaycontroller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// longSpec is a specification of the longest size.
var longSpec = strings.Repeat("s", jaytask.MaxSpecBytes)

// Guards against orders that exceed a frame: the agent closed its link, the next link began with the same
// message, and nothing started on its runner any more, whoever's it was.
func TestOrdersOfAWideJobReachTheirAgent(t *testing.T) {
	const starts = 3 * jayframe.MaxFrameBytes / jaytask.MaxSpecBytes
	f := newCutLeader(t)
	f.served.Store(true)
	started := &startedTasks{runs: map[string]int{}}
	f.onMessage.Store(started.handle)
	f.report(2)
	var orders []jaycell.Order
	for i := range starts {
		orders = append(orders, jaycell.Order{Kind: jaycell.OrderStart, Node: "n1", Runner: "r1", Task: jaycell.TaskName("wide", 0, 0, i), Run: 1, Spec: longSpec})
	}
	f.leadership.sendOrders(orders)
	await(t, "all starts reach the agent", func() bool { return started.count() == starts })
	assert.NilError(t, f.link.Err())
}

// Guards against an order that no frame carries and that ends the agent's link, or holds back the orders
// behind it.
func TestOrderLargerThanAFrameHoldsBackNoOther(t *testing.T) {
	f := newCutLeader(t)
	f.served.Store(true)
	started := &startedTasks{runs: map[string]int{}}
	f.onMessage.Store(started.handle)
	f.report(2)
	f.leadership.sendOrders([]jaycell.Order{
		{Kind: jaycell.OrderStart, Node: "n1", Runner: "r1", Task: "large.0.0.0", Run: 1, Checkpoint: strings.Repeat("x", jayframe.MaxFrameBytes)},
		{Kind: jaycell.OrderStart, Node: "n1", Runner: "r1", Task: "small.0.0.0", Run: 1},
	})
	await(t, "the other start reaches the agent", func() bool { return started.count() == 1 })
	assert.NilError(t, f.link.Err())
}

// Guards against parts that lose or reorder what they are made of, or are larger than they may be.
func TestPartsHoldAllInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(0, 2*maxMessageBytes), 0, 40).Draw(t, "sizes")
		var joined []int
		for _, part := range inParts(sizes, func(n int) int { return n }) {
			sum := 0
			for _, n := range part {
				sum += n
			}
			assert.Assert(t, len(part) == 1 || sum <= maxMessageBytes)
			joined = append(joined, part...)
		}
		assert.Assert(t, len(joined) == len(sizes))
		for i := range joined {
			assert.Equal(t, joined[i], sizes[i])
		}
	})
}

// Guards against states of many jobs in one message, which has more records than a receiver takes, and
// against sizes of parts that are less than those of their frames.
func TestPartsFitTheirFrames(t *testing.T) {
	var records []jaycell.Record
	for i := range 150_000 {
		records = append(records, jaycell.Record{Key: jaycell.StateKey(fmt.Sprintf("%016x", i)), Value: jaycell.EncodeState(jaytask.Canceled, time.UnixMilli(1_700_000_000_000))})
	}
	for _, part := range inParts(records, recordBytes) {
		b, err := jayframe.Encode(jayframe.NewFrame(encodeRecords(part)))
		assert.NilError(t, err)
		assert.Assert(t, len(b) <= maxMessageBytes, "%d records have %d bytes", len(part), len(b))
	}
	var orders []jaycell.Order
	for i := range 10_000 {
		o := jaycell.Order{Kind: jaycell.OrderStart, Node: "n1", Runner: strings.Repeat("r", i%40), Task: jaycell.TaskName("wide", 0, 0, i), Run: i, Spec: longSpec[:i%jaytask.MaxSpecBytes], Number: 1 << 60, Repeated: true, Capacity: jaytask.Resources{CPU: 1 << 40, Memory: 1 << 40, Accelerators: 1 << 40}}
		orders = append(orders, o)
	}
	for _, part := range inParts(orders, orderBytes) {
		b, err := jayframe.Encode(jayframe.NewFrame(encodeOrders(1<<60, part)))
		assert.NilError(t, err)
		assert.Assert(t, len(b) <= maxMessageBytes+frameHeadBytes, "%d orders have %d bytes", len(part), len(b))
	}
}

// frameHeadBytes is the size of a frame's envelope, at most.
const frameHeadBytes = 64
