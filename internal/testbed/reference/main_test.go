package reference_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests, so that each run draws the same. With -rapid.seed=0 each draws anew.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261201")   // a flag of package rapid: it exists
	_ = flag.Set("rapid.nofailfile", "true") // likewise
	flag.Parse()
	os.Exit(m.Run())
}
