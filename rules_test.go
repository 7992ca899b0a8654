package flaxshelf

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// randomRun is the result of a run with random events.
type randomRun struct {
	actions  string // all actions with their times, as text
	offers   int
	failures int // number of Fail actions
}

// runRandomEvents runs a Placer for 800 steps with random events that depend on the seed alone, and checks each event and
// action with a ruleChecker.
func runRandomEvents(t *testing.T, seed uint64) (run randomRun) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 5))
	cfg := randomConfig(random)
	checker := newRuleChecker(t, cfg, time.Second)
	source := &eventSource{random: random, checker: checker}
	p := newPlacer(t, cfg, seed)
	events := []Event{MachinesUpdated{Complete: true, Stale: true, Machines: []Machine{
		{ID: "m0", Zone: "z0"}, {ID: "m1", Zone: "z1", Cell: 1, Kind: 1}}}}
	var actionLog strings.Builder
	for range 800 {
		for _, e := range events {
			checker.observeEvent(e)
		}
		for _, action := range p.Step(checker.now, events) {
			fmt.Fprint(&actionLog, checker.now, action)
			checker.checkAction(action)
			switch action := action.(type) {
			case Offer:
				run.offers++
				source.recordOffer(action)
			case Fail:
				run.failures++
			}
		}
		checker.checkNoneOverdue()
		checker.now += time.Duration(1+random.IntN(4)) * 2 * millisecond
		events = append(source.nextEvents(), TimerFired{})
	}
	run.actions = actionLog.String()
	return run
}

// No action breaks a rule of ruleChecker, and a second run with the same seed gives the same actions.
func TestRandomEventsBreakNoRule(t *testing.T) {
	offers, failures := 0, 0
	for seed := range uint64(60) {
		first, second := runRandomEvents(t, seed), runRandomEvents(t, seed)
		if first.actions != second.actions {
			t.Fatalf("seed %d: two runs gave different actions, want the same", seed)
		}
		if t.Failed() {
			t.Fatalf("the runs with seed %d broke a rule", seed)
		}
		offers += first.offers + second.offers
		failures += first.failures + second.failures
	}
	if offers < 10000 || failures < 100 {
		t.Errorf("got %d offers and %d Fail actions in all runs, want at least 10000 and 100", offers, failures)
	}
}
