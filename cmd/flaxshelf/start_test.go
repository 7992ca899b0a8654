package main

import (
	"os"
	"runtime"
	"testing"
)

// startHeap is the heap before any test has run: what the start of the program's packages costs.
var startHeap uint64

func TestMain(m *testing.M) {
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	startHeap = s.HeapAlloc
	os.Exit(m.Run())
}

// The start of the program allocates little memory: the platform's limits begin at 32 MB, and memory that counts against
// the soft limit without a page behind it keeps the garbage collector running.
func TestStartIsSmall(t *testing.T) {
	if startHeap > 16<<20 {
		t.Errorf("%d MiB of heap before anything was run", startHeap>>20)
	}
}
