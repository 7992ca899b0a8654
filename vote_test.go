package flaxshelf

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// By hand: each machine's survival chance is 1 or 0, so every run names the one without a living task.
func TestVotePicksMachineWithoutLivingTask(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(3))
	p.now = 10 * time.Second
	for i, hint := range []time.Duration{20 * time.Second, time.Second, 20 * time.Second} {
		b := &placement{machine: p.machinesByID[i], placedAt: 5 * time.Second, cores: 4, memory: 1, expectedRuntime: hint}
		p.history = append(p.history, b)
		p.indexPlacement(b)
	}
	for range 50 {
		if m := p.vote(allCandidates(p)); m.ID != "m1" {
			t.Fatalf("named %s, though only m1's task has ended", m.ID)
		}
	}
}

// The larger of the cores and memory shares is the load.
func TestVoteUsesLargerOfCoresAndMemory(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(2))
	p.now = 10 * time.Second
	p.history = []*placement{
		{machine: p.machinesByID[0], placedAt: p.now, cores: 1, memory: 50, expectedRuntime: time.Hour},
		{machine: p.machinesByID[1], placedAt: p.now, cores: 8, memory: 1, expectedRuntime: time.Hour},
	}
	for _, b := range p.history {
		p.indexPlacement(b)
	}
	if m := p.vote(allCandidates(p)); m.ID != "m1" {
		t.Errorf("named %s", m.ID)
	}
}

// What others asked by the list's word counts in each run; our own part of that word counts once.
func TestVoteCountsExternalLoad(t *testing.T) {
	c := testConfig()
	c.ListsFreeCapacity = true
	machines := testMachines(2)
	for i := range machines {
		machines[i].FreeCores, machines[i].FreeMemory = 32, 100
	}
	machines[0].FreeCores = 12
	p := startPlacer(t, c, machines)
	for i := range 8 {
		as := p.Step(time.Second, []Event{submit(fmt.Sprint("t", i), 0, time.Minute)})
		if o := onlyOffer(t, as); o.Machine != "m1" {
			t.Errorf("offer %d went to the machine that others fill", i)
		}
	}
	machines[0].FreeCores, machines[1].FreeCores = 32, 24 // the word now: m1 holds our eight, others have left
	p.Step(4*time.Second, []Event{MachinesUpdated{Machines: machines}})
	for _, m := range p.machinesByID {
		if o := p.externalLoad(m); o != 0 {
			t.Errorf("%s: others hold %v of it, want nothing", m.ID, o)
		}
	}
}

// What our tasks lack of full service counts as load in the vote for a while; a machine that serves worse loses to one
// that serves better, also when both serve badly, and a fuller one that serves in full wins over both.
func TestServiceShortfallCountsAsLoad(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(3))
	p.Step(time.Second, []Event{
		TaskAdopted{Task: Task{ID: "a", Service: "x", Cores: 1, Memory: 1, Tenant: -1}, Machine: "m0"},
		TaskAdopted{Task: Task{ID: "b", Service: "y", Cores: 1, Memory: 1, Tenant: -1}, Machine: "m1"},
		TaskAdopted{Task: Task{ID: "c", Service: "z", Cores: 8, Memory: 1, Tenant: -1}, Machine: "m2"}})
	p.Step(time.Second+millisecond, []Event{UsageReport{Task: "a", Machine: "m0", Kind: ServiceLevel, Amount: 0.4},
		UsageReport{Task: "b", Machine: "m1", Kind: ServiceLevel, Amount: 0.8}})
	p.refresh()
	if m := p.vote(allCandidates(p)); m.ID != "m2" {
		t.Errorf("%s wins over the one that serves in full", m.ID)
	}
	if m := p.vote(allCandidates(p)[:2]); m.ID != "m1" {
		t.Errorf("%s wins over the one that serves better", m.ID)
	}
	p.now += 2 * overloadDuration
	reviewAll(p)
	p.refresh()
	if m := p.vote(allCandidates(p)); m.ID == "m2" {
		t.Error("old notes count still")
	}
	p.Step(p.now, []Event{UsageReport{Task: "a", Machine: "m0", Kind: MemoryPressure, Amount: 0.99}})
	if p.refresh(); p.vote(allCandidates(p)[:2]).ID != "m1" {
		t.Error("short memory does not count")
	}
}

// Ties go to the better home, and large machines are home to more services: with an empty history neither may
// every service start anew on all of its homes, nor the small machines fill first.
func TestTiesGoToHigherAffinity(t *testing.T) {
	c := testConfig()
	c.Kinds = append(c.Kinds, Kind{"big", 96, 300})
	machines := testMachines(8)
	for i := range 4 {
		machines[i].Kind = 1
	}
	p, q := startPlacer(t, c, machines), startPlacer(t, c, machines)
	big := 0
	for i := range 1000 {
		one := &task{Task: Task{Service: fmt.Sprint("s", i), Cores: 1}, class: &c.Classes[0]}
		m := p.chooseMachine(one)
		if other := q.chooseMachine(one); other.ID != m.ID {
			t.Fatalf("two schedulers chose %s and %s", m.ID, other.ID)
		}
		if m.Kind == 1 {
			big++
		}
	}
	if big < 700 || big > 800 {
		t.Errorf("machines of three times the size got %d of 1000", big)
	}
}

// Ties go at random: an empty history spreads evenly.
func TestVoteTiesAreRandom(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(4))
	count := map[string]int{}
	for range 4000 {
		count[p.vote(allCandidates(p)).ID]++
	}
	for id, n := range count {
		if n < 850 || n > 1150 {
			t.Errorf("%s named %d times of 4000", id, n)
		}
	}
}

// Exponential lives: a bind of age a is alive in a share exp(-a/mean) of the runs.
func TestSurvivalAndMeanLifetime(t *testing.T) {
	p := startPlacer(t, testConfig(), testMachines(2))
	p.now = 70 * time.Second
	b := &placement{machine: p.machinesByID[0], placedAt: 10 * time.Second}
	if got := p.survival(b); math.Abs(got-math.Exp(-1)) > 1e-9 {
		t.Errorf("alive %v after one first mean life", got)
	}
	p.lifetimes[0] = lifetimeStats{observed: 180 * time.Second, ended: 3}
	if m := p.meanLifetime(0); m != 60*time.Second {
		t.Errorf("mean life %v, want (180+60)/4", m)
	}
	// Two that still run, seen for 40 s and 60 s, count as time without an ending.
	p.lifetimes[0].running, p.lifetimes[0].startSum = 2, 30*time.Second+10*time.Second
	if m := p.meanLifetime(0); m != 85*time.Second {
		t.Errorf("mean life %v, want (180+40+60+60)/4", m)
	}
}
