package main

import (
	"os"
	"runtime"
	"testing"
)

// heapBeforeTests is the size of the heap in bytes before any test has run, which is what package initialization allocates.
var heapBeforeTests uint64

func TestMain(m *testing.M) {
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	heapBeforeTests = s.HeapAlloc
	os.Exit(m.Run())
}

// The smallest memory limit of the platform is 32 MB. Memory that package initialization allocates counts against the soft limit
// of the Go runtime even if it is not resident, and so keeps the garbage collector running.
func TestPackageInitializationNeedsLittleMemory(t *testing.T) {
	if heapBeforeTests > 16<<20 {
		t.Errorf("got %d MiB of heap after package initialization, want at most 16", heapBeforeTests>>20)
	}
}
