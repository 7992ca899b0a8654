package daemon

import (
	"runtime"
	"sync"
)

// gcBallastBytes is the size of the ballast that delays garbage collections.
const gcBallastBytes = 64 << 20

// gcBallast returns memory that is never accessed. It uses address space but no physical pages, and makes the garbage collector
// wait until the heap has grown by the same amount: without it, a small heap is collected many times per second. The first
// daemon allocates it, not the start of the program: in a process that runs the platform with a memory limit, the ballast would
// count towards the limit and the garbage collector would run continuously.
var gcBallast = sync.OnceValue(func() []byte { return make([]byte, gcBallastBytes) })

// retainGCBallast keeps the ballast reachable until it is called, so callers defer it.
func retainGCBallast() { runtime.KeepAlive(gcBallast()) }
