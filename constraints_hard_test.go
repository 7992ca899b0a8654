package flaxshelf

import (
	"fmt"
	"testing"
	"time"
)

func TestRetryAfterOutcomeFollowsIdempotency(t *testing.T) {
	for _, idempotency := range []Idempotency{Idempotent, IdempotentByKey, NonIdempotent} {
		for outcome := Completed + 1; outcome <= NotSent; outcome++ {
			t.Run(fmt.Sprint(idempotency, "/", outcome), func(t *testing.T) { checkRetry(t, idempotency, outcome) })
		}
	}
}

// checkRetry ends the first attempt of a task with an outcome and checks whether and where the task is offered again.
func checkRetry(t *testing.T, idempotency Idempotency, outcome Outcome) {
	t.Helper()
	cfg := testConfig()
	class := &cfg.Classes[0]
	class.Idempotency, class.KeyDomain, class.KeyTTL = idempotency, ZoneDomain, 2*time.Second
	p := startPlacer(t, cfg, []Machine{{ID: "m0", Zone: "a"}, {ID: "m1", Zone: "a"}, {ID: "m2", Zone: "b", Cell: 1}})
	first := onlyOffer(t, p.Step(time.Second, []Event{newSubmission("t", 0, 9*time.Second)}))
	actions := p.Step(time.Second+millisecond, []Event{firstAttemptEnded(first, outcome)})
	next := offersOf(actions)
	neverRan := outcome == Rejected || outcome == Unreachable || outcome == NotSent
	switch {
	case neverRan || idempotency == Idempotent:
		if len(next) != 1 || next[0].Machine == first.Machine {
			t.Errorf("got actions %+v, want one offer to a machine other than %s", actions, first.Machine)
		}
	case idempotency == NonIdempotent:
		if len(next) != 0 || !hasAction(actions, Fail{"t"}) {
			t.Errorf("got actions %+v, want Fail and no offer", actions)
		}
	default:
		if len(next) > 1 || len(next) == 1 && p.machines[next[0].Machine].Zone != p.machines[first.Machine].Zone {
			t.Errorf("got actions %+v, want at most one offer, in the key domain: zone %s",
				actions, p.machines[first.Machine].Zone)
		}
		if hasAction(actions, Reject{"t"}) {
			t.Errorf("got actions %+v, want no Reject: the first attempt may have run", actions)
		}
	}
}

func TestNoRetryAfterKeyTTL(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].Idempotency, cfg.Classes[0].KeyDomain, cfg.Classes[0].KeyTTL = IdempotentByKey, FleetDomain, 500*millisecond
	p := startPlacer(t, cfg, testMachines(4))
	offer := onlyOffer(t, p.Step(time.Second, []Event{newSubmission("t", 0, 9*time.Second)}))
	actions := p.Step(time.Second+500*millisecond, []Event{firstAttemptEnded(offer, TimedOut)})
	if len(offersOf(actions)) != 0 || !hasAction(actions, Reject{"t"}) {
		t.Errorf("got actions %+v, want Reject and no offer: the key has expired", actions)
	}
}

// An update of the machine list takes effect on offers of the same step, also when the task is submitted in that step.
func TestDrainingAndRemovedMachinesGetNoOffers(t *testing.T) {
	for _, c := range []struct {
		name   string
		update MachinesUpdated
	}{
		{"draining", MachinesUpdated{Machines: []Machine{{ID: "m1", Zone: "a", State: Draining}}}},
		{"removed", MachinesUpdated{Machines: []Machine{{ID: "m1", Zone: "a", State: Removed}}}},
		{"absent from a complete list", MachinesUpdated{Complete: true, Machines: testMachines(1)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startPlacer(t, testConfig(), testMachines(2))
			actions := p.Step(2*time.Second, []Event{c.update, newSubmission("t", 0, 9*time.Second)})
			if offer := onlyOffer(t, actions); offer.Machine != "m0" {
				t.Errorf("got an offer to %s, want m0: m1 is out of service", offer.Machine)
			}
		})
	}
}

func TestSpreadCountsAttemptsAndAdoptedTasks(t *testing.T) {
	for _, domain := range []TopologyDomain{MachineDomain, CellDomain, ZoneDomain} {
		t.Run(domain.String(), func(t *testing.T) { checkSpread(t, domain) })
	}
}

// checkSpread submits more tasks of a service than the spread limit allows on two machines in different domains. It checks that
// a running adopted task counts, and that a further task is offered when the adopted one ends.
func checkSpread(t *testing.T, domain TopologyDomain) {
	t.Helper()
	cfg := testConfig()
	cfg.Classes[0].SpreadDomain, cfg.Classes[0].MaxPerDomain = domain, 2
	p := startPlacer(t, cfg, []Machine{{ID: "m0", Zone: "a"}, {ID: "m1", Zone: "b", Cell: 1}})
	events := []Event{TaskAdopted{newSubmission("r", 0, 0).Task, "m0"}}
	for i := range 6 {
		events = append(events, newSubmission(fmt.Sprint("t", i), 0, 9*time.Second))
	}
	count := map[string]int{"m0": 1}
	for _, offer := range offersOf(p.Step(2*time.Second, events)) {
		count[offer.Machine]++
	}
	if count["m0"] != 2 || count["m1"] != 2 {
		t.Errorf("got attempts by machine %v, want 2 on each of m0 and m1", count)
	}
	actions := p.Step(3*time.Second, []Event{AttemptEnded{Task: "r", Machine: "m0", Outcome: Completed, Final: true}})
	if offer := onlyOffer(t, actions); offer.Machine != "m0" {
		t.Errorf("got an offer to %s after a task on m0 ended, want m0", offer.Machine)
	}
}
