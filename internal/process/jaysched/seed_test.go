package jaysched

import "flag"

// init fixes the seed of property tests, so that runs are reproducible;
// -rapid.seed=0 uses random seeds.
func init() { _ = flag.Set("rapid.seed", "1") }
