package requests

import (
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// If updates are pushed, the core opens the watch in its first step, and again within a second after it failed. If they must
// be requested, only the placer's Subscribe action opens it.
func TestWatchIsOpenedAgainAfterFailure(t *testing.T) {
	t.Run("updates are pushed", func(t *testing.T) {
		h := newHarness(t)
		h.step()
		oneEffect[Subscribe](h)
		h.step(WatchFailed{})
		noEffect[Subscribe](h)
		h.advance(time.Second)
		oneEffect[Subscribe](h)
	})
	t.Run("updates must be requested", func(t *testing.T) {
		h := newHarness(t, func(c *Config) { c.Placer.DiscoveryOnRequest = true })
		initial := nodeUpdated(machine("n", flaxshelf.Active, 0), "n")
		initial.Complete, initial.FromConfig = true, true
		h.step(initial)
		oneEffect[Subscribe](h)
		h.step(WatchEstablished{})
		h.advance(time.Minute)
		noEffect[Subscribe](h)
		h.step(WatchFailed{})
		h.advance(time.Second)
		oneEffect[Subscribe](h)
	})
}
