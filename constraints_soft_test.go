package flaxshelf

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// Incident i4c1909: while no listed machine has free capacity, tasks are queued, and offered once near their deadline.
func TestTaskQueuedWithoutListedCapacity(t *testing.T) {
	cfg := testConfig()
	cfg.ListsFreeCapacity = true
	full := []Machine{{ID: "m0", Zone: "a", FreeCores: -32, FreeMemory: -50}}
	p := startPlacer(t, cfg, full)
	if actions := p.Step(time.Second, []Event{submit("t", 0, 5*time.Second)}); len(offersOf(actions)) != 0 {
		t.Fatalf("got %v, want no offer to a full machine", actions)
	}
	onlyOffer(t, p.Step(4100*millisecond, []Event{TimerFired{}}))
	p = startPlacer(t, cfg, full)
	p.Step(time.Second, []Event{submit("t", 0, 5*time.Second)})
	full[0].FreeCores, full[0].FreeMemory = 10, 10
	onlyOffer(t, p.Step(2*time.Second, []Event{MachinesUpdated{Machines: full}}))
}

// Incident i959772 and a crash found with it: all machines are expected to reject.
func TestTaskQueuedWhenAllMachinesReject(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(2))
	for _, m := range p.sortedMachines {
		m.rejectsUntil = time.Hour
	}
	invalidateAll(p)
	actions := p.Step(time.Second+millisecond, []Event{submit("t", 0, 9*time.Second)})
	if len(offersOf(actions)) != 0 || hasAction(actions, Reject{"t"}) {
		t.Errorf("got %v, want the task queued", actions)
	}
}

// After a rejection one offer may be pending, and one more after each acceptance.
func TestRejectionLimitsPendingOffers(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(1))
	offer := onlyOffer(t, p.Step(time.Second, []Event{submit("t", 0, 2*time.Second)}))
	ended := endOf(offer, Rejected)
	ended.Final, ended.Reason = true, InsufficientCores
	p.Step(time.Second+millisecond, []Event{ended})
	m := p.sortedMachines[0]
	full := func() bool {
		invalidateAll(p)
		return p.machinesWithoutCapacity(&task{Task: submit("x", 0, 0).Task}, allMachines(p)).Test(uint(m.entry.Number()))
	}
	if p.now = 4 * time.Second; full() {
		t.Fatal("got no capacity after the backoff, want an offer allowed")
	}
	m.pendingOffers = 1
	if !full() {
		t.Error("got a second offer allowed after the rejection, want one")
	}
	m.offerLimit++ // as after an acceptance
	if full() {
		t.Error("got one offer allowed after an acceptance, want two")
	}
}

func TestTaskIsPlacedWhenAllMachinesFail(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(4))
	for _, m := range p.sortedMachines {
		p.recordFailure(&m.health)
		p.recordFailure(m.healthOf(0))
	}
	invalidateAll(p)
	onlyOffer(t, p.Step(time.Second+millisecond, []Event{submit("t", 0, 9*time.Second)}))
}

func TestFailingMachineIsAvoided(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(4))
	p.recordFailure(&p.sortedMachines[2].health)
	invalidateAll(p)
	for i := range 40 {
		actions := p.Step(time.Second+millisecond, []Event{submit(fmt.Sprint("t", i), 0, 9*time.Second)})
		if offer := onlyOffer(t, actions); offer.Machine == "m2" {
			t.Fatal("offered to m2, which fails; want another machine")
		}
	}
}

func TestHighReportedLoadExcludesMachine(t *testing.T) {
	for _, c := range []struct {
		name      string
		freeCores float64
		age       time.Duration
		excluded  bool
	}{
		{"fresh, far above the others", 2, 0, true},
		{"fresh, little above the others", 24, 0, false},
		{"old, far above the others", 2, time.Minute, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startPlacer(t, testConfig(), testMachines(4))
			p.now = 2 * time.Minute
			for i, m := range p.sortedMachines {
				m.loadReport, m.loadReportedAt = LoadReport{Present: true, HasCores: true, FreeCores: 28}, p.now
				if i == 0 {
					m.loadReport.FreeCores, m.loadReportedAt = c.freeCores, p.now-c.age
				}
				p.index.AddAttempt("s", m.entry)
			}
			invalidateAll(p)
			task := &task{Task: submit("t", 0, time.Hour).Task, class: &p.cfg.Classes[0]}
			candidates := p.applySoftConstraints(task, allMachines(p))
			excluded := !slices.ContainsFunc(candidates, func(c machineindex.Candidate) bool { return c.Machine == 0 })
			if excluded != c.excluded {
				t.Errorf("got excluded %v, want %v", excluded, c.excluded)
			}
		})
	}
}

