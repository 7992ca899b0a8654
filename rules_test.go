package flaxshelf

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// randomRun is the result of one sequence of random events.
type randomRun struct {
	actions  string
	offers   int
	failures int
}

// playRandomEvents plays one sequence of random events and checks the rules at each step.
func playRandomEvents(t *testing.T, seed uint64) (run randomRun) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 5))
	cfg := randomConfig(random)
	checker := newRuleChecker(t, cfg, time.Second)
	source := &eventSource{random: random, checker: checker}
	p := newPlacer(t, cfg, seed)
	events := []Event{MachinesUpdated{Complete: true, Stale: true, Machines: []Machine{
		{ID: "m0", Zone: "z0"}, {ID: "m1", Zone: "z1", Cell: 1, Kind: 1}}}}
	var log strings.Builder
	for range 800 {
		for _, e := range events {
			checker.event(e)
		}
		for _, action := range p.Step(checker.now, events) {
			fmt.Fprint(&log, checker.now, action)
			checker.action(action)
			switch action := action.(type) {
			case Offer:
				run.offers++
				source.offered(action)
			case Fail:
				run.failures++
			}
		}
		checker.checkAnswered()
		checker.now += time.Duration(1+random.IntN(4)) * 2 * millisecond
		events = append(source.events(), TimerFired{})
	}
	run.actions = log.String()
	return run
}

// Equal sequences also give equal actions.
func TestRandomEventsBreakNoRule(t *testing.T) {
	offers, failures := 0, 0
	for seed := range uint64(60) {
		first, second := playRandomEvents(t, seed), playRandomEvents(t, seed)
		if first.actions != second.actions {
			t.Fatalf("seed %d: equal events, different actions", seed)
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
		offers += first.offers + second.offers
		failures += first.failures + second.failures
	}
	if offers < 10000 || failures < 100 {
		t.Errorf("got %d offers and %d failures, want at least 10000 and 100", offers, failures)
	}
}
