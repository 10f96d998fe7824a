package jaysched

import (
	"github.com/jaystile/jaystile/internal/process/jaypool"
	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/internal/version/jaymanifest"
)

// Fragmentation returns one minus the largest guaranteed shape that could start
// now on free accelerators, over the free accelerators that such a shape could
// use at the most. It is zero when nothing is free.
func Fragmentation(pool *jaypool.Pool, guarantees []jaymanifest.Guarantee) float64 {
	largest := 0
	for _, g := range guarantees {
		largest = max(largest, g.Shape().TotalAccelerators())
	}
	usable := min(largest, pool.Free())
	if usable <= 0 {
		return 0
	}
	best := 0
	for _, g := range guarantees {
		if g.Shape().TotalAccelerators() <= usable && g.Shape().TotalAccelerators() > best && fitsNow(pool, g.Shape()) {
			best = g.Shape().TotalAccelerators()
		}
	}
	return 1 - float64(best)/float64(usable)
}

func fitsNow(pool *jaypool.Pool, shape jayjob.Shape) bool {
	for _, group := range pool.Groups(shape.Locality()) {
		seats := 0
		for _, w := range group {
			if !w.Closed() {
				seats += memberCapacity(w.Free(), shape)
			}
		}
		if seats >= shape.Members() {
			return true
		}
	}
	return false
}
