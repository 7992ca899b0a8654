package machineindex

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// placementsByScan returns the recent placements on the candidates by a scan of the history.
func placementsByScan(f *fleet, candidates []Candidate) (found []*Placement) {
	for _, p := range f.index.History().Recent() {
		onCandidate := func(c Candidate) bool { return f.entries[c.Machine] == p.Machine }
		if !p.forgotten && slices.ContainsFunc(candidates, onCandidate) {
			found = append(found, p)
		}
	}
	return found
}

func TestPlacementsOfCandidatesAgreeWithScan(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	f := newFleet(t, 12)
	now := time.Second
	for range 1000 {
		now += time.Duration(random.IntN(3)) * time.Second
		placed := f.place(f.entries[random.IntN(12)], now, 1)
		if random.IntN(5) == 0 {
			f.index.History().Forget(placed)
		}
		if random.IntN(10) == 0 {
			f.index.History().Prune(now - 30*time.Second)
		}
		var candidates []Candidate
		for _, number := range members(f.randomSubset(random, []float64{0.1, 0.5, 1}[random.IntN(3)])) {
			candidates = append(candidates, Candidate{Machine: int32(number)})
		}
		var got []*Placement
		f.index.ForEachPlacement(candidates, func(candidate int, p *Placement) {
			if f.entries[candidates[candidate].Machine] != p.Machine {
				t.Fatalf("placement on machine %d is visited as candidate %d", p.Machine.Number(), candidate)
			}
			got = append(got, p)
		})
		if want := placementsByScan(f, candidates); !slices.Equal(got, want) {
			t.Fatalf("%d candidates: got %d placements, want %d", len(candidates), len(got), len(want))
		}
	}
}

func TestPlacementsOnMachineWithoutKindAreLeftOut(t *testing.T) {
	for _, c := range []struct {
		name   string
		others int // placements on another machine
	}{
		{"read from the machine's list", 30},
		{"read from the history", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 2)
			f.place(f.entries[1], time.Second, 1)
			for range c.others {
				f.place(f.entries[0], time.Second, 1)
			}
			f.index.SetKind(1, -1)
			f.index.ForEachPlacement([]Candidate{{Machine: 1}}, func(int, *Placement) {
				t.Error("a placement on a machine without a kind was visited")
			})
		})
	}
}

func TestPruneKeepsRecentPlacements(t *testing.T) {
	f := newFleet(t, 2)
	h := f.index.History()
	for i := range testHistoryLimit + 10 {
		f.place(f.entries[i%2], time.Duration(i)*time.Second, 1)
	}
	if got, want := len(h.Recent()), testHistoryLimit; got != want {
		t.Errorf("%d recent placements, want %d", got, want)
	}
	h.Prune(0)
	if got, want := h.Len(), testHistoryLimit; got != want {
		t.Errorf("%d placements after pruning by number, want %d", got, want)
	}
	h.Prune(20 * time.Second)
	if got, want := h.OldestOfferedAt(), 20*time.Second; got != want {
		t.Errorf("the oldest placement is of %v after pruning by time, want %v", got, want)
	}
	h.ForgetMachine(f.entries[0], 40*time.Second)
	h.Prune(0)
	for _, p := range h.Recent() {
		if p.Machine == f.entries[0] && p.OfferedAt < 40*time.Second {
			t.Errorf("the placement of %v was forgotten, but is still there", p.OfferedAt)
		}
	}
	if got, want := h.Len(), 20; got != want { // from 20 s on 30, of which 10 are forgotten
		t.Errorf("%d placements after forgetting, want %d", got, want)
	}
}

// assumedByScan returns what is assumed on a machine, newest placements first.
func assumedByScan(f *fleet, e *Entry) (cores, memory float64) {
	for _, p := range slices.Backward(f.index.History().Recent()) {
		if p.Machine == e && !p.forgotten && p.OfferedAt >= e.assumed.since {
			cores += p.Cores
			memory += p.Memory
		}
	}
	return cores, memory
}

func TestAssumedCapacityAgreesWithScan(t *testing.T) {
	random := rand.New(rand.NewPCG(9, 10))
	f := newFleet(t, 8)
	for number := range f.entries {
		f.index.SetCapacity(number, Capacity{FreeCores: 100, FreeMemory: 200})
	}
	now := time.Second
	for step := range 200 {
		now += time.Second
		f.index.InvalidateAssumed()
		listed := random.IntN(8)
		f.index.SetAssumedSince(f.entries[listed], now-3*time.Second)
		for range 5 {
			machines := f.randomSubset(random, 0.5)
			f.index.UpdateAssumed(machines)
			for _, number := range members(machines) {
				cores, memory := assumedByScan(f, f.entries[number])
				gotCores, gotMemory := 100-f.index.capacity.freeCores[number], 200-f.index.capacity.freeMemory[number]
				if gotCores != cores || gotMemory != memory { // the figures are small integers: sums are exact
					t.Fatalf("step %d, machine %d: assumed %v and %v, want %v and %v",
						step, number, gotCores, gotMemory, cores, memory)
				}
			}
			f.place(f.entries[random.IntN(8)], now, float64(1+random.IntN(3)))
		}
		if step == 100 {
			f.insert("x") // renumbers
			f.refresh()
			for number := range f.entries {
				f.index.SetCapacity(number, Capacity{FreeCores: 100, FreeMemory: 200})
			}
		}
		f.index.History().Prune(now - 5*time.Second) // before testHistoryLimit is reached, sums within a step are exact
	}
}

func TestAssumedCapacityOfRemovedMachineIsIgnored(t *testing.T) {
	f := newFleet(t, 2)
	f.place(f.entries[0], time.Second, 4)
	f.remove(0)
	f.refresh()
	f.index.UpdateAssumed(f.all())
	if got := f.index.capacity.freeCores[0]; got != 0 {
		t.Errorf("%v cores free on the other machine, want 0: nothing is assumed on it", got)
	}
}
