package flaxshelf

import (
	"math"
	"time"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// Lifetimes: how long tasks run. The replay vote derives from them the probability that a placement still runs.

// lifetimeStats holds sums over the placed attempts of one class, from which meanLifetime estimates the mean lifetime.
type lifetimeStats struct {
	pastRuntime   time.Duration // total run time of attempts that ended, also of those cut short
	fullLifetimes int           // number of attempts that completed or were canceled
	running       int
	offerTimeSum  Time // sum of the offer times of the running attempts
}

// lifetimesOf returns the statistics of a class, or nil for a class that is not in the settings.
func (p *Placer) lifetimesOf(class int) *lifetimeStats {
	if class < 0 || class >= len(p.lifetimes) {
		return nil
	}
	return &p.lifetimes[class]
}

// recordStart counts an attempt that was placed. Its lifetime counts from its offer.
func (p *Placer) recordStart(t *task, a *attempt) {
	if stats := p.lifetimesOf(t.Class); stats != nil {
		stats.running++
		stats.offerTimeSum += a.offeredAt
	}
}

// recordLifetime adds the lifetime of an attempt that has ended, unless it was never placed.
func (p *Placer) recordLifetime(t *task, a *attempt, outcome Outcome) {
	stats := p.lifetimesOf(t.Class)
	if !a.placed || stats == nil {
		return
	}
	stats.pastRuntime += p.now - a.offeredAt
	stats.running--
	stats.offerTimeSum -= a.offeredAt
	if ranFullLifetime(outcome) {
		stats.fullLifetimes++
	}
}

// ranFullLifetime reports whether an attempt with this outcome ran its full lifetime; others were cut short.
func ranFullLifetime(o Outcome) bool { return o == Completed || o == Canceled }

// survivalProbability returns the probability that a placement still runs. It is 1 or 0 if the expected runtime is known.
// Otherwise lifetimes are taken to be exponentially distributed, with the mean of the class. A random draw against this
// probability is equivalent to drawing the lifetime.
func (p *Placer) survivalProbability(placed *machineindex.Placement) float64 {
	age := p.now - placed.OfferedAt
	if placed.ExpectedRuntime > 0 {
		if age < placed.ExpectedRuntime {
			return 1
		}
		return 0
	}
	return math.Exp(-float64(age) / float64(p.meanLifetime(placed.Class)))
}

// meanLifetime estimates the mean of a class's lifetimes, taken to be exponentially distributed: total run time divided by
// the number of full lifetimes. Attempts that still run or were cut short are censored observations, which only add run
// time. The estimate begins with one lifetime of initialLifetime.
func (p *Placer) meanLifetime(class int) time.Duration {
	stats := p.lifetimesOf(class)
	if stats == nil {
		return initialLifetime
	}
	running := time.Duration(stats.running)*p.now - stats.offerTimeSum
	return (stats.pastRuntime + running + initialLifetime) / time.Duration(stats.fullLifetimes+1)
}

// longestMeanLifetime returns the largest mean lifetime of any class, bounded by minMeanLifetime and maxMeanLifetime.
func (p *Placer) longestMeanLifetime() time.Duration {
	longest := minMeanLifetime
	for class := range p.lifetimes {
		longest = max(longest, p.meanLifetime(class))
	}
	return min(longest, maxMeanLifetime)
}
