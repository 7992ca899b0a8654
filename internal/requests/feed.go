package requests

import (
	"math/rand/v2"
	"time"

	"flaxshelf.example/flaxshelf"
)

// discoveryWatch is how the control feed is followed where the settings say that changes come unasked: the module asks for nothing
// then, and the feed is a call all the same. Where changes must be asked for, the module's Subscribe is the call.
type discoveryWatch struct {
	started  bool
	failures int // calls that ended in a row
	rng      *rand.Rand
}

const (
	initialWatchBackoff = 100 * time.Millisecond
	maxWatchBackoff     = time.Second
)

// startWatch calls the feed in the first step, and begins to look after the nodes.
func (c *Core) startWatch() {
	if c.watch.started {
		return
	}
	c.watch.started = true
	c.checkSilence()
	if !c.config.Module.DiscoveryOnRequest {
		c.emit(Subscribe{})
	}
}

// watchFailed calls again after a while, with jitter so that schedulers whose feed broke at one moment don't come back at
// one moment. What the feed would have told counts as told 2 s after a break: the longest wait is half of that.
func (c *Core) watchFailed() {
	c.notifyModule(flaxshelf.DiscoveryFailed{})
	if c.config.Module.DiscoveryOnRequest {
		return
	}
	wait := maxWatchBackoff
	if c.watch.failures < 4 {
		wait = initialWatchBackoff << c.watch.failures
	}
	c.watch.failures++
	wait = wait/2 + time.Duration(c.watch.rng.Int64N(int64(wait/2)))
	c.timers.Schedule(c.now+wait, func() { c.emit(Subscribe{}) })
}
