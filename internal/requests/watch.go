package requests

import (
	"time"

	"flaxshelf.example/flaxshelf"
)

// discoveryWatch is the state of the watch on the discovery service. If updates are pushed, the core opens the watch itself,
// because the placer does not subscribe. If they must be requested, the placer's first Subscribe action opens it. In either case
// the core opens it again after a failure.
type discoveryWatch struct {
	started  bool // whether startWatch has run
	active   bool // whether the watch is open or being opened
	failures int  // consecutive failures of the watch
}

// Limits of the backoff after a failure of the watch. The protocol expects the endpoint list to be current within 2 s after
// the watch was interrupted; the longest backoff is half of that.
const (
	initialWatchBackoff = 100 * time.Millisecond
	maxWatchBackoff     = time.Second
)

// startWatch starts the periodic checks for unresponsive nodes in the first step, and opens the watch if updates are pushed.
func (c *Core) startWatch() {
	if c.watch.started {
		return
	}
	c.watch.started = true
	c.checkUnresponsiveNodes()
	if !c.config.Placer.DiscoveryOnRequest {
		c.openWatch()
	}
}

// openWatch opens the watch, unless it is open or being opened.
func (c *Core) openWatch() {
	if c.watch.active {
		return
	}
	c.watch.active = true
	c.emit(Subscribe{})
}

// watchEstablished resets the backoff and notifies the placer that the discovery service is available.
func (c *Core) watchEstablished() {
	c.watch.failures = 0
	c.notifyPlacer(flaxshelf.MachinesUpdated{})
}

// watchFailed notifies the placer and opens the watch again after a backoff. The jitter prevents schedulers whose watches fail at
// the same time from reconnecting at the same time. The placer's own backoff may be longer than the time within which the
// protocol expects the list to be current; its Subscribe actions open the watch earlier, but not later.
func (c *Core) watchFailed() {
	c.watch.active = false
	c.notifyPlacer(flaxshelf.DiscoveryFailed{})
	backoff := exponentialBackoff(initialWatchBackoff, maxWatchBackoff, c.watch.failures)
	c.watch.failures++
	c.timers.Schedule(c.now+c.withJitter(backoff), c.openWatch)
}
