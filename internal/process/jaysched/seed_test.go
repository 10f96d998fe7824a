package jaysched

import "flag"

// init fixes the seed of the property tests so that every run has the same result;
// -rapid.seed=0 draws a random one.
func init() { _ = flag.Set("rapid.seed", "1") }
