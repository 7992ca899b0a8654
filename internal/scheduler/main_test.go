package scheduler

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests, so that each run has the same cases. With -rapid.seed=0, each run draws a new
// seed.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261201")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}
