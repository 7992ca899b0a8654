package scheduler

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests: each run plays the same cases. -rapid.seed=0 draws another.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261201")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}
