package flaxshelf

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Incident i4c1909: while the list tells no room anywhere, tasks are held, then tried once at last.
func TestTaskHeldWithoutListedCapacity(t *testing.T) {
	c := testConfig()
	c.ListsFreeCapacity = true
	full := []Machine{{ID: "m0", Zone: "a", FreeCores: -32, FreeMemory: -50}}
	p := startPlacer(t, c, full)
	if as := p.Step(time.Second, []Event{submit("t", 0, 5*time.Second)}); len(offersOf(as)) != 0 {
		t.Fatalf("offered to a full machine: %v", as)
	}
	onlyOffer(t, p.Step(4100*millisecond, []Event{TimerFired{}}))
	p = startPlacer(t, c, full)
	p.Step(time.Second, []Event{submit("t", 0, 5*time.Second)})
	full[0].FreeCores, full[0].FreeMemory = 10, 10
	onlyOffer(t, p.Step(2*time.Second, []Event{MachinesUpdated{Machines: full}}))
}

// Incident i959772 and a crash met on the way: nothing is left when every machine is told full.
func TestTaskHeldWhenAllMachinesReject(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(2))
	for _, m := range p.machinesByID {
		m.rejectsUntil = time.Hour
	}
	reviewAll(p)
	as := p.Step(time.Second+millisecond, []Event{submit("t", 0, 9*time.Second)})
	if len(offersOf(as)) != 0 || hasAction(as, Reject{"t"}) {
		t.Errorf("want the task held, got %v", as)
	}
}

// After a refusal one offer finds out whether a machine has recovered, without a rush onto it.
func TestOfferWindowAfterRejection(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(1))
	o := onlyOffer(t, p.Step(time.Second, []Event{submit("t", 0, 2*time.Second)}))
	e := AttemptEnded{Task: "t", Machine: o.Machine, Outcome: Rejected, Final: true, Reason: InsufficientCores}
	p.Step(time.Second+millisecond, []Event{e})
	m := p.machinesByID[0]
	full := func() bool {
		reviewAll(p)
		return p.withoutCapacity(&task{Task: submit("x", 0, 0).Task}, allMachines(p)).Test(uint(m.number))
	}
	if p.now = 4 * time.Second; full() {
		t.Fatal("still barred after its time")
	}
	m.pendingOffers = 1
	if !full() {
		t.Error("a second offer at once")
	}
	m.offerWindow++ // as after an acceptance
	if full() {
		t.Error("no second offer after an acceptance")
	}
}

// Bad evidence never stops placing: with every machine failing, offers go on.
func TestAllMachinesFailingStillPlaces(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(4))
	for _, m := range p.machinesByID {
		p.recordFailure(&m.health)
		p.recordFailure(m.healthOf(0))
	}
	reviewAll(p)
	onlyOffer(t, p.Step(time.Second+millisecond, []Event{submit("t", 0, 9*time.Second)}))
}

func TestFailingMachineIsAvoided(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(4))
	p.recordFailure(&p.machinesByID[2].health)
	reviewAll(p)
	for i := range 40 {
		as := p.Step(time.Second+millisecond, []Event{submit(fmt.Sprint("t", i), 0, 9*time.Second)})
		if o := onlyOffer(t, as); o.Machine == "m2" {
			t.Fatal("offered to the failing machine")
		}
	}
}

// A report far over its peers' bars a machine while the report is fresh, a small difference does not.
func TestReportedLoadConstraint(t *testing.T) {
	for _, c := range []struct {
		free   float64
		age    time.Duration
		barred bool
	}{{2, 0, true}, {24, 0, false}, {2, time.Minute, false}} {
		p := startPlacer(t, testConfig(), testMachines(4))
		p.now = 2 * time.Minute
		for i, m := range p.machinesByID {
			m.loadReport, m.loadReportedAt = LoadReport{Present: true, HasCores: true, FreeCores: 28}, p.now
			if i == 0 {
				m.loadReport.FreeCores, m.loadReportedAt = c.free, p.now-c.age
			}
			p.addResidency("s", m)
		}
		reviewAll(p)
		left := p.applySoftConstraints(&task{Task: submit("t", 0, time.Hour).Task, class: &p.cfg.Classes[0]}, allMachines(p))
		if barred := !slices.ContainsFunc(left, func(c candidate) bool { return c.machine == 0 }); barred != c.barred {
			t.Errorf("free %v, age %v: barred %v", c.free, c.age, barred)
		}
	}
}

