package flaxshelf

import (
	"time"

	"github.com/bits-and-blooms/bitset"
)

// Migration: running tasks that get poor service are stopped, so that their owners submit them again.

// migrateIfUnderserved emits Migrate for a task that has had poor service for half an overloadDuration, if the migration
// pays and better machines are known. If two reports of poor service are more than an overloadDuration apart, the time
// is counted from the later one.
func (p *Placer) migrateIfUnderserved(t *task, a *attempt, shortfall float64) {
	if shortfall < poorServiceShortfall {
		a.lastPoorServiceAt = 0
		return
	}
	if p.now-a.lastPoorServiceAt > overloadDuration {
		a.poorServiceSince = p.now
	}
	a.lastPoorServiceAt = p.now
	if a.migrationRequested || t.class == &p.unknownClass || p.disabled[TaskMigration] ||
		p.now-a.poorServiceSince < overloadDuration/2 || !p.migrationPays(t, shortfall) {
		return
	}
	a.migrationRequested = p.hasBetterMachines(t)
	p.observer.afterMigrationCheck(t, a.migrationRequested)
	if a.migrationRequested {
		p.emit(Migrate{Task: t.ID})
	}
}

// migrationPays reports whether the service that the task lacks in a mean lifetime is worth more than a migration and two
// starts. The price of a migration is taken as a fraction of the lifetime and of the value of a start, and each start is
// taken to last for the latency objective.
func (p *Placer) migrationPays(t *task, shortfall float64) bool {
	price := p.cfg.Prices.Migration
	gain := time.Duration((shortfall - price) * float64(p.meanLifetime(t.Class)))
	seconds := price * t.class.StartValueSeconds
	cost := 2*t.class.LatencyObjective + time.Duration(seconds*float64(time.Second))
	return gain >= cost
}

// hasBetterMachines reports whether at least half of the machines that could take t serve this scheduler's tasks well.
// Machines without such tasks don't count, since nothing is known of their service. It is false while t's class is ejected
// on any machine or any machine rejects tasks, since t might not be placed again.
func (p *Placer) hasBetterMachines(t *task) bool {
	p.refreshIndex()
	c, good := &p.conditions, p.eligibleByKind(t)
	required := max(minCandidates, good.Count()/2)
	for _, bad := range []*bitset.BitSet{c.overloaded, c.ejected, c.slowStarting} {
		good.InPlaceDifference(bad)
	}
	good.InPlaceIntersection(c.withAttempts)
	return good.Count() >= required && c.ejectedByClass[t.Class].None() && c.rejecting.None()
}
