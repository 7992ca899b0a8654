package flaxshelf

import (
	"math"
	"time"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// Lifetimes: how long tasks run, from which the vote takes the probability that a placement still runs.

// lifetimeStats adds up the lifetimes of one class's tasks, from which meanLifetime estimates their mean.
type lifetimeStats struct {
	pastRuntime   time.Duration // total lifetime of those that ended
	fullLifetimes int           // those that ended by themselves or were canceled
	running       int
	startTimeSum  Time // sum of the start times of those that run
}

// lifetimesOf returns the statistics of a class; nil for a class that the settings don't name.
func (p *Placer) lifetimesOf(class int) *lifetimeStats {
	if class < 0 || class >= len(p.lifetimes) {
		return nil
	}
	return &p.lifetimes[class]
}

// recordStart counts an attempt that begins to run, as seen from its offer on.
func (p *Placer) recordStart(t *task, a *attempt) {
	if stats := p.lifetimesOf(t.Class); stats != nil {
		stats.running++
		stats.startTimeSum += a.offeredAt
	}
}

// recordLifetime adds the lifetime of an attempt that ended, see ranFullLifetime.
func (p *Placer) recordLifetime(t *task, a *attempt, outcome Outcome) {
	stats := p.lifetimesOf(t.Class)
	if !a.placed || stats == nil {
		return
	}
	stats.pastRuntime += p.now - a.offeredAt
	stats.running--
	stats.startTimeSum -= a.offeredAt
	if ranFullLifetime(outcome) {
		stats.fullLifetimes++
	}
}

// ranFullLifetime reports whether a task ran its whole lifetime, or else was cut short.
func ranFullLifetime(o Outcome) bool { return o == Completed || o == Canceled }

// survivalProbability returns the probability that a placement still runs: by its expected runtime where known, else by an
// exponential distribution with its class's mean lifetime. A draw against it is the same as drawing the lifetime.
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

// meanLifetime estimates a class's mean of exponential lifetimes: time observed over ends, where those that still run are
// censored. It begins with one lifetime of initialLifetime.
func (p *Placer) meanLifetime(class int) time.Duration {
	stats := p.lifetimesOf(class)
	if stats == nil {
		return initialLifetime
	}
	running := time.Duration(stats.running)*p.now - stats.startTimeSum
	return (stats.pastRuntime + running + initialLifetime) / time.Duration(stats.fullLifetimes+1)
}

// longestMeanLifetime returns that of the longest-lived class, within minMeanLifetime and maxMeanLifetime.
func (p *Placer) longestMeanLifetime() time.Duration {
	longest := minMeanLifetime
	for class := range p.lifetimes {
		longest = max(longest, p.meanLifetime(class))
	}
	return min(longest, maxMeanLifetime)
}
