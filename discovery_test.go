package flaxshelf

import (
	"testing"
	"time"
)

func TestSubscribeRetriesAfterDiscoveryFailure(t *testing.T) {
	cfg := testConfig()
	cfg.DiscoveryOnRequest = true
	p, _ := New(cfg, 1)
	actions := p.Step(time.Second, []Event{MachinesUpdated{Complete: true, Stale: true, Machines: testMachines(1)}})
	if !hasAction(actions, Subscribe{}) {
		t.Fatalf("no subscription at the start: %v", actions)
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
				t.Fatal("never subscribed again")
			}
		}
	}
	if subscriptions != 20 || now > 60*time.Second || now < 10*time.Second {
		t.Errorf("%d subscriptions in %v", subscriptions, now)
	}
}
