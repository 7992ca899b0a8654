package requests

import (
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// Health checks and gossip, which the platform's settings forbid, have no effect.
func TestForbiddenActionsHaveNoEffect(t *testing.T) {
	h := newHarness(t)
	flaxshelf.HandleActions([]flaxshelf.Action{
		flaxshelf.HealthCheck{Machine: "n"},
		flaxshelf.SendGossip{Data: []byte("x")},
	}, actionHandler{h.core})
	if got := h.core.effects; len(got) != 0 {
		t.Errorf("got effects %+v, want none", got)
	}
}

// Of several timers that the module sets the earliest counts.
func TestEarliestModuleTimerCounts(t *testing.T) {
	h := newHarness(t)
	h.step()
	handler, want := actionHandler{h.core}, h.now+time.Second
	h.core.placerTimerAt = 0
	for _, after := range []time.Duration{2 * time.Second, time.Second, 3 * time.Second} {
		handler.HandleSetTimer(flaxshelf.SetTimer{After: after})
	}
	if got := h.core.placerTimerAt; got != want {
		t.Errorf("the module's timer is due at %v, want %v", got, want)
	}
}
