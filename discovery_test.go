package flaxshelf

import (
	"testing"
	"time"
)

func TestSubscriptionIsRetriedAfterDiscoveryFailure(t *testing.T) {
	cfg := testConfig()
	cfg.DiscoveryOnRequest = true
	p := newPlacer(t, cfg, testSeed)
	actions := p.Step(time.Second, []Event{MachinesUpdated{Complete: true, Stale: true, Machines: testMachines(1)}})
	if !hasAction(actions, Subscribe{}) {
		t.Fatalf("got actions %+v in the first step, want Subscribe", actions)
	}
	now, subscriptions := time.Second, 0
	for range 20 {
		p.Step(now+millisecond, []Event{DiscoveryFailed{}})
		for now += 10 * millisecond; ; now += 10 * millisecond {
			if hasAction(p.Step(now, []Event{TimerFired{}}), Subscribe{}) {
				subscriptions++
				break
			}
			if now > time.Minute {
				t.Fatalf("got %d subscriptions until %v, want 20 within 1 min", subscriptions, now)
			}
		}
	}
	if subscriptions != 20 || now > 60*time.Second || now < 10*time.Second {
		t.Errorf("got %d subscriptions until %v, want 20 until a time from 10 s to 1 min", subscriptions, now)
	}
}
