package machineindex

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
)

func TestRankingAgreesWithPlainSort(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for _, c := range []struct {
		name    string
		changes int // number of changes before each ranking
	}{
		{"few changes", 3},
		{"most machines change", 150},
		{"no changes", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 100)
			fractions := make([]float64, 100)
			for range 50 {
				for range c.changes {
					number := random.IntN(100)
					fractions[number] = float64(random.IntN(10)) / 10 // with ties
					f.index.SetCapacity(number, Capacity{RequestedFraction: fractions[number]})
				}
				want := make([]int32, 100)
				for number := range want {
					want[number] = int32(number)
				}
				slices.SortStableFunc(want, func(a, b int32) int { return cmp.Compare(fractions[b], fractions[a]) })
				if got := f.index.RankedByRequestedFraction(); !slices.Equal(got, want) {
					t.Fatalf("got %v, want %v", got, want)
				}
			}
		})
	}
}

func TestLackingCapacityNeedsBothResources(t *testing.T) {
	f := newFleet(t, 4)
	for number, free := range [][2]float64{{4, 4}, {3, 8}, {8, 3}, {9, 9}} {
		f.index.SetCapacity(number, Capacity{FreeCores: free[0], FreeMemory: free[1]})
	}
	lacking := f.setOf(3)
	f.index.AddMachinesLackingCapacity(f.setOf(0, 1, 3), lacking, 4, 4)
	if got, want := members(lacking), []int{1, 3}; !slices.Equal(got, want) {
		t.Errorf("got machines %v, want %v: machine 2 is not in the given set, and 3 was in lacking before", got, want)
	}
}

func TestTotalRequestedFollowsCapacity(t *testing.T) {
	f := newFleet(t, 3)
	for number := range 3 {
		f.index.SetCapacity(number, Capacity{RequestedCores: float64(number + 1), RequestedMemory: 10})
	}
	check := func(wantCores, wantMemory float64) {
		t.Helper()
		if cores, memory := f.index.TotalRequested(); cores != wantCores || memory != wantMemory {
			t.Errorf("got %v cores and %v memory, want %v and %v", cores, memory, wantCores, wantMemory)
		}
	}
	check(6, 30)
	f.index.Invalidate(f.entries[2])
	f.index.Refresh(f.index.ClearRequested)
	check(3, 20)
}
