package machineindex

import (
	"cmp"
	"slices"
	"time"
)

// Placement is an entry of the history: what was requested of which machine when. Only the Index may change it once it was
// added.
type Placement struct {
	Machine         *Entry
	OfferedAt       time.Duration
	Class           int
	Cores           float64
	Memory          float64
	ExpectedRuntime time.Duration // 0: unknown

	forgotten bool   // it no longer counts
	serial    uint64 // in order of time
}

// History is the placements that count, in order of time.
type History struct {
	limit      int
	placements []*Placement
	forgotten  int    // placements to be removed by the next Prune
	lastSerial uint64 // of the placements added so far
}

// History returns the history of the Index, for all but adding and finding placements.
func (idx *Index) History() *History { return &idx.history }

// Len returns the number of placements, with those forgotten since the last Prune.
func (h *History) Len() int { return len(h.placements) }

// OldestOfferedAt returns when the first placement was offered. The history must not be empty.
func (h *History) OldestOfferedAt() time.Duration { return h.placements[0].OfferedAt }

// Recent returns the part of the history that counts: at most Options.HistoryLimit placements, also within a step that
// makes thousands. The caller must not change the result, which is valid until the next Prune.
func (h *History) Recent() []*Placement {
	return h.placements[max(0, len(h.placements)-h.limit):]
}

// Forget makes a placement count no longer.
func (h *History) Forget(p *Placement) {
	if !p.forgotten {
		p.forgotten = true
		h.forgotten++
	}
}

// ForgetMachine forgets the placements on a machine that were offered before a time.
func (h *History) ForgetMachine(e *Entry, before time.Duration) {
	for _, p := range h.placements {
		if p.Machine == e && p.OfferedAt < before {
			h.Forget(p)
		}
	}
}

// Prune drops the placements that were offered before oldest, those beyond Options.HistoryLimit and those forgotten.
func (h *History) Prune(oldest time.Duration) {
	first := max(0, len(h.placements)-h.limit)
	for first < len(h.placements) && h.placements[first].OfferedAt < oldest {
		first++
	}
	if first > 0 {
		h.placements = append(h.placements[:0], h.placements[first:]...)
	}
	if h.forgotten > 0 {
		h.placements = slices.DeleteFunc(h.placements, func(p *Placement) bool { return p.forgotten })
		h.forgotten = 0
	}
}

// AddPlacement adds a placement to the history. It must not be older than the one added before.
func (idx *Index) AddPlacement(p *Placement) {
	h := &idx.history
	h.lastSerial++
	p.serial = h.lastSerial
	h.placements = append(h.placements, p)
	p.Machine.addPlacement(p, h.Recent()[0].serial)
	idx.addAssumed(p)
}

// addPlacement adds to the machine's own list and drops from it what is older than the serial oldest.
func (e *Entry) addPlacement(p *Placement, oldest uint64) {
	first := 0
	for first < len(e.placements) && e.placements[first].serial < oldest {
		first++
	}
	e.placements = append(append(e.placements[:0], e.placements[first:]...), p)
}

// ForEachPlacement calls visit for each recent placement on one of the candidates, in order of time, with the position of
// the candidate. Machines without a kind are left out.
func (idx *Index) ForEachPlacement(candidates []Candidate, visit func(candidate int, p *Placement)) {
	for i, c := range candidates {
		idx.entries[c.Machine].candidate = int32(i) + 1
	}
	for _, p := range idx.placementsOn(candidates) {
		visit(int(p.Machine.candidate)-1, p)
	}
	for _, c := range candidates {
		idx.entries[c.Machine].candidate = 0
	}
}

// placementsOn returns the recent placements on the candidates, which Entry.candidate marks. Where they are few the
// machines' own lists are merged, else the whole history is read. The result is valid until the next call.
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
		found = idx.appendFromMachines(found, candidates, recent[0].serial)
	}
	idx.placementBuffer = found
	return found
}

// appendFromHistory appends those of the recent placements that are on marked candidates.
func (idx *Index) appendFromHistory(found, recent []*Placement) []*Placement {
	for _, p := range recent {
		if e := p.Machine; !p.forgotten && e.candidate > 0 && idx.kinds[e.number] >= 0 {
			found = append(found, p)
		}
	}
	return found
}

// appendFromMachines appends the placements of the candidates from the serial oldest on and sorts them by time.
func (idx *Index) appendFromMachines(found []*Placement, candidates []Candidate, oldest uint64) []*Placement {
	for _, c := range candidates {
		if idx.kinds[c.Machine] < 0 {
			continue
		}
		for _, p := range idx.entries[c.Machine].placements {
			if !p.forgotten && p.serial >= oldest {
				found = append(found, p)
			}
		}
	}
	slices.SortFunc(found, func(a, b *Placement) int { return cmp.Compare(a.serial, b.serial) })
	return found
}
