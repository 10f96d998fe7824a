package jayroute

import "flag"

// init fixes the seed of property-based tests, so that every run is reproducible;
// -rapid.seed=0 explores.
func init() { _ = flag.Set("rapid.seed", "1") }
