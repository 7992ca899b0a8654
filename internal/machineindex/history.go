package machineindex

import (
	"cmp"
	"slices"
	"time"
)

// Placement is an entry of the history: the time of an offer, its machine and the resources that it requests. After
// AddPlacement, the caller must not change it.
type Placement struct {
	Machine         *Entry
	OfferedAt       time.Duration
	Class           int
	Cores           float64
	Memory          float64
	ExpectedRuntime time.Duration // 0 if unknown

	forgotten bool   // ignored by queries, and removed by the next Prune
	sequence  uint64 // increases in the order of AddPlacement
}

// History has the placements that were not pruned, ordered by OfferedAt.
type History struct {
	limit          int
	placements     []*Placement
	forgottenCount int    // forgotten entries of placements
	lastSequence   uint64 // Placement.sequence of the last placement added
}

// History returns the history of the Index. See AddPlacement for adding placements, and ForEachPlacement for finding them by
// machine.
func (idx *Index) History() *History { return &idx.history }

// Len returns the number of placements, including those that were forgotten since the last Prune.
func (h *History) Len() int { return len(h.placements) }

// OldestOfferedAt returns the time at which the oldest placement was offered. The history must not be empty.
func (h *History) OldestOfferedAt() time.Duration { return h.placements[0].OfferedAt }

// Recent returns the last Options.HistoryLimit placements, the only ones that queries consider: a step can add thousands
// before the next Prune. The caller must not change the result, which is valid until the next Prune.
func (h *History) Recent() []*Placement {
	return h.placements[max(0, len(h.placements)-h.limit):]
}

// Forget excludes a placement from queries. The next Prune removes it.
func (h *History) Forget(p *Placement) {
	if !p.forgotten {
		p.forgotten = true
		h.forgottenCount++
	}
}

// ForgetMachine forgets the placements on a machine that were offered before the given time.
func (h *History) ForgetMachine(e *Entry, before time.Duration) {
	for _, p := range h.placements {
		if p.Machine == e && p.OfferedAt < before {
			h.Forget(p)
		}
	}
}

// Prune removes forgotten placements, placements that were offered before oldest, and the oldest ones in excess of
// Options.HistoryLimit.
func (h *History) Prune(oldest time.Duration) {
	first := max(0, len(h.placements)-h.limit)
	for first < len(h.placements) && h.placements[first].OfferedAt < oldest {
		first++
	}
	if first > 0 {
		h.placements = append(h.placements[:0], h.placements[first:]...)
	}
	if h.forgottenCount > 0 {
		h.placements = slices.DeleteFunc(h.placements, func(p *Placement) bool { return p.forgotten })
		h.forgottenCount = 0
	}
}

// AddPlacement adds a placement to the history. p.OfferedAt must not be before that of the last placement added.
func (idx *Index) AddPlacement(p *Placement) {
	h := &idx.history
	h.lastSequence++
	p.sequence = h.lastSequence
	h.placements = append(h.placements, p)
	p.Machine.addPlacement(p, h.Recent()[0].sequence)
	idx.addAssumed(p)
}

// addPlacement adds p to the machine's own list, from which it removes the placements with a sequence below oldestSequence.
func (e *Entry) addPlacement(p *Placement, oldestSequence uint64) {
	first := 0
	for first < len(e.placements) && e.placements[first].sequence < oldestSequence {
		first++
	}
	e.placements = append(append(e.placements[:0], e.placements[first:]...), p)
}

// ForEachPlacement calls visit for each recent placement on one of the candidates, in the order of AddPlacement.
// The first argument of visit is the index of the machine in candidates. Machines without a kind are skipped.
func (idx *Index) ForEachPlacement(candidates []Candidate, visit func(candidate int, p *Placement)) {
	for i, c := range candidates {
		idx.entries[c.Machine].candidatePosition = int32(i) + 1
	}
	for _, p := range idx.placementsOn(candidates) {
		visit(int(p.Machine.candidatePosition)-1, p)
	}
	for _, c := range candidates {
		idx.entries[c.Machine].candidatePosition = 0
	}
}

// placementsOn returns the recent placements on the candidates, whose Entry.candidatePosition must be set. It combines the
// candidates' own lists if these are short compared to the history, and scans the whole history if they are not. The result
// is valid until the next call.
func (idx *Index) placementsOn(candidates []Candidate) []*Placement {
	recent := idx.history.Recent()
	if len(recent) == 0 {
		return nil
	}
	limit, count := len(recent)/4, 0
	for _, c := range candidates {
		if count += len(idx.entries[c.Machine].placements); count > limit {
			break
		}
	}
	found := idx.placementBuffer[:0]
	if count > limit {
		found = idx.appendFromHistory(found, recent)
	} else {
		found = idx.appendFromMachines(found, candidates, recent[0].sequence)
	}
	idx.placementBuffer = found
	return found
}

// appendFromHistory appends those of the recent placements that are on candidates with a kind.
func (idx *Index) appendFromHistory(found, recent []*Placement) []*Placement {
	for _, p := range recent {
		if e := p.Machine; !p.forgotten && e.candidatePosition > 0 && idx.kinds[e.number] >= 0 {
			found = append(found, p)
		}
	}
	return found
}

// appendFromMachines appends the placements with a sequence of at least oldestSequence from the candidates' own lists, and
// sorts them by sequence.
func (idx *Index) appendFromMachines(found []*Placement, candidates []Candidate, oldestSequence uint64) []*Placement {
	for _, c := range candidates {
		if idx.kinds[c.Machine] < 0 {
			continue
		}
		for _, p := range idx.entries[c.Machine].placements {
			if !p.forgotten && p.sequence >= oldestSequence {
				found = append(found, p)
			}
		}
	}
	slices.SortFunc(found, func(a, b *Placement) int { return cmp.Compare(a.sequence, b.sequence) })
	return found
}
