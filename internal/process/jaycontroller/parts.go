package jaycontroller

import (
	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/process/jaycell"
)

// What grows with a job is sent in messages of bounded size: a receiver refuses larger frames, and
// heartbeats and urgent orders wait behind a message that is being written.

const (
	// maxMessageBytes bounds the content of one message with several orders or records. One that is
	// larger by itself is sent alone.
	maxMessageBytes = 256 << 10
	// orderHeadBytes and recordHeadBytes are the sizes of an order and a record without their strings, at
	// most.
	orderHeadBytes  = 96
	recordHeadBytes = 16
)

func orderBytes(o jaycell.Order) int {
	return orderHeadBytes + len(o.Runner) + len(o.Task) + len(o.Spec) + len(o.Checkpoint) + len(o.Ticket)
}

func recordBytes(r jaycell.Record) int { return recordHeadBytes + len(r.Key) + len(r.Value) }

// inParts splits a list, in order, into parts of at most maxMessageBytes.
func inParts[T any](all []T, bytes func(T) int) [][]T {
	var parts [][]T
	first, size := 0, 0
	for i, x := range all {
		n := bytes(x)
		if i > first && size+n > maxMessageBytes {
			parts = append(parts, all[first:i])
			first, size = i, 0
		}
		size += n
	}
	if first < len(all) {
		parts = append(parts, all[first:])
	}
	return parts
}

// nodeOrders are the orders for one node.
type nodeOrders struct {
	node   string
	orders []jaycell.Order
}

// groupByNode groups orders by node and keeps their order.
func groupByNode(orders []jaycell.Order) []*nodeOrders {
	byNode := map[string]*nodeOrders{}
	var all []*nodeOrders
	for _, o := range orders {
		n := byNode[o.Node]
		if n == nil {
			n = &nodeOrders{node: o.Node}
			byNode[o.Node] = n
			all = append(all, n)
		}
		n.orders = append(n.orders, o)
	}
	return all
}

func encodeOrders(term uint64, orders []jaycell.Order) *jayframe.CellOrders {
	m := &jayframe.CellOrders{Term: term, Orders: make([]jayframe.CellOrder, len(orders))}
	for i, o := range orders {
		m.Orders[i] = encodeOrder(o)
	}
	return m
}

func encodeRecords(records []jaycell.Record) *jayframe.StoredRecords {
	m := &jayframe.StoredRecords{Records: make([]jayframe.StoredRecord, len(records))}
	for i, r := range records {
		m.Records[i] = jayframe.StoredRecord{Key: r.Key, Value: r.Value}
	}
	return m
}
