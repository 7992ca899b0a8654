package flaxshelf

import "time"

// lifetimeStats adds up the lifetimes of one class's tasks, from which meanLifetime estimates their mean.
type lifetimeStats struct {
	observed time.Duration // total lifetime of those that ended
	ended    int           // those that ended by themselves or were canceled
	running  int
	startSum Time // sum of the start times of those that run
}

// lifetimesOf is the statistics of a class; nil for a class that the settings don't name.
func (p *Placer) lifetimesOf(class int) *lifetimeStats {
	if class < 0 || class >= len(p.lifetimes) {
		return nil
	}
	return &p.lifetimes[class]
}

// recordLifetime adds the lifetime of an attempt that ended, see endsLifetime.
func (p *Placer) recordLifetime(t *task, a *attempt, outcome Outcome) {
	stats := p.lifetimesOf(t.Class)
	if !a.placed || stats == nil {
		return
	}
	stats.observed += p.now - a.sentAt
	stats.running--
	stats.startSum -= a.sentAt
	if endsLifetime(outcome) {
		stats.ended++
	}
}
