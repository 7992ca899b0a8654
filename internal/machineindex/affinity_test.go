package machineindex

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/bits-and-blooms/bitset"
)

// topTwoByScan returns the expected result of TopTwoByAffinity, from a sort of the whole set.
func topTwoByScan(f *fleet, service *Service, machines *bitset.BitSet) (first, second int32) {
	ranked := []Candidate{}
	for _, number := range members(machines) {
		ranked = append(ranked, f.index.Candidate(service, int32(number)))
	}
	slices.SortFunc(ranked, func(a, b Candidate) int {
		return f.index.affinity.policy.Compare(b.Affinity, a.Affinity)
	})
	ranked = append(ranked, Candidate{Machine: -1}, Candidate{Machine: -1})
	return ranked[0].Machine, ranked[1].Machine
}

func TestTopTwoAgreesWithFullScan(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	f := newFleet(t, 150)
	for round := range 300 {
		switch round {
		case 100:
			f.remove(17)
			f.insert("new")
			f.refresh()
			for number := range f.entries {
				f.index.SetKind(number, (number+1)%2)
			}
		case 200:
			f.index.SetKind(40, -1) // a machine without a kind has weight 1 if it is in the set
		}
		service := f.index.FindOrAddService(fmt.Sprint("s", random.IntN(40)))
		machines := f.randomSubset(random, []float64{0, 0.01, 0.1, 1}[round%4])
		if round >= 200 {
			machines.Clear(40)
		}
		first, second := f.index.TopTwoByAffinity(service, machines)
		wantFirst, wantSecond := topTwoByScan(f, service, machines)
		if first != wantFirst || second != wantSecond {
			t.Fatalf("round %d: got %d and %d, want %d and %d", round, first, second, wantFirst, wantSecond)
		}
	}
}

func TestAffinityDependsOnMachineServiceAndKind(t *testing.T) {
	f, g := newFleet(t, 6), newFleet(t, 6)
	f.insert("a") // shifts the numbers
	f.refresh()
	for number := range f.entries {
		f.index.SetKind(number, number%2)
	}
	s, u := f.index.FindOrAddService("s"), f.index.FindOrAddService("u")
	if a, b := f.index.Affinity(s, 2), f.index.Affinity(u, 2); a.HashValue == b.HashValue {
		t.Errorf("two services have the same hash value %v, want different ones", a.HashValue)
	}
	a, b := f.index.Affinity(s, 2), g.index.Affinity(g.index.FindOrAddService("s"), 1)
	if a.HashValue != b.HashValue {
		t.Errorf("got hash values %v and %v in two indexes, want equal ones", a.HashValue, b.HashValue)
	}
	if a.Weight != 1 || b.Weight != 0.25 {
		t.Errorf("got weights %v and %v, want 1 and 0.25", a.Weight, b.Weight)
	}
}
