package flaxshelf

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bits-and-blooms/bitset"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

const millisecond = time.Millisecond

// testConfig is a valid configuration that tests modify.
func testConfig() Config {
	return Config{
		Schedulers: 1, Zone: "a", Kinds: []MachineKind{{"k", 32, 100}}, CoreOvercommit: 2, MemoryOvercommit: 1.5,
		Classes:     []TaskClass{{Name: "c", Idempotency: Idempotent, LatencyObjective: time.Second, Kind: -1}},
		MaxAttempts: 3, CanCancel: true, Tick: 2 * millisecond, OverloadWindow: time.Second, SlowStartDuration: 10 * time.Second,
		SlowStartBudget: 12, DiscoveryPollDeadline: 10 * time.Second,
	}
}

// testMachines returns machines m0, m1 and so on, two in each cell.
func testMachines(count int) []Machine {
	var machines []Machine
	for i := range count {
		machines = append(machines, Machine{ID: fmt.Sprintf("m%d", i), Zone: "a", Cell: i / 2})
	}
	return machines
}

// testSeed is the seed of placers whose seed does not matter.
const testSeed = 7

// newPlacer makes a Placer that has made no step.
func newPlacer(t *testing.T, cfg Config, seed uint64) *Placer {
	t.Helper()
	p, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// startPlacer makes a Placer whose first step, at one second, lists the machines.
func startPlacer(t *testing.T, cfg Config, machines []Machine) *Placer {
	t.Helper()
	p := newPlacer(t, cfg, testSeed)
	p.Step(time.Second, []Event{MachinesUpdated{Complete: true, Machines: machines}})
	return p
}

// submit returns the submission of a small task of service s.
func submit(id string, class int, deadline Time) TaskSubmitted {
	return TaskSubmitted{Task{ID: id, Service: "s", Class: class, Cores: 1, Memory: 1, Deadline: deadline, Tenant: -1}}
}

// endOf returns the event that the first attempt of a task, which was offered, ended.
func endOf(offer Offer, outcome Outcome) AttemptEnded {
	return AttemptEnded{Task: offer.Task, Machine: offer.Machine, Outcome: outcome}
}

// addPlacement adds a placement on the machine of the given number to the history.
func addPlacement(p *Placer, number int, placed machineindex.Placement) *machineindex.Placement {
	placed.Machine = p.sortedMachines[number].entry
	p.index.AddPlacement(&placed)
	return &placed
}

// offersOf returns the offers among actions.
func offersOf(actions []Action) (offers []Offer) {
	for _, action := range actions {
		if offer, ok := action.(Offer); ok {
			offers = append(offers, offer)
		}
	}
	return offers
}

// onlyOffer returns the one offer among actions.
func onlyOffer(t *testing.T, actions []Action) Offer {
	t.Helper()
	offers := offersOf(actions)
	if len(offers) != 1 {
		t.Fatalf("got %v, want one offer", actions)
	}
	return offers[0]
}

// allMachines returns the set of all machines.
func allMachines(p *Placer) *bitset.BitSet {
	p.refreshIndex()
	set := bitset.MustNew(uint(len(p.sortedMachines)))
	return set.FlipRange(0, uint(len(p.sortedMachines)))
}

// allCandidates returns all machines as candidates of equal affinity.
func allCandidates(p *Placer) (list []machineindex.Candidate) {
	for i := range allMachines(p).EachSet() {
		list = append(list, machineindex.Candidate{Machine: int32(i)})
	}
	return list
}

// invalidateAll has the index updated after a test has written into the records of machines.
func invalidateAll(p *Placer) {
	for _, m := range p.sortedMachines {
		p.invalidate(m)
	}
}

// hasAction reports whether an action is among actions.
func hasAction(actions []Action, want Action) bool { return slices.Contains(actions, want) }
