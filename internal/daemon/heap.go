package daemon

import (
	"runtime"
	"sync"
)

// floor is memory that is never touched, so it costs address space and no pages. The collector waits until as much
// again has been allocated: without it a small heap is collected many times a second. It is made with the first daemon,
// not with the program: where the platform limits memory it would count, and the collector would never rest.
var floor = sync.OnceValue(func() []byte { return make([]byte, 64<<20) })

func keepFloor() { runtime.KeepAlive(floor()) }
