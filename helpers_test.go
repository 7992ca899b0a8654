package flaxshelf

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bits-and-blooms/bitset"
)

const millisecond = time.Millisecond

// testConfig is a plain setting that tests change to taste.
func testConfig() Config {
	return Config{
		Schedulers: 1, Zone: "a", Kinds: []Kind{{"k", 32, 100}}, CoreOvercommit: 2, MemoryOvercommit: 1.5,
		Classes:     []Class{{Name: "c", Idempotency: Idempotent, LatencyObjective: time.Second, Kind: -1}},
		MaxAttempts: 3, CanCancel: true, Tick: 2 * millisecond, OverloadWindow: time.Second, SlowStartDuration: 10 * time.Second,
		SlowStartBudget: 12, DiscoveryPollDeadline: 10 * time.Second,
	}
}

func testMachines(n int) []Machine {
	var ms []Machine
	for i := range n {
		ms = append(ms, Machine{ID: fmt.Sprintf("m%d", i), Zone: "a", Cell: i / 2})
	}
	return ms
}

func startPlacer(t *testing.T, c Config, machines []Machine) *Placer {
	t.Helper()
	p, err := New(c, 7)
	if err != nil {
		t.Fatal(err)
	}
	p.Step(time.Second, []Event{MachinesUpdated{Complete: true, Machines: machines}})
	return p
}

func submit(id string, class int, until Time) TaskSubmitted {
	return TaskSubmitted{Task{ID: id, Service: "s", Class: class, Cores: 1, Memory: 1, Deadline: until, Tenant: -1}}
}

// offersOf lists the offers among actions.
func offersOf(as []Action) (out []Offer) {
	for _, a := range as {
		if o, ok := a.(Offer); ok {
			out = append(out, o)
		}
	}
	return out
}

func onlyOffer(t *testing.T, as []Action) Offer {
	t.Helper()
	os := offersOf(as)
	if len(os) != 1 {
		t.Fatalf("want one offer, got %v", as)
	}
	return os[0]
}

// allMachines is the set of all machines; everyone has them all vote, without ranks.
func allMachines(p *Placer) *bitset.BitSet {
	p.refresh()
	s := bitset.MustNew(uint(len(p.machinesByID)))
	return s.FlipRange(0, uint(len(p.machinesByID)))
}

func allCandidates(p *Placer) (list []candidate) {
	for i := range allMachines(p).EachSet() {
		list = append(list, candidate{machine: int32(i)})
	}
	return list
}

// reviewAll has the index see what a test wrote into machines.
func reviewAll(p *Placer) {
	for _, m := range p.machinesByID {
		p.requestReview(m)
	}
}

func hasAction(as []Action, want Action) bool { return slices.Contains(as, want) }