// Where machines in use are priced, placing keeps to as many as the fleet's asks need.
func TestConsolidation(t *testing.T) {
	c := testConfig()
	c.ListsFreeCapacity, c.Prices.Fleet = true, 0.25
	ms := testMachines(6)
	for i := range ms {
		ms[i].FreeCores, ms[i].FreeMemory = 16, 50 // half of what each has is asked for
	}
	p := startPlacer(t, c, ms)
	if used := p.consolidationSet(allMachines(p)).Count(); used < 3 || used > 4 {
		t.Errorf("%d of 6 half-full machines in use", used)
	}
	for i := range ms {
		ms[i].FreeMemory = 50 - float64(i%2)
	}
	p.Step(2*time.Second, []Event{MachinesUpdated{Machines: ms}})
	for _, id := range []string{"m1", "m3", "m5"} {
		if !p.consolidationSet(allMachines(p)).Test(uint(p.machines[id].number)) {
			t.Errorf("%s, one of the fullest, is not kept in use", id)
		}
	}
}

// All schedulers name the same first home, and the vote keeps more than one machine.
func TestPreferredMachines(t *testing.T) {
	task := &task{Task: submit("t", 0, 0).Task}
	a, b := startPlacer(t, testConfig(), testMachines(6)), startPlacer(t, testConfig(), testMachines(6))
	for _, service := range []string{"s", "u", "v"} {
		task.Service = service
		ha, hb := a.preferredMachines(task, allMachines(a)), b.preferredMachines(task, allMachines(b))
		if len(ha) != minCandidates {
			t.Fatalf("%d homes", len(ha))
		}
		for _, c := range ha {
			if !slices.Contains(hb, c) {
				t.Errorf("service %s: the other scheduler does not name %s", service, a.machinesByID[c.machine].ID)
			}
		}
	}
	for _, m := range a.machinesByID[:4] {
		a.addResidency("s", m)
	}
	task.Service = "s"
	if h := a.preferredMachines(task, allMachines(a)); len(h) < 4 || len(h) > 5 {
		t.Errorf("with tasks on four machines: %d homes", len(h))
	}
}

// Both homes of a service serve badly: its large tasks may go to the two next that don't, small ones stay.
func TestLargeTasksAvoidOverloadedPreferredMachines(t *testing.T) {
	for _, cores := range []float64{1, 16} {
		p := startPlacer(t, testConfig(), testMachines(6))
		task := p.addTask(Task{ID: "t", Service: "s", Cores: cores, Memory: 1})
		names := func() (all []string) {
			for _, c := range p.preferredMachines(task, allMachines(p)) {
				all = append(all, p.machinesByID[c.machine].ID)
			}
			return all
		}
		homes := names()
		if len(homes) != minCandidates {
			t.Fatalf("%v cores: homes %v", cores, homes)
		}
		for _, name := range homes {
			p.markOverloaded(p.findOrAddMachine(name), overloadDuration, 1)
		}
		now, more := names(), 0
		for _, name := range now {
			if p.findOrAddMachine(name).overloadedUntil == 0 {
				more++
			}
		}
		if want := map[float64]int{1: 0, 16: minCandidates}[cores]; more != want || !slices.Equal(now[:minCandidates], homes) {
			t.Errorf("%v cores: %v where %v serve badly, want %d more", cores, now, homes, want)
		}
	}
}
