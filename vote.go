package flaxshelf

import (
	"cmp"
	"math"
	"slices"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// The replay vote, see docs/design.md.

// replayedPlacement is a placement of the history in the vote in progress.
type replayedPlacement struct {
	candidate int32 // its index
	cores     float64
	memory    float64
	survival  uint64 // probability that it still runs, in units of 1/survivalScale
}

// survivalScale is the survival of a placement that certainly still runs. Draws have as many bits.
const survivalScale = 1 << 53

// voteBuffers is memory that votes use again.
type voteBuffers struct {
	candidates []machineindex.Candidate
	contenders []machineindex.Candidate
	replayed   []replayedPlacement
	hasHistory []bool
	votes      []float64
}

// vote replays the history replayRuns times, beginning with the external load. Each run votes for the candidate that is
// least loaded at its end; the one with the most votes wins. It returns nil without candidates.
func (p *Placer) vote(candidates []machineindex.Candidate) *machine {
	switch len(candidates) {
	case 0:
		return nil
	case 1:
		return p.sortedMachines[candidates[0].Machine]
	}
	replayed, hasHistory := p.collectReplayedPlacements(candidates)
	contenders := p.selectContenders(candidates, hasHistory, replayed)
	p.observer.beforeReplay(contenders, replayed)
	votes := p.replay(contenders, replayed)
	return p.sortedMachines[contenders[p.indexOfLowest(contenders, votes)].Machine]
}

// collectReplayedPlacements returns the placements of the history on the candidates, and for each candidate whether it has
// any. Both results are valid until the next call.
func (p *Placer) collectReplayedPlacements(
	candidates []machineindex.Candidate,
) (replayed []replayedPlacement, hasHistory []bool) {
	buffers := &p.voteBuffers
	buffers.hasHistory = zeroed(buffers.hasHistory, len(candidates))
	hasHistory, replayed = buffers.hasHistory, buffers.replayed[:0]
	p.index.ForEachPlacement(candidates, func(candidate int, placed *machineindex.Placement) {
		hasHistory[candidate] = true
		replayed = append(replayed, p.newReplayedPlacement(placed, int32(candidate)))
	})
	buffers.replayed = replayed
	return replayed, hasHistory
}

// selectContenders returns the candidates that can win: of those without history, only the least loaded. It renumbers the
// candidates of the replayed placements accordingly.
func (p *Placer) selectContenders(
	candidates []machineindex.Candidate, hasHistory []bool, replayed []replayedPlacement,
) []machineindex.Candidate {
	load := p.conditions.externalLoad
	bestWithoutHistory := -1
	compareToBest := func(c machineindex.Candidate) int {
		best := candidates[bestWithoutHistory]
		return compareCandidates(c, best, load.At(int(c.Machine)), load.At(int(best.Machine)))
	}
	for i, c := range candidates {
		if !hasHistory[i] && (bestWithoutHistory < 0 || compareToBest(c) < 0) {
			bestWithoutHistory = i
		}
	}
	contenders, contenderIndex := p.voteBuffers.contenders[:0], make([]int32, len(candidates))
	for i, c := range candidates {
		if hasHistory[i] || compareToBest(c) == 0 {
			contenderIndex[i] = int32(len(contenders))
			contenders = append(contenders, c)
		}
	}
	p.voteBuffers.contenders = contenders
	for i := range replayed {
		replayed[i].candidate = contenderIndex[replayed[i].candidate]
	}
	return contenders
}

// replay makes the runs of a vote and returns the votes of the contenders, as negative counts.
func (p *Placer) replay(contenders []machineindex.Candidate, replayed []replayedPlacement) (votes []float64) {
	p.voteBuffers.votes = zeroed(p.voteBuffers.votes, len(contenders))
	votes, loads := p.voteBuffers.votes, make([]float64, len(contenders))
	cores, memory := make([]float64, len(contenders)), make([]float64, len(contenders))
	external := make([]float64, len(contenders))
	for i, c := range contenders {
		external[i] = p.conditions.externalLoad.At(int(c.Machine))
	}
	for range replayRuns {
		clear(cores)
		clear(memory)
		for i := range replayed {
			r := &replayed[i]
			if r.survival >= survivalScale || p.randomSource.Uint64()%survivalScale < r.survival {
				cores[r.candidate] += r.cores
				memory[r.candidate] += r.memory
			}
		}
		for i := range loads {
			loads[i] = external[i] + max(cores[i], memory[i])
		}
		votes[p.indexOfLowest(contenders, loads)]--
	}
	return votes
}

// newReplayedPlacement returns what a placement counts in the vote: fractions of its machine's kind, and its survival.
func (p *Placer) newReplayedPlacement(placed *machineindex.Placement, candidate int32) replayedPlacement {
	kind := p.cfg.Kinds[p.index.Kind(placed.Machine.Number())]
	return replayedPlacement{
		candidate: candidate,
		cores:     placed.Cores / kind.Cores,
		memory:    placed.Memory / kind.Memory,
		survival:  uint64(math.Ceil(p.survivalProbability(placed) * survivalScale)),
	}
}

// indexOfLowest returns the index of the least value. A tie goes to the higher affinity, and a tie in that too is broken by
// a random draw. With few placements most machines tie at 0, and a draw alone would start every service on each of its
// preferred machines.
func (p *Placer) indexOfLowest(candidates []machineindex.Candidate, costs []float64) int {
	best, ties := 0, 1
	for i := 1; i < len(candidates); i++ {
		order := compareCandidates(candidates[i], candidates[best], costs[i], costs[best])
		switch {
		case order < 0:
			best, ties = i, 1
		case order == 0:
			if ties++; p.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// compareCandidates returns a value below 0 where candidate a with its value comes before b.
func compareCandidates(a, b machineindex.Candidate, valueA, valueB float64) int {
	if valueA != valueB {
		return cmp.Compare(valueA, valueB)
	}
	return compareAffinity(b.Affinity, a.Affinity)
}

// zeroed returns a slice of the given number of zero values, in the memory of buffer where that suffices.
func zeroed[T any](buffer []T, length int) []T {
	buffer = slices.Grow(buffer[:0], length)[:length]
	clear(buffer)
	return buffer
}
