package flaxshelf

import (
	"testing"
	"time"
)

func TestSubscribeRetriesAfterDiscoveryFailure(t *testing.T) {
	c := testConfig()
	c.DiscoveryOnRequest = true
	p, _ := New(c, 1)
	as := p.Step(time.Second, []Event{MachinesUpdated{Complete: true, Stale: true, Machines: testMachines(1)}})
	if !hasAction(as, Subscribe{}) {
		t.Fatalf("no subscription at the start: %v", as)
	}
	now, calls := time.Second, 0
	for range 20 {
		p.Step(now+millisecond, []Event{DiscoveryFailed{}})
		for now += 10 * millisecond; ; now += 10 * millisecond {
			if hasAction(p.Step(now, []Event{TimerFired{}}), Subscribe{}) {
				calls++
				break
			}
			if now > time.Minute {
				t.Fatal("never asked again")
			}
		}
	}
	if calls != 20 || now > 60*time.Second || now < 10*time.Second {
		t.Errorf("%d calls in %v", calls, now)
	}
}
