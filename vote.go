package flaxshelf

import (
	"cmp"
	"math"
	"slices"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// The replay vote chooses among the candidates for a task by this scheduler's recent placements. It replays them several
// times, and each time draws at random which of them still run. See docs/design.md.

// replayedPlacement is a placement of the history as the vote in progress uses it.
type replayedPlacement struct {
	candidate int32 // index of its machine among the candidates; after selectContenders, among the contenders
	cores     float64
	memory    float64
	survival  uint64 // probability that it still runs, in units of 1/survivalScale
}

// survivalScale is the value of replayedPlacement.survival for a probability of 1. Random draws are integers below it.
const survivalScale = 1 << 53

// voteBuffers holds slices that are reused from vote to vote.
type voteBuffers struct {
	candidates []machineindex.Candidate
	contenders []machineindex.Candidate
	replayed   []replayedPlacement
	hasHistory []bool
	votes      []float64
}

// vote replays the history replayRuns times on top of the external load. Each replay votes for the candidate that is
// least loaded at its end. vote returns the machine with the most votes, or nil if there are no candidates.
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

// selectContenders returns the candidates that can win: all that have history, and of the others the least loaded one with
// those that tie with it. It changes the candidate indexes of the replayed placements to indexes of the contenders.
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

// replay makes the replays of a vote. It returns the votes for each contender as negative numbers, so that the lowest wins.
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

// newReplayedPlacement converts a placement for the vote: its cores and memory to fractions of the machine, and its survival
// probability to an integer.
func (p *Placer) newReplayedPlacement(placed *machineindex.Placement, candidate int32) replayedPlacement {
	kind := p.cfg.Kinds[p.index.Kind(placed.Machine.Number())]
	return replayedPlacement{
		candidate: candidate,
		cores:     placed.Cores / kind.Cores,
		memory:    placed.Memory / kind.Memory,
		survival:  uint64(math.Ceil(p.survivalProbability(placed) * survivalScale)),
	}
}

// indexOfLowest returns the index of the candidate with the lowest cost. Among equal costs the higher affinity decides, and
// among equal affinities a random draw. Affinity comes first because with few placements most machines tie at 0: a draw
// alone would start each service on all of its preferred machines.
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

// compareCandidates returns a value below 0 if a comes before b: valueA is below valueB, or the values are equal and a has the
// higher affinity.
func compareCandidates(a, b machineindex.Candidate, valueA, valueB float64) int {
	if valueA != valueB {
		return cmp.Compare(valueA, valueB)
	}
	return compareAffinity(b.Affinity, a.Affinity)
}

// zeroed returns a slice of the given length with zero values. It reuses the memory of buffer if that is large enough.
func zeroed[T any](buffer []T, length int) []T {
	buffer = slices.Grow(buffer[:0], length)[:length]
	clear(buffer)
	return buffer
}
