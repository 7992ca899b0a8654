package main

import (
	"os"
	"runtime"
	"testing"
)

// heapBeforeTests is the size of the heap in bytes before any test has run: what initializing the packages costs.
var heapBeforeTests uint64

func TestMain(m *testing.M) {
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	heapBeforeTests = s.HeapAlloc
	os.Exit(m.Run())
}

// The platform's memory limits begin at 32 MB, and memory that counts against the soft limit without being resident keeps
// the garbage collector running.
func TestPackageInitializationNeedsLittleMemory(t *testing.T) {
	if heapBeforeTests > 16<<20 {
		t.Errorf("got %d MiB of heap before any test, want 16 at most", heapBeforeTests>>20)
	}
}
