package flaxshelf

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// Regression test for incident i4c1909: while no listed machine has free capacity, a task is queued rather than offered and
// rejected. It is still offered once near its deadline, or when capacity becomes free.
func TestTaskQueuedWithoutListedCapacity(t *testing.T) {
	cfg := testConfig()
	cfg.ListsFreeCapacity = true
	full := []Machine{{ID: "m0", Zone: "a", FreeCores: -32, FreeMemory: -50}}
	p := startPlacer(t, cfg, full)
	if actions := p.Step(time.Second, []Event{newSubmission("t", 0, 5*time.Second)}); len(offersOf(actions)) != 0 {
		t.Fatalf("got actions %+v, want no offer to the full machine", actions)
	}
	onlyOffer(t, p.Step(4100*millisecond, []Event{TimerFired{}}))
	p = startPlacer(t, cfg, full)
	p.Step(time.Second, []Event{newSubmission("t", 0, 5*time.Second)})
	full[0].FreeCores, full[0].FreeMemory = 10, 10
	onlyOffer(t, p.Step(2*time.Second, []Event{MachinesUpdated{Machines: full}}))
}

// Regression test for incident i959772, and for a crash found with it: a task is queued while all machines are expected to
// reject it.
func TestTaskQueuedWhenAllMachinesReject(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(2))
	for _, m := range p.sortedMachines {
		m.rejectsUntil = time.Hour
	}
	invalidateAll(p)
	actions := p.Step(time.Second+millisecond, []Event{newSubmission("t", 0, 9*time.Second)})
	if len(offersOf(actions)) != 0 || hasAction(actions, Reject{"t"}) {
		t.Errorf("got actions %+v, want the task queued: neither an offer nor Reject", actions)
	}
}

// After a rejection a machine may have one pending offer, and one more for each acceptance.
func TestRejectionLimitsPendingOffers(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(1))
	offer := onlyOffer(t, p.Step(time.Second, []Event{newSubmission("t", 0, 2*time.Second)}))
	ended := firstAttemptEnded(offer, Rejected)
	ended.Final, ended.Reason = true, InsufficientCores
	p.Step(time.Second+millisecond, []Event{ended})
	m := p.sortedMachines[0]
	lacksCapacity := func() bool {
		invalidateAll(p)
		return p.machinesWithoutCapacity(&task{Task: newSubmission("x", 0, 0).Task}, allMachines(p)).Test(uint(m.entry.Number()))
	}
	if p.now = 4 * time.Second; lacksCapacity() {
		t.Fatal("m0 gets no offer after the backoff with 0 of 1 offers pending, want one allowed")
	}
	m.pendingOffers = 1
	if !lacksCapacity() {
		t.Error("m0 may get a second pending offer after the rejection, want at most 1")
	}
	m.offerLimit++ // as recordAcceptance does
	if lacksCapacity() {
		t.Error("m0 gets no second pending offer after an acceptance, want at most 2 allowed")
	}
}

func TestTaskIsPlacedWhenAllMachinesFail(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(4))
	for _, m := range p.sortedMachines {
		p.recordFailure(&m.health)
		p.recordFailure(m.healthOf(0))
	}
	invalidateAll(p)
	onlyOffer(t, p.Step(time.Second+millisecond, []Event{newSubmission("t", 0, 9*time.Second)}))
}

func TestFailingMachineIsAvoided(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(4))
	p.recordFailure(&p.sortedMachines[2].health)
	invalidateAll(p)
	for i := range 40 {
		actions := p.Step(time.Second+millisecond, []Event{newSubmission(fmt.Sprint("t", i), 0, 9*time.Second)})
		if offer := onlyOffer(t, actions); offer.Machine == "m2" {
			t.Fatalf("got offer %d to m2, which is ejected; want another machine", i)
		}
	}
}

func TestHighReportedLoadExcludesMachine(t *testing.T) {
	for _, c := range []struct {
		name         string
		freeCores    float64
		age          time.Duration
		wantExcluded bool
	}{
		{"fresh report, load far above the mean", 2, 0, true},
		{"fresh report, load little above the mean", 24, 0, false},
		{"expired report, load far above the mean", 2, time.Minute, false},
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
			task := &task{Task: newSubmission("t", 0, time.Hour).Task, class: &p.cfg.Classes[0]}
			candidates := p.applySoftConstraints(task, allMachines(p))
			excluded := !slices.ContainsFunc(candidates, func(c machineindex.Candidate) bool { return c.Machine == 0 })
			if excluded != c.wantExcluded {
				t.Errorf("m0 excluded: got %v, want %v", excluded, c.wantExcluded)
			}
		})
	}
}

