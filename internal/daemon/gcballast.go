package daemon

import (
	"runtime"
	"sync"
)

// gcBallastBytes is the size of the heap ballast.
const gcBallastBytes = 64 << 20

// gcBallast is memory that is never touched, so it costs address space and no pages. The collector waits until as much
// again has been allocated: without it a small heap is collected many times a second. It is allocated with the first
// daemon, not with the program: where the platform limits memory it would count, and the collector would never rest.
var gcBallast = sync.OnceValue(func() []byte { return make([]byte, gcBallastBytes) })

// retainGCBallast has the ballast stay reachable until it is called.
func retainGCBallast() { runtime.KeepAlive(gcBallast()) }
