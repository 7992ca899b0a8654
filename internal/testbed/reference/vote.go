package reference

import (
	"cmp"
	"math"
	"time"

	"flaxshelf.example/flaxshelf"
)

// replayedPlacement is a placement of the history in the vote in progress.
type replayedPlacement struct {
	candidate int // its index
	cores     float64
	memory    float64
	survival  float64 // probability that it still runs
}

// vote replays the history replayRuns times, beginning with the external load. Each run votes for the candidate that is
// least loaded at its end; the one with the most votes wins.
func (p *Placer) vote(candidates []*machine) *machine {
	switch len(candidates) {
	case 0:
		return nil
	case 1:
		return candidates[0]
	}
	external := make([]float64, len(candidates))
	for i, m := range candidates {
		external[i] = p.externalLoad(m)
	}
	replayed := p.replayedOn(candidates)
	votes := make([]int, len(candidates))
	cores, memory := make([]float64, len(candidates)), make([]float64, len(candidates))
	for range replayRuns {
		clear(cores)
		clear(memory)
		for _, r := range replayed {
			if r.survival >= 1 || p.random.Float64() < r.survival {
				cores[r.candidate] += r.cores
				memory[r.candidate] += r.memory
			}
		}
		load := func(i int) float64 { return external[i] + max(cores[i], memory[i]) }
		votes[p.leastLoaded(candidates, load)]++
	}
	return candidates[p.leastLoaded(candidates, func(i int) float64 { return -float64(votes[i]) })]
}

// replayedOn is the history on the candidates.
func (p *Placer) replayedOn(candidates []*machine) (replayed []replayedPlacement) {
	indexOf := make(map[*machine]int, len(candidates))
	for i, m := range candidates {
		indexOf[m] = i
	}
	for _, b := range p.recentHistory() {
		i, ok := indexOf[b.machine]
		if !ok || b.forgotten || b.machine.Kind < 0 {
			continue
		}
		kind := p.cfg.Kinds[b.machine.Kind]
		replayed = append(replayed, replayedPlacement{i, b.cores / kind.Cores, b.memory / kind.Memory, p.survival(b)})
	}
	return replayed
}

// externalLoad is the load of m without this scheduler's placements, as a fraction of its kind: what others requested by
// the list, and the service shortfall of this scheduler's tasks there.
func (p *Placer) externalLoad(m *machine) float64 {
	overload := 0.0
	if p.now < m.overloadedUntil {
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

// requestedFraction is the fraction of m that all schedulers together have requested, by the machine list.
func (p *Placer) requestedFraction(m *machine) float64 {
	kind := p.cfg.Kinds[m.Kind]
	return max((kind.Cores-m.FreeCores)/kind.Cores, (kind.Memory-m.FreeMemory)/kind.Memory)
}

// recentHistory is the part of the history that counts: at most maxHistory placements.
func (p *Placer) recentHistory() []*placement { return p.history[max(0, len(p.history)-maxHistory):] }

// survival is the probability that a placement still runs: by its expected runtime where known, else by an exponential law
// with its class's mean lifetime.
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

// leastLoaded returns the index of the least value. A tie goes to the higher affinity, and a tie in that too is drawn.
func (p *Placer) leastLoaded(candidates []*machine, value func(int) float64) int {
	best, ties := 0, 1
	for i := 1; i < len(candidates); i++ {
		order := cmp.Or(
			cmp.Compare(value(i), value(best)),
			cmp.Compare(candidates[best].affinity, candidates[i].affinity))
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

// recordLifetime adds the lifetime of an attempt that ended. One that was cut short is time observed without an end.
func (p *Placer) recordLifetime(t *task, a *attempt, outcome flaxshelf.Outcome) {
	stats := p.lifetimesOf(t.Class)
	if !a.placed || stats == nil {
		return
	}
	stats.observed += p.now - a.sentAt
	stats.running--
	stats.startSum -= a.sentAt
	if outcome == flaxshelf.Completed || outcome == flaxshelf.Canceled {
		stats.ended++
	}
}

// meanLifetime estimates a class's mean of exponential lifetimes: time observed over ends, where those that still run are
// censored.
func (p *Placer) meanLifetime(class int) time.Duration {
	stats := p.lifetimesOf(class)
	if stats == nil {
		return initialLifetime
	}
	running := time.Duration(stats.running)*p.now - stats.startSum
	return (stats.observed + running + initialLifetime) / time.Duration(stats.ended+1)
}

func (p *Placer) longestMeanLifetime() time.Duration {
	longest := time.Second
	for class := range p.lifetimes {
		longest = max(longest, p.meanLifetime(class))
	}
	return min(longest, 5*time.Minute)
}
