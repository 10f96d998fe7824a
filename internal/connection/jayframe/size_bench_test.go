package jayframe

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkFrame measures the CPU time and the size of the frames that idle and busy
// agents exchange with each entry.
func BenchmarkFrame(b *testing.B) {
	reservations := func(n int) []Reservation {
		all := make([]Reservation, n)
		for i := range all {
			all[i] = Reservation{Attempt: Attempt{Origin: 1 << 62, Counter: uint64(i) + 1<<20}, Job: fmt.Sprintf("j1a23dabaa1dc6c8e-%x", 1<<20+i), Workspace: "order-desk", JobKind: "pricecheck", Accelerators: 1, Preemptible: true, AgeMillis: 3_600_000, CheckpointAgeMillis: 60_000}
		}
		return all
	}
	for _, c := range []struct {
		name string
		m    Message
	}{
		{"beat", &Heartbeat{Sequence: 1 << 20, Ack: 1 << 20, Time: 1 << 62, Manifest: 1 << 20}},
		{"heartbeat of an entry that knows 3", &Heartbeat{Sequence: 1 << 20, Ack: 1 << 20, Time: 1 << 62, Manifest: 1 << 20, Entries: []string{"10.0.0.1:8081", "10.0.0.2:8081", "10.0.0.3:8081"}}},
		{"report/holds=0", &Report{Sequence: 1 << 20, Manifest: 1 << 20}},
		{"report/holds=8", &Report{Sequence: 1 << 20, Manifest: 1 << 20, Reservations: reservations(8)}},
		{"report/holds=30", &Report{Sequence: 1 << 20, Manifest: 1 << 20, Reservations: reservations(30)}},
		{"manifest of 200 workspaces", &Manifest{Version: 1 << 20, Source: make([]byte, 200*420)}},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				f, err := Encode(NewFrame(c.m))
				assert.NilError(b, err)
				size = len(f)
				_, err = Decode(f)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(size), "frame-bytes")
		})
	}
}
