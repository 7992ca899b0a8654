package requests

import (
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// Where updates come unrequested the core opens the watch in its first step, and again within a second after it broke off.
// Where they must be requested, only the module's Subscribe opens it.
func TestDiscoveryWatch(t *testing.T) {
	t.Run("updates come unrequested", func(t *testing.T) {
		h := newHarness(t)
		h.step()
		oneEffect[Subscribe](h)
		h.step(WatchFailed{})
		noEffect[Subscribe](h)
		h.advance(time.Second)
		oneEffect[Subscribe](h)
	})
	t.Run("updates must be requested", func(t *testing.T) {
		h := newHarness(t, func(c *Config) { c.Module.DiscoveryOnRequest = true })
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

// The backoff doubles with each retry, up to its bound, however many retries there were.
func TestExponentialBackoff(t *testing.T) {
	for _, test := range []struct {
		name           string
		initial, limit time.Duration
		earlierRetries int
		want           time.Duration
	}{
		{"first retry", 100 * time.Millisecond, time.Second, 0, 100 * time.Millisecond},
		{"second retry", 100 * time.Millisecond, time.Second, 1, 200 * time.Millisecond},
		{"last below the bound", 100 * time.Millisecond, time.Second, 3, 800 * time.Millisecond},
		{"above the bound", 100 * time.Millisecond, time.Second, 4, time.Second},
		{"at the bound", 100 * time.Millisecond, 800 * time.Millisecond, 3, 800 * time.Millisecond},
		{"many retries", 100 * time.Millisecond, time.Second, 1 << 20, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := exponentialBackoff(test.initial, test.limit, test.earlierRetries); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}
