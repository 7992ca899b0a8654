package requests

import (
	"math/rand/v2"
	"time"

	"flaxshelf.example/flaxshelf"
)

// feed is how the control feed is followed where the settings say that changes come unasked: the module asks for nothing
// then, and the feed is a call all the same. Where changes must be asked for, the module's Subscribe is the call.
type feed struct {
	begun bool
	fails int // calls that ended in a row
	rng   *rand.Rand
}

const (
	recallFirst = 100 * time.Millisecond
	recallMost  = time.Second
)

// follow calls the feed in the first step, and begins to look after the nodes.
func (c *Core) follow() {
	if c.feed.begun {
		return
	}
	c.feed.begun = true
	c.sweep()
	if !c.cfg.Module.DiscoveryOnRequest {
		c.emit(Subscribe{})
	}
}

// feedDown calls again after a while, with jitter so that schedulers whose feed broke at one moment don't come back at
// one moment. What the feed would have told counts as told 2 s after a break: the longest wait is half of that.
func (c *Core) feedDown() {
	c.tell(flaxshelf.DiscoveryFailed{})
	if c.cfg.Module.DiscoveryOnRequest {
		return
	}
	wait := recallMost
	if c.feed.fails < 4 {
		wait = recallFirst << c.feed.fails
	}
	c.feed.fails++
	wait = wait/2 + time.Duration(c.feed.rng.Int64N(int64(wait/2)))
	c.timers.Schedule(c.now+wait, func() { c.emit(Subscribe{}) })
}
