package flaxshelf

import (
	"fmt"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// With expected runtimes the survival of each placement is 1 or 0, so every replay votes for the machine whose task has ended.
func TestVoteChoosesMachineWithoutRunningTask(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(3))
	p.now = 10 * time.Second
	for i, runtime := range []time.Duration{20 * time.Second, time.Second, 20 * time.Second} {
		addPlacement(p, i, machineindex.Placement{OfferedAt: 5 * time.Second, Cores: 4, Memory: 1, ExpectedRuntime: runtime})
	}
	for range 50 {
		if m := p.vote(allCandidates(p)); m.ID != "m1" {
			t.Fatalf("vote chose %s, want m1, the only one whose task has ended", m.ID)
		}
	}
}

func TestVoteUsesLargerOfCoresAndMemory(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(2))
	p.now = 10 * time.Second
	addPlacement(p, 0, machineindex.Placement{OfferedAt: p.now, Cores: 1, Memory: 50, ExpectedRuntime: time.Hour})
	addPlacement(p, 1, machineindex.Placement{OfferedAt: p.now, Cores: 8, Memory: 1, ExpectedRuntime: time.Hour})
	if m := p.vote(allCandidates(p)); m.ID != "m1" {
		t.Errorf("vote chose %s, want m1: 8 of 32 cores are less than 50 of 100 units of memory", m.ID)
	}
}

// What other schedulers requested according to the machine list counts as load in each replay. What this scheduler requested
// counts as its own placements alone, also where the list shows it.
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
		actions := p.Step(time.Second, []Event{newSubmission(fmt.Sprint("t", i), 0, time.Minute)})
		if offer := onlyOffer(t, actions); offer.Machine != "m1" {
			t.Errorf("got offer %d to %s, want m1, where other schedulers request nothing", i, offer.Machine)
		}
	}
	machines[0].FreeCores, machines[1].FreeCores = 32, 24 // m1 runs this scheduler's 8 tasks, those of others have ended
	p.Step(4*time.Second, []Event{MachinesUpdated{Machines: machines}})
	for _, m := range p.sortedMachines {
		if load := p.externalLoad(m); load != 0 {
			t.Errorf("%s: got external load %v, want 0", m.ID, load)
		}
	}
}

// A reported service shortfall counts as load of the machine for a while: a machine without a shortfall wins the vote although
// it is fuller, and of two machines with a shortfall the one with the smaller one wins. Memory pressure counts as a shortfall.
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
		t.Errorf("vote chose %s, want m2, the only one with full service", m.ID)
	}
	if m := p.vote(allCandidates(p)[:2]); m.ID != "m1" {
		t.Errorf("vote chose %s, want m1, the one with the smaller shortfall", m.ID)
	}
	p.now += 2 * overloadDuration
	invalidateAll(p)
	p.refreshIndex()
	if m := p.vote(allCandidates(p)); m.ID == "m2" {
		t.Errorf("vote chose %s, the fullest, after the reports expired; want m0 or m1", m.ID)
	}
	p.Step(p.now, []Event{UsageReport{Task: "a", Machine: "m0", Kind: MemoryPressure, Amount: 0.99}})
	if p.refreshIndex(); p.vote(allCandidates(p)[:2]).ID != "m1" {
		t.Error("vote chose m0, want m1: m0 has memory pressure")
	}
}

// With an empty history all machines tie. A tie goes to the machine of higher affinity, so that all schedulers choose the same
// machine and a service does not start on all of its preferred machines. Larger machines have the highest affinity for more
// services, so that small machines do not fill first.
func TestTiesGoToHigherAffinity(t *testing.T) {
	cfg := testConfig()
	cfg.Kinds = append(cfg.Kinds, MachineKind{"big", 96, 300})
	machines := testMachines(8)
	for i := range 4 {
		machines[i].Kind = 1
	}
	p, otherPlacer := startPlacer(t, cfg, machines), startPlacer(t, cfg, machines)
	onBigMachines := 0
	for i := range 1000 {
		task := &task{Task: Task{Service: fmt.Sprint("s", i), Cores: 1}, class: &cfg.Classes[0]}
		m := p.chooseMachine(task)
		if other := otherPlacer.chooseMachine(task); other.ID != m.ID {
			t.Fatalf("service s%d: two schedulers chose %s and %s, want the same machine", i, m.ID, other.ID)
		}
		if m.Kind == 1 {
			onBigMachines++
		}
	}
	if onBigMachines < 700 || onBigMachines > 800 {
		t.Errorf("got %d of 1000 services on machines of three times the size, want 700 to 800", onBigMachines)
	}
}

// With an empty history, candidates of equal affinity win equally often.
func TestVoteTiesAreRandom(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(4))
	wins := map[string]int{}
	for range 4000 {
		wins[p.vote(allCandidates(p)).ID]++
	}
	for id, n := range wins {
		if n < 850 || n > 1150 {
			t.Errorf("%s won %d of 4000 votes, want 850 to 1150", id, n)
		}
	}
}
