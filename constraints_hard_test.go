package flaxshelf

import (
	"fmt"
	"testing"
	"time"
)

// Second rule: what may follow each outcome, for each kind of class.
func TestRetryAfterOutcome(t *testing.T) {
	groups := []Machine{{ID: "m0", Zone: "a"}, {ID: "m1", Zone: "a"}, {ID: "m2", Zone: "b", Cell: 1}}
	for _, effect := range []Idempotency{Idempotent, IdempotentByKey, NonIdempotent} {
		for v := Completed + 1; v <= NotSent; v++ {
			c := testConfig()
			c.Classes[0].Idempotency, c.Classes[0].KeyDomain, c.Classes[0].KeyTTL = effect, ZoneDomain, 2*time.Second
			p := startPlacer(t, c, groups)
			first := onlyOffer(t, p.Step(time.Second, []Event{submit("t", 0, 9*time.Second)}))
			as := p.Step(time.Second+millisecond, []Event{AttemptEnded{Task: "t", Machine: first.Machine, Outcome: v}})
			proved := v == Rejected || v == Unreachable || v == NotSent
			next := offersOf(as)
			zone := func(id string) string { return p.machines[id].Zone }
			switch {
			case proved || effect == Idempotent:
				if len(next) != 1 || next[0].Machine == first.Machine {
					t.Errorf("effect %d, verdict %d: want another machine, got %v", effect, v, as)
				}
			case effect == NonIdempotent:
				if len(next) != 0 || !hasAction(as, Fail{"t"}) {
					t.Errorf("unsafe, verdict %d: want a failure, got %v", v, as)
				}
			default:
				if len(next) > 1 || len(next) == 1 && zone(next[0].Machine) != zone(first.Machine) {
					t.Errorf("keyed, verdict %d: left the group: %v", v, as)
				}
				if hasAction(as, Reject{"t"}) {
					t.Errorf("keyed, verdict %d: refused though it may have run", v)
				}
			}
		}
	}
}

func TestNoRetryAfterKeyTTL(t *testing.T) {
	c := testConfig()
	c.Classes[0].Idempotency, c.Classes[0].KeyDomain, c.Classes[0].KeyTTL = IdempotentByKey, FleetDomain, 500*millisecond
	p := startPlacer(t, c, testMachines(4))
	o := onlyOffer(t, p.Step(time.Second, []Event{submit("t", 0, 9*time.Second)}))
	as := p.Step(time.Second+500*millisecond, []Event{AttemptEnded{Task: "t", Machine: o.Machine, Outcome: TimedOut}})
	if len(offersOf(as)) != 0 || !hasAction(as, Reject{"t"}) {
		t.Errorf("window over, group everywhere: want a refusal, got %v", as)
	}
}

// Third rule.
func TestDrainingAndRemovedMachinesGetNoOffers(t *testing.T) {
	for _, s := range []MachineState{Draining, Removed} {
		p := startPlacer(t, testConfig(), testMachines(2))
		as := p.Step(2*time.Second, []Event{
			MachinesUpdated{Machines: []Machine{{ID: "m0", Zone: "a", State: s}}}, submit("t", 0, 9*time.Second)})
		if o := onlyOffer(t, as); o.Machine != "m1" {
			t.Errorf("state %d: offered to %s", s, o.Machine)
		}
	}
	p := startPlacer(t, testConfig(), testMachines(2))
	as := p.Step(2*time.Second, []Event{MachinesUpdated{Complete: true, Machines: testMachines(1)}, submit("t", 0, 9*time.Second)})
	if o := onlyOffer(t, as); o.Machine != "m0" {
		t.Errorf("absent from a whole list: offered to %s", o.Machine)
	}
}

// Fifth rule: attempts, placed tasks and tasks told as running all count.
func TestSpread(t *testing.T) {
	for _, at := range []TopologyDomain{MachineDomain, CellDomain, ZoneDomain} {
		c := testConfig()
		c.Classes[0].SpreadDomain, c.Classes[0].MaxPerDomain = at, 2
		p := startPlacer(t, c, []Machine{{ID: "m0", Zone: "a"}, {ID: "m1", Zone: "b", Cell: 1}})
		events := []Event{TaskAdopted{submit("r", 0, 0).Task, "m0"}}
		for i := range 6 {
			events = append(events, submit(fmt.Sprint("t", i), 0, 9*time.Second))
		}
		count := map[string]int{"m0": 1}
		for _, o := range offersOf(p.Step(2*time.Second, events)) {
			count[o.Machine]++
		}
		if count["m0"] != 2 || count["m1"] != 2 {
			t.Errorf("extent %d: %v", at, count)
		}
		as := p.Step(3*time.Second, []Event{AttemptEnded{Task: "r", Machine: "m0", Outcome: Completed, Final: true}})
		if o := onlyOffer(t, as); o.Machine != "m0" {
			t.Errorf("extent %d: the freed place went to %s", at, o.Machine)
		}
	}
}
