package flaxshelf

import (
	"cmp"
	"math"
	"time"
)

// The replay vote, see docs/design.md.

// vote replays the history replayRuns times, beginning with the external load. Each run votes for the
// candidate that is least loaded at its end; the one with the most votes wins. Nil without candidates.
func (p *Placer) vote(candidates []candidate) *machine {
	switch len(candidates) {
	case 0:
		return nil
	case 1:
		return p.machinesByID[candidates[0].machine]
	}
	replayed, touched := p.collectReplayed(candidates)
	contenders := p.selectContenders(candidates, touched, replayed)
	votes := p.replay(contenders, replayed)
	return p.machinesByID[contenders[p.leastLoaded(contenders, votes)].machine]
}

// selectContenders is the candidates that can win: of those that the history does not touch, only the least
// loaded. It renumbers the candidates of the replayed placements accordingly.
func (p *Placer) selectContenders(
	candidates []candidate, touched []bool, replayed []replayedPlacement,
) []candidate {
	load := p.index.externalLoad
	idle := -1
	compareToIdle := func(c candidate) int {
		best := candidates[idle]
		return compareCandidates(c, best, load[c.machine], load[best.machine])
	}
	for i, c := range candidates {
		if !touched[i] && (idle < 0 || compareToIdle(c) < 0) {
			idle = i
		}
	}
	contenders, position := p.index.contenderBuffer[:0], make([]int32, len(candidates))
	for i, c := range candidates {
		if touched[i] || compareToIdle(c) == 0 {
			position[i] = int32(len(contenders))
			contenders = append(contenders, c)
		}
	}
	p.index.contenderBuffer = contenders
	for i := range replayed {
		replayed[i].candidate = position[replayed[i].candidate]
	}
	return contenders
}

// replay makes the runs of a vote and returns the votes of the contenders, as negative counts.
func (p *Placer) replay(contenders []candidate, replayed []replayedPlacement) (votes []float64) {
	load := p.index.externalLoad
	p.index.voteBuffer = zeroed(p.index.voteBuffer, len(contenders))
	votes, loads := p.index.voteBuffer, make([]float64, len(contenders))
	cores, memory := make([]float64, len(contenders)), make([]float64, len(contenders))
	for range replayRuns {
		clear(cores)
		clear(memory)
		for i := range replayed {
			r := &replayed[i]
			if r.survival >= 1<<53 || p.randomSource.Uint64()<<11>>11 < r.survival {
				cores[r.candidate] += r.cores
				memory[r.candidate] += r.memory
			}
		}
		for i, c := range contenders {
			loads[i] = load[c.machine] + max(cores[i], memory[i])
		}
		votes[p.leastLoaded(contenders, loads)]--
	}
	return votes
}

// externalLoad is the load of m without this scheduler's placements, as a fraction of its kind: what others
// requested by the list, and the service shortfall of this scheduler's tasks there. The plain replay
// begins with an empty fleet; with few placements in the history most machines would tie at none, and a
// constraint on overload gives way when most machines are overloaded. It is wrong where one of the tasks is
// itself at fault.
func (p *Placer) externalLoad(m *machine) float64 {
	overload := 0.0
	if p.now < m.overloadedUntil && !p.disabled[OverloadLoad] {
		overload = shortfallWeight * m.serviceShortfall
	}
	if !p.cfg.ListsFreeCapacity {
		return overload
	}
	kind := p.cfg.Kinds[m.Kind]
	cores := kind.Cores - m.FreeCores - (m.ownCores - m.coresSinceListed)
	memory := kind.Memory - m.FreeMemory - (m.ownMemory - m.memorySinceListed)
	return overload + max(0, cores/kind.Cores, memory/kind.Memory)
}

// replayedOf is what a placement counts in the vote: fractions of its machine's kind, and its survival.
func (p *Placer) replayedOf(b *placement, candidate int32) replayedPlacement {
	kind := p.cfg.Kinds[b.machine.Kind]
	survival := uint64(math.Ceil(p.survival(b) * (1 << 53)))
	return replayedPlacement{candidate, b.cores / kind.Cores, b.memory / kind.Memory, survival}
}

// survival is the probability that a placement still runs: by its expected runtime where known, else by an
// exponential law with its class's mean lifetime. A draw against it is the same as drawing the lifetime.
func (p *Placer) survival(b *placement) float64 {
	age := p.now - b.offeredAt
	if b.expectedRuntime > 0 {
		if age < b.expectedRuntime {
			return 1
		}
		return 0
	}
	return math.Exp(-float64(age) / float64(p.meanLifetime(b.class)))
}

// meanLifetime estimates a class's mean of exponential lifetimes: time observed over ends, where those that
// still run are censored. It begins with one lifetime of initialLifetime.
func (p *Placer) meanLifetime(class int) time.Duration {
	stats := p.lifetimesOf(class)
	if stats == nil {
		return initialLifetime
	}
	running := time.Duration(stats.running)*p.now - stats.startSum
	return (stats.observed + running + initialLifetime) / time.Duration(stats.ended+1)
}

// historyReach is how far back the history goes.
func (p *Placer) historyReach() time.Duration {
	return time.Duration(historyLifetimes * float64(p.longestMeanLifetime()))
}

func (p *Placer) longestMeanLifetime() time.Duration {
	longest := minMeanLifetime
	for class := range p.lifetimes {
		longest = max(longest, p.meanLifetime(class))
	}
	return min(longest, maxMeanLifetime)
}

// leastLoaded returns the index of the least value. A tie goes to the higher affinity, and a tie in that too
// is drawn: with few placements most machines tie at none, and a draw alone would start every service on each
// of its preferred machines.
func (p *Placer) leastLoaded(list []candidate, value []float64) int {
	best, ties := 0, 1
	for i := 1; i < len(list); i++ {
		order := compareCandidates(list[i], list[best], value[i], value[best])
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

// compareCandidates is below 0 where candidate a with its value comes before b.
func compareCandidates(a, b candidate, valueA, valueB float64) int {
	if valueA != valueB {
		return cmp.Compare(valueA, valueB)
	}
	return b.affinity.compare(a.affinity)
}
