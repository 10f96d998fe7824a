package jaysched

import (
	"github.com/jaystile/jaystile/internal/process/jaypool"
	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/internal/version/jaymanifest"
)

// Fragmentation returns 1 - largest/usable, where largest is the size of the
// largest guaranteed shape that could start now on free accelerators and usable is
// the number of free accelerators, at most the size of the largest guaranteed
// shape. It is zero when nothing is free.
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

// fitsNow reports whether the shape fits the free accelerators.
func fitsNow(pool *jaypool.Pool, shape jayjob.Shape) bool {
	for _, group := range pool.Groups(shape.Locality()) {
		members := 0
		for _, w := range group {
			if !w.Closed() {
				members += memberCapacity(w.Free(), shape)
			}
		}
		if members >= shape.Members() {
			return true
		}
	}
	return false
}
