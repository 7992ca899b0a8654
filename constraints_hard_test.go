package flaxshelf

import (
	"fmt"
	"testing"
	"time"
)

// What may follow each outcome, by what the class says of a second start.
func TestRetryAfterOutcome(t *testing.T) {
	for _, idempotency := range []Idempotency{Idempotent, IdempotentByKey, NonIdempotent} {
		for outcome := Completed + 1; outcome <= NotSent; outcome++ {
			t.Run(fmt.Sprint(idempotency, "/", outcome), func(t *testing.T) { checkRetry(t, idempotency, outcome) })
		}
	}
}

// checkRetry ends the first attempt of a task and checks what follows.
func checkRetry(t *testing.T, idempotency Idempotency, outcome Outcome) {
	cfg := testConfig()
	class := &cfg.Classes[0]
	class.Idempotency, class.KeyDomain, class.KeyTTL = idempotency, ZoneDomain, 2*time.Second
	p := startPlacer(t, cfg, []Machine{{ID: "m0", Zone: "a"}, {ID: "m1", Zone: "a"}, {ID: "m2", Zone: "b", Cell: 1}})
	first := onlyOffer(t, p.Step(time.Second, []Event{submit("t", 0, 9*time.Second)}))
	ended := AttemptEnded{Task: "t", Machine: first.Machine, Outcome: outcome}
	actions := p.Step(time.Second+millisecond, []Event{ended})
	next := offersOf(actions)
	neverRan := outcome == Rejected || outcome == Unreachable || outcome == NotSent
	switch {
	case neverRan || idempotency == Idempotent:
		if len(next) != 1 || next[0].Machine == first.Machine {
			t.Errorf("want another machine, got %v", actions)
		}
	case idempotency == NonIdempotent:
		if len(next) != 0 || !hasAction(actions, Fail{"t"}) {
			t.Errorf("want a failure, got %v", actions)
		}
	default:
		if len(next) > 1 || len(next) == 1 && p.machines[next[0].Machine].Zone != p.machines[first.Machine].Zone {
			t.Errorf("offered outside the domain of the key: %v", actions)
		}
		if hasAction(actions, Reject{"t"}) {
			t.Error("rejected though it may have run")
		}
	}
}

func TestNoRetryAfterKeyTTL(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].Idempotency, cfg.Classes[0].KeyDomain, cfg.Classes[0].KeyTTL = IdempotentByKey, FleetDomain, 500*millisecond
	p := startPlacer(t, cfg, testMachines(4))
	offer := onlyOffer(t, p.Step(time.Second, []Event{submit("t", 0, 9*time.Second)}))
	actions := p.Step(time.Second+500*millisecond, []Event{AttemptEnded{Task: "t", Machine: offer.Machine, Outcome: TimedOut}})
	if len(offersOf(actions)) != 0 || !hasAction(actions, Reject{"t"}) {
		t.Errorf("key expired, known to all machines: want a rejection, got %v", actions)
	}
}

// A machine gets no offer from the step on that brings its drain or removal.
func TestDrainingAndRemovedMachinesGetNoOffers(t *testing.T) {
	for _, state := range []MachineState{Draining, Removed} {
		p := startPlacer(t, testConfig(), testMachines(2))
		actions := p.Step(2*time.Second, []Event{
			MachinesUpdated{Machines: []Machine{{ID: "m0", Zone: "a", State: state}}}, submit("t", 0, 9*time.Second)})
		if offer := onlyOffer(t, actions); offer.Machine != "m1" {
			t.Errorf("%v: offered to %s", state, offer.Machine)
		}
	}
	p := startPlacer(t, testConfig(), testMachines(2))
	actions := p.Step(2*time.Second, []Event{
		MachinesUpdated{Complete: true, Machines: testMachines(1)}, submit("t", 0, 9*time.Second)})
	if offer := onlyOffer(t, actions); offer.Machine != "m0" {
		t.Errorf("absent from a complete list: offered to %s", offer.Machine)
	}
}

// Attempts, placed tasks and adopted tasks all count.
func TestSpread(t *testing.T) {
	for _, domain := range []TopologyDomain{MachineDomain, CellDomain, ZoneDomain} {
		cfg := testConfig()
		cfg.Classes[0].SpreadDomain, cfg.Classes[0].MaxPerDomain = domain, 2
		p := startPlacer(t, cfg, []Machine{{ID: "m0", Zone: "a"}, {ID: "m1", Zone: "b", Cell: 1}})
		events := []Event{TaskAdopted{submit("r", 0, 0).Task, "m0"}}
		for i := range 6 {
			events = append(events, submit(fmt.Sprint("t", i), 0, 9*time.Second))
		}
		count := map[string]int{"m0": 1}
		for _, offer := range offersOf(p.Step(2*time.Second, events)) {
			count[offer.Machine]++
		}
		if count["m0"] != 2 || count["m1"] != 2 {
			t.Errorf("%v: %v", domain, count)
		}
		actions := p.Step(3*time.Second, []Event{AttemptEnded{Task: "r", Machine: "m0", Outcome: Completed, Final: true}})
		if offer := onlyOffer(t, actions); offer.Machine != "m0" {
			t.Errorf("%v: after a task ended, offered to %s", domain, offer.Machine)
		}
	}
}
