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

// testConfig returns valid settings, which tests modify.
func testConfig() Config {
	return Config{
		Schedulers: 1, Zone: "a", Kinds: []MachineKind{{"k", 32, 100}}, CoreOvercommit: 2, MemoryOvercommit: 1.5,
		Classes:     []TaskClass{{Name: "c", Idempotency: Idempotent, LatencyObjective: time.Second, Kind: -1}},
		MaxAttempts: 3, CanCancel: true, Tick: 2 * millisecond, OverloadWindow: time.Second, SlowStartDuration: 10 * time.Second,
		SlowStartBudget: 12, DiscoveryPollDeadline: 10 * time.Second,
	}
}

// testMachines returns the machines m0, m1 and so on in one zone, two to a cell.
func testMachines(count int) []Machine {
	var machines []Machine
	for i := range count {
		machines = append(machines, Machine{ID: fmt.Sprintf("m%d", i), Zone: "a", Cell: i / 2})
	}
	return machines
}

// testSeed is the seed for tests that hold for any seed.
const testSeed = 7

// newPlacer returns a Placer before its first step.
func newPlacer(t *testing.T, cfg Config, seed uint64) *Placer {
	t.Helper()
	p, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// startPlacer returns a Placer after its first step, at 1 s, which got a complete list of the given machines.
func startPlacer(t *testing.T, cfg Config, machines []Machine) *Placer {
	t.Helper()
	p := newPlacer(t, cfg, testSeed)
	p.Step(time.Second, []Event{MachinesUpdated{Complete: true, Machines: machines}})
	return p
}

// newSubmission returns the event that submits a task of service s with one core and one unit of memory.
func newSubmission(id string, class int, deadline Time) TaskSubmitted {
	return TaskSubmitted{Task{ID: id, Service: "s", Class: class, Cores: 1, Memory: 1, Deadline: deadline, Tenant: -1}}
}

// firstAttemptEnded returns the event that the first attempt of the offered task ended with the given outcome.
func firstAttemptEnded(offer Offer, outcome Outcome) AttemptEnded {
	return AttemptEnded{Task: offer.Task, Machine: offer.Machine, Outcome: outcome}
}

// addPlacement adds a placement to the history. The number is the machine's position in sortedMachines.
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

// onlyOffer returns the only offer among actions and fails the test if there is not exactly one.
func onlyOffer(t *testing.T, actions []Action) Offer {
	t.Helper()
	offers := offersOf(actions)
	if len(offers) != 1 {
		t.Fatalf("got actions %+v with %d offers, want 1 offer", actions, len(offers))
	}
	return offers[0]
}

// allMachines updates the index and returns the set of all machine numbers.
func allMachines(p *Placer) *bitset.BitSet {
	p.refreshIndex()
	set := bitset.MustNew(uint(len(p.sortedMachines)))
	return set.FlipRange(0, uint(len(p.sortedMachines)))
}

// allCandidates returns all machines as candidates for the vote, with equal affinity.
func allCandidates(p *Placer) (list []machineindex.Candidate) {
	for i := range allMachines(p).EachSet() {
		list = append(list, machineindex.Candidate{Machine: int32(i)})
	}
	return list
}

// invalidateAll marks all machines for an update of the index. Tests call it after they write to machine records directly.
func invalidateAll(p *Placer) {
	for _, m := range p.sortedMachines {
		p.invalidate(m)
	}
}

func hasAction(actions []Action, want Action) bool { return slices.Contains(actions, want) }
