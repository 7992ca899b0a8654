package requests

import (
	"math/rand/v2"
	"time"

	"flaxshelf.example/flaxshelf"
)

// discoveryWatch is the state of the watch on the discovery service. If updates are pushed, the core opens the watch itself,
// because the placer does not subscribe. If they must be requested, the placer's Subscribe action opens it.
type discoveryWatch struct {
	started  bool       // whether startWatch has run
	failures int        // consecutive failures of the watch
	rng      *rand.Rand // for the jitter of the backoff
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
		c.emit(Subscribe{})
	}
}

// watchEstablished resets the backoff and notifies the placer that the discovery service is available.
func (c *Core) watchEstablished() {
	c.watch.failures = 0
	c.notifyPlacer(flaxshelf.MachinesUpdated{})
}

// watchFailed notifies the placer and, if updates are pushed, opens the watch again after a backoff. The
// jitter prevents schedulers whose watches fail at the same time from reconnecting at the same time.
func (c *Core) watchFailed() {
	c.notifyPlacer(flaxshelf.DiscoveryFailed{})
	if c.config.Placer.DiscoveryOnRequest {
		return
	}
	backoff := exponentialBackoff(initialWatchBackoff, maxWatchBackoff, c.watch.failures)
	c.watch.failures++
	backoff = backoff/2 + time.Duration(c.watch.rng.Int64N(int64(backoff/2)))
	c.timers.Schedule(c.now+backoff, func() { c.emit(Subscribe{}) })
}
