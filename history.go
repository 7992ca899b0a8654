package flaxshelf

import (
	"cmp"
	"slices"
	"time"
)

// placement is an entry of the history that the vote replays: what was requested of which machine when.
type placement struct {
	machine         *machine
	offeredAt       Time
	class           int
	cores           float64
	memory          float64
	expectedRuntime time.Duration // 0: unknown
	forgotten       bool          // it no longer counts
	serial          uint64        // in order of time
}

// replayedPlacement is a placement of the history in the vote in progress.
type replayedPlacement struct {
	candidate int32 // its index
	cores     float64
	memory    float64
	survival  uint64 // probability that it still runs, in units of 1/(1<<53)
}

// recentHistory is the part of the history that counts: at most maxHistory placements, also within a step that makes
// thousands.
func (p *Placer) recentHistory() []*placement {
	return p.history[max(0, len(p.history)-maxHistory):]
}

// forgetPlacement makes a placement leave the history.
func (p *Placer) forgetPlacement(b *placement) {
	if !b.forgotten {
		b.forgotten = true
		p.forgottenPlacements++
	}
}

// pruneHistory drops placements that are too old, too many or forgotten.
func (p *Placer) pruneHistory() {
	oldest := p.now - p.historyReach()
	first := max(0, len(p.history)-maxHistory)
	for first < len(p.history) && p.history[first].offeredAt < oldest {
		first++
	}
	if first > 0 {
		p.history = append(p.history[:0], p.history[first:]...)
	}
	if p.forgottenPlacements > 0 {
		p.history = slices.DeleteFunc(p.history, func(b *placement) bool { return b.forgotten })
		p.forgottenPlacements = 0
	}
}

// indexPlacement adds a placement to its machine's own list and drops from that list what is not recent any more.
func (p *Placer) indexPlacement(b *placement) {
	p.lastSerial++
	b.serial = p.lastSerial
	m, first := b.machine, 0
	if recent := p.recentHistory(); len(recent) > 0 {
		for first < len(m.placements) && m.placements[first].serial < recent[0].serial {
			first++
		}
	}
	m.placements = append(append(m.placements[:0], m.placements[first:]...), b)
}

// placementsOf is the recent history of the candidates that index.candidateOf marks, in order of time. Where it is short
// the machines' own lists are merged, else the whole history is read. The result is valid until the next call.
func (p *Placer) placementsOf(candidates []candidate) []*placement {
	recent := p.recentHistory()
	if len(recent) == 0 {
		return nil
	}
	limit, count := len(recent)/4, 0
	for _, c := range candidates {
		if count += len(p.machinesByID[c.machine].placements); count > limit {
			break
		}
	}
	found := p.index.placementBuffer[:0]
	if count > limit {
		found = p.appendFromHistory(found, recent)
	} else {
		found = p.appendFromMachines(found, candidates, recent[0].serial)
	}
	p.index.placementBuffer = found
	return found
}

// appendFromHistory appends those of the recent placements that are on marked candidates.
func (p *Placer) appendFromHistory(found, recent []*placement) []*placement {
	for _, b := range recent {
		m := b.machine
		if !b.forgotten && m.number >= 0 && p.index.candidateOf[m.number] > 0 && m.Kind >= 0 {
			found = append(found, b)
		}
	}
	return found
}

// appendFromMachines appends the placements of the candidates from the serial first on and sorts them by time.
func (p *Placer) appendFromMachines(found []*placement, candidates []candidate, first uint64) []*placement {
	for _, c := range candidates {
		for _, b := range p.machinesByID[c.machine].placements {
			if !b.forgotten && b.serial >= first && b.machine.Kind >= 0 {
				found = append(found, b)
			}
		}
	}
	slices.SortFunc(found, func(a, b *placement) int { return cmp.Compare(a.serial, b.serial) })
	return found
}

// collectReplayed is the history on the candidates, and which of them it touches. Both are valid until the next call.
func (p *Placer) collectReplayed(candidates []candidate) (replayed []replayedPlacement, touched []bool) {
	x := &p.index
	for i, c := range candidates {
		x.candidateOf[c.machine] = int32(i) + 1
	}
	x.touchedBuffer = zeroed(x.touchedBuffer, len(candidates))
	touched, replayed = x.touchedBuffer, x.replayBuffer[:0]
	for _, b := range p.placementsOf(candidates) {
		i := x.candidateOf[b.machine.number] - 1
		touched[i] = true
		replayed = append(replayed, p.replayedOf(b, i))
	}
	x.replayBuffer = replayed
	for _, c := range candidates {
		x.candidateOf[c.machine] = 0
	}
	return replayed, touched
}