// Where machines in use are priced, only as many are used as the requests of the fleet need.
func TestConsolidationUsesFullestMachines(t *testing.T) {
	cfg := testConfig()
	cfg.ListsFreeCapacity, cfg.Prices.MachinesInUse = true, 0.25
	machines := testMachines(6)
	for i := range machines {
		machines[i].FreeCores, machines[i].FreeMemory = 16, 50 // half of each is requested
	}
	p := startPlacer(t, cfg, machines)
	if used := p.consolidationSet(allMachines(p)).Count(); used < 3 || used > 4 {
		t.Errorf("got %d of 6 half-full machines in use, want 3 or 4", used)
	}
	for i := range machines {
		machines[i].FreeMemory = 50 - float64(i%2)
	}
	p.Step(2*time.Second, []Event{MachinesUpdated{Machines: machines}})
	for _, id := range []string{"m1", "m3", "m5"} {
		if !p.consolidationSet(allMachines(p)).Test(uint(p.machines[id].entry.Number())) {
			t.Errorf("%s, one of the fullest, is not in use", id)
		}
	}
}

func TestSchedulersPreferSameMachines(t *testing.T) {
	task := &task{Task: submit("t", 0, 0).Task}
	a, b := startPlacer(t, testConfig(), testMachines(6)), startPlacer(t, testConfig(), testMachines(6))
	for _, service := range []string{"s", "u", "v"} {
		task.Service = service
		preferredA, preferredB := a.preferredMachines(task, allMachines(a)), b.preferredMachines(task, allMachines(b))
		if len(preferredA) != minCandidates {
			t.Fatalf("got %d preferred machines, want %d", len(preferredA), minCandidates)
		}
		for _, c := range preferredA {
			if !slices.Contains(preferredB, c) {
				t.Errorf("service %s: the other scheduler does not prefer %s", service, a.sortedMachines[c.Machine].ID)
			}
		}
	}
}

func TestMachinesWithTasksOfServiceArePreferred(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(6))
	for _, m := range p.sortedMachines[:4] {
		p.index.AddAttempt("s", m.entry)
	}
	task := &task{Task: submit("t", 0, 0).Task}
	if preferred := p.preferredMachines(task, allMachines(p)); len(preferred) < 4 || len(preferred) > 5 {
		t.Errorf("with tasks on four machines got %d preferred machines, want 4 or 5", len(preferred))
	}
}

// Both preferred machines of a service are overloaded.
func TestLargeTasksMayAvoidOverloadedPreferredMachines(t *testing.T) {
	for _, c := range []struct {
		name  string
		cores float64
		added int // machines that are not overloaded
	}{
		{"small task", 1, 0},
		{"large task", 16, minCandidates},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startPlacer(t, testConfig(), testMachines(6))
			task := p.addTask(Task{ID: "t", Service: "s", Cores: c.cores, Memory: 1})
			names := func() (all []string) {
				for _, c := range p.preferredMachines(task, allMachines(p)) {
					all = append(all, p.sortedMachines[c.Machine].ID)
				}
				return all
			}
			preferred := names()
			if len(preferred) != minCandidates {
				t.Fatalf("got preferred machines %v, want %d", preferred, minCandidates)
			}
			for _, name := range preferred {
				p.markOverloaded(p.findOrAddMachine(name), overloadDuration, 1)
			}
			withOverload, added := names(), 0
			for _, name := range withOverload {
				if p.findOrAddMachine(name).overloadedUntil == 0 {
					added++
				}
			}
			if added != c.added || !slices.Equal(withOverload[:minCandidates], preferred) {
				t.Errorf("got %v where %v are overloaded, want %d more", withOverload, preferred, c.added)
			}
		})
	}
}
