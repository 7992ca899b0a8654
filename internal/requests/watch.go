package requests

import (
	"math/rand/v2"
	"time"

	"flaxshelf.example/flaxshelf"
)

// discoveryWatch is the state of the watch on the discovery service. Where updates come unrequested the core opens the
// watch itself, since the module asks for nothing; where they must be requested, the module's Subscribe opens it.
type discoveryWatch struct {
	started  bool
	failures int // watches that failed in a row
	rng      *rand.Rand
}

// Discovery counts as up to date 2 s after a watch broke off at the latest, so the longest backoff is half of that.
const (
	initialWatchBackoff = 100 * time.Millisecond
	maxWatchBackoff     = time.Second
)

// startWatch opens the watch in the first step, and starts the checks for silent nodes.
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

// watchEstablished resets the backoff and has the module count discovery as available.
func (c *Core) watchEstablished() {
	c.watch.failures = 0
	c.notifyModule(flaxshelf.MachinesUpdated{})
}

// watchFailed opens the watch again after a backoff, with jitter so that schedulers whose watches broke at one moment don't
// come back at one moment.
func (c *Core) watchFailed() {
	c.notifyModule(flaxshelf.DiscoveryFailed{})
	if c.config.Module.DiscoveryOnRequest {
		return
	}
	backoff := exponentialBackoff(initialWatchBackoff, maxWatchBackoff, c.watch.failures)
	c.watch.failures++
	backoff = backoff/2 + time.Duration(c.watch.rng.Int64N(int64(backoff/2)))
	c.timers.Schedule(c.now+backoff, func() { c.emit(Subscribe{}) })
}