// Where machines in use are priced, offers go to the fullest machines, and only to as many as are needed for all that is
// requested of the fleet.
func TestConsolidationUsesFullestMachines(t *testing.T) {
	cfg := testConfig()
	cfg.ListsFreeCapacity, cfg.Prices.MachinesInUse = true, 0.25
	machines := testMachines(6)
	for i := range machines {
		machines[i].FreeCores, machines[i].FreeMemory = 16, 50 // half of each is requested
	}
	p := startPlacer(t, cfg, machines)
	if used := p.consolidationSet(allMachines(p)).Count(); used < 3 || used > 4 {
		t.Errorf("got a consolidation set of %d of 6 half-full machines, want 3 or 4", used)
	}
	for i := range machines {
		machines[i].FreeMemory = 50 - float64(i%2)
	}
	p.Step(2*time.Second, []Event{MachinesUpdated{Machines: machines}})
	for _, id := range []string{"m1", "m3", "m5"} {
		if !p.consolidationSet(allMachines(p)).Test(uint(p.machines[id].entry.Number())) {
			t.Errorf("consolidation set lacks %s, want the three fullest machines m1, m3 and m5", id)
		}
	}
}

func TestSchedulersPreferSameMachines(t *testing.T) {
	task := &task{Task: newSubmission("t", 0, 0).Task}
	a, b := startPlacer(t, testConfig(), testMachines(6)), startPlacer(t, testConfig(), testMachines(6))
	for _, service := range []string{"s", "u", "v"} {
		task.Service = service
		preferredA, preferredB := a.preferredMachines(task, allMachines(a)), b.preferredMachines(task, allMachines(b))
		if len(preferredA) != minCandidates {
			t.Fatalf("got %d preferred machines, want %d", len(preferredA), minCandidates)
		}
		for _, c := range preferredA {
			if !slices.Contains(preferredB, c) {
				t.Errorf("service %s: the first scheduler prefers %s, the second does not; want the same machines",
					service, a.sortedMachines[c.Machine].ID)
			}
		}
	}
}

func TestMachinesWithTasksOfServiceArePreferred(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(6))
	for _, m := range p.sortedMachines[:4] {
		p.index.AddAttempt("s", m.entry)
	}
	task := &task{Task: newSubmission("t", 0, 0).Task}
	if preferred := p.preferredMachines(task, allMachines(p)); len(preferred) < 4 || len(preferred) > 5 {
		t.Errorf("got %d preferred machines with attempts of the service on 4, want 4 or 5", len(preferred))
	}
}

// While both preferred machines of a service are overloaded, its large tasks get further candidates and its small tasks don't.
func TestLargeTasksMayAvoidOverloadedPreferredMachines(t *testing.T) {
	for _, c := range []struct {
		name      string
		cores     float64
		wantAdded int // number of candidates that are not overloaded
	}{
		{"small task", 1, 0},
		{"large task", 16, minCandidates},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startPlacer(t, testConfig(), testMachines(6))
			task := p.addTask(Task{ID: "t", Service: "s", Cores: c.cores, Memory: 1})
			preferredIDs := func() (ids []string) {
				for _, c := range p.preferredMachines(task, allMachines(p)) {
					ids = append(ids, p.sortedMachines[c.Machine].ID)
				}
				return ids
			}
			preferred := preferredIDs()
			if len(preferred) != minCandidates {
				t.Fatalf("got preferred machines %v, want %d", preferred, minCandidates)
			}
			for _, id := range preferred {
				p.markOverloaded(p.findOrAddMachine(id), overloadDuration, 1)
			}
			withOverload, added := preferredIDs(), 0
			for _, id := range withOverload {
				if p.findOrAddMachine(id).overloadedUntil == 0 {
					added++
				}
			}
			if added != c.wantAdded || !slices.Equal(withOverload[:minCandidates], preferred) {
				t.Errorf("got preferred machines %v, want the overloaded %v first and %d more",
					withOverload, preferred, c.wantAdded)
			}
		})
	}
}
