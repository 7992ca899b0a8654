package machineindex

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// placementsByScan returns the placements that ForEachPlacement must visit, from a scan of the history.
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
				t.Fatalf("got a placement on machine %d for candidate %d of another machine", p.Machine.Number(), candidate)
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
		{"found in the machine's list", 30},
		{"found in the history", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 2)
			f.place(f.entries[1], time.Second, 1)
			for range c.others {
				f.place(f.entries[0], time.Second, 1)
			}
			f.index.SetKind(1, -1)
			f.index.ForEachPlacement([]Candidate{{Machine: 1}}, func(int, *Placement) {
				t.Error("got a placement on a machine without a kind, want none")
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
		t.Errorf("got %d recent placements, want %d", got, want)
	}
	h.Prune(0)
	if got, want := h.Len(), testHistoryLimit; got != want {
		t.Errorf("got %d placements after pruning by number, want %d", got, want)
	}
	h.Prune(20 * time.Second)
	if got, want := h.OldestOfferedAt(), 20*time.Second; got != want {
		t.Errorf("got the oldest placement of %v after pruning by time, want one of %v", got, want)
	}
	h.ForgetMachine(f.entries[0], 40*time.Second)
	h.Prune(0)
	for _, p := range h.Recent() {
		if p.Machine == f.entries[0] && p.OfferedAt < 40*time.Second {
			t.Errorf("got the forgotten placement of %v after pruning, want it removed", p.OfferedAt)
		}
	}
	if got, want := h.Len(), 20; got != want { // 30 since 20 s, of which 10 are forgotten
		t.Errorf("got %d placements after forgetting, want %d", got, want)
	}
}

// assumedByScan returns the assumed capacity of a machine, from a scan of the history that starts with the newest placement.
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
				if gotCores != cores || gotMemory != memory { // sums of small integers are exact
					t.Fatalf("step %d, machine %d: got %v cores and %v memory assumed, want %v and %v",
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
		// The history stays below testHistoryLimit, beyond which the sums of a step may include placements no longer recent.
		f.index.History().Prune(now - 5*time.Second)
	}
}

func TestAssumedCapacityOfRemovedMachineIsIgnored(t *testing.T) {
	f := newFleet(t, 2)
	f.place(f.entries[0], time.Second, 4)
	f.remove(0)
	f.refresh()
	f.index.UpdateAssumed(f.all())
	if got := f.index.capacity.freeCores[0]; got != 0 {
		t.Errorf("got %v free cores on the other machine, want 0: it has no placements", got)
	}
}
