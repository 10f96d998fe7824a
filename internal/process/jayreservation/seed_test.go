package jayreservation

import "flag"

// init fixes the seed of random tests, so that every run gives the same verdict;
// -rapid.seed=0 explores.
func init() { _ = flag.Set("rapid.seed", "1") }
