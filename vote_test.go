package flaxshelf

import (
	"fmt"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// With expected runtimes each survival is 1 or 0, so every run votes for the machine whose task has ended.
func TestVoteChoosesMachineWithoutRunningTask(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(3))
	p.now = 10 * time.Second
	for i, runtime := range []time.Duration{20 * time.Second, time.Second, 20 * time.Second} {
		addPlacement(p, i, machineindex.Placement{OfferedAt: 5 * time.Second, Cores: 4, Memory: 1, ExpectedRuntime: runtime})
	}
	for range 50 {
		if m := p.vote(allCandidates(p)); m.ID != "m1" {
			t.Fatalf("chose %s, want m1, whose task alone has ended", m.ID)
		}
	}
}

func TestVoteUsesLargerOfCoresAndMemory(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(2))
	p.now = 10 * time.Second
	addPlacement(p, 0, machineindex.Placement{OfferedAt: p.now, Cores: 1, Memory: 50, ExpectedRuntime: time.Hour})
	addPlacement(p, 1, machineindex.Placement{OfferedAt: p.now, Cores: 8, Memory: 1, ExpectedRuntime: time.Hour})
	if m := p.vote(allCandidates(p)); m.ID != "m1" {
		t.Errorf("chose %s, want m1", m.ID)
	}
}

// What other schedulers requested by the list counts in each run; this scheduler's own part of it counts once.
func TestVoteCountsExternalLoad(t *testing.T) {
	cfg := testConfig()
	cfg.ListsFreeCapacity = true
	machines := testMachines(2)
	for i := range machines {
		machines[i].FreeCores, machines[i].FreeMemory = 32, 100
	}
	machines[0].FreeCores = 12
	p := startPlacer(t, cfg, machines)
	for i := range 8 {
		actions := p.Step(time.Second, []Event{submit(fmt.Sprint("t", i), 0, time.Minute)})
		if offer := onlyOffer(t, actions); offer.Machine != "m1" {
			t.Errorf("offer %d to %s, want m1, which others do not use", i, offer.Machine)
		}
	}
	machines[0].FreeCores, machines[1].FreeCores = 32, 24 // m1 has the eight of this scheduler, the others' have ended
	p.Step(4*time.Second, []Event{MachinesUpdated{Machines: machines}})
	for _, m := range p.sortedMachines {
		if load := p.externalLoad(m); load != 0 {
			t.Errorf("%s: external load %v, want 0", m.ID, load)
		}
	}
}

// The service shortfall of tasks counts as load in the vote for a while; a machine with a larger shortfall loses to one
// with a smaller, and a fuller one with full service wins over both.
func TestServiceShortfallCountsAsLoad(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(3))
	p.Step(time.Second, []Event{
		TaskAdopted{Task: Task{ID: "a", Service: "x", Cores: 1, Memory: 1, Tenant: -1}, Machine: "m0"},
		TaskAdopted{Task: Task{ID: "b", Service: "y", Cores: 1, Memory: 1, Tenant: -1}, Machine: "m1"},
		TaskAdopted{Task: Task{ID: "c", Service: "z", Cores: 8, Memory: 1, Tenant: -1}, Machine: "m2"}})
	p.Step(time.Second+millisecond, []Event{UsageReport{Task: "a", Machine: "m0", Kind: ServiceLevel, Amount: 0.4},
		UsageReport{Task: "b", Machine: "m1", Kind: ServiceLevel, Amount: 0.8}})
	p.refreshIndex()
	if m := p.vote(allCandidates(p)); m.ID != "m2" {
		t.Errorf("chose %s, want m2, the one with full service", m.ID)
	}
	if m := p.vote(allCandidates(p)[:2]); m.ID != "m1" {
		t.Errorf("chose %s, want m1, the one with better service", m.ID)
	}
	p.now += 2 * overloadDuration
	invalidateAll(p)
	p.refreshIndex()
	if m := p.vote(allCandidates(p)); m.ID == "m2" {
		t.Errorf("chose %s, so old reports still count", m.ID)
	}
	p.Step(p.now, []Event{UsageReport{Task: "a", Machine: "m0", Kind: MemoryPressure, Amount: 0.99}})
	if p.refreshIndex(); p.vote(allCandidates(p)[:2]).ID != "m1" {
		t.Error("chose m0, want m1: memory pressure counts")
	}
}

// Ties go to the machine of higher affinity, and large machines have it for more services: with an empty history neither
// may every service start on all of its preferred machines, nor the small machines fill first.
func TestTiesGoToHigherAffinity(t *testing.T) {
	cfg := testConfig()
	cfg.Kinds = append(cfg.Kinds, MachineKind{"big", 96, 300})
	machines := testMachines(8)
	for i := range 4 {
		machines[i].Kind = 1
	}
	p, q := startPlacer(t, cfg, machines), startPlacer(t, cfg, machines)
	big := 0
	for i := range 1000 {
		task := &task{Task: Task{Service: fmt.Sprint("s", i), Cores: 1}, class: &cfg.Classes[0]}
		m := p.chooseMachine(task)
		if other := q.chooseMachine(task); other.ID != m.ID {
			t.Fatalf("two schedulers chose %s and %s, want the same", m.ID, other.ID)
		}
		if m.Kind == 1 {
			big++
		}
	}
	if big < 700 || big > 800 {
		t.Errorf("machines of three times the size got %d of 1000 services, want 700 to 800", big)
	}
}

// Candidates of equal affinity tie where the history is empty.
func TestVoteTiesAreRandom(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(4))
	count := map[string]int{}
	for range 4000 {
		count[p.vote(allCandidates(p)).ID]++
	}
	for id, n := range count {
		if n < 850 || n > 1150 {
			t.Errorf("%s chosen %d times of 4000, want 850 to 1150", id, n)
		}
	}
}
