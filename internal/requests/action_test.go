package requests

import (
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// Health checks and gossip have no effect, because the platform's settings forbid them.
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

// If the placer sets several timers, the earliest is kept.
func TestEarliestPlacerTimerIsKept(t *testing.T) {
	h := newHarness(t)
	h.step()
	handler, want := actionHandler{h.core}, h.now+time.Second
	h.core.placerTimerAt = 0
	for _, after := range []time.Duration{2 * time.Second, time.Second, 3 * time.Second} {
		handler.HandleSetTimer(flaxshelf.SetTimer{After: after})
	}
	if got := h.core.placerTimerAt; got != want {
		t.Errorf("the placer's timer is due at %v, want %v", got, want)
	}
}
