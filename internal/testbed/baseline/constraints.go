package baseline

import (
	"slices"

	"flaxshelf.example/flaxshelf"
)

// eligible reports whether a machine satisfies the hard constraints for a task and is not in backoff.
func (c *Placer) eligible(t *task, m *machine) bool {
	return m.State == flaxshelf.Active && m.Kind >= 0 && c.now >= m.backoffUntil &&
		(t.class.Kind < 0 || t.class.Kind == m.Kind) &&
		c.fits(t, m) && c.retryIsSafe(t, m) && c.withinSpreadLimit(t, m) && c.slowStartAllows(m)
}

// fits reports whether an empty machine of this kind has the resources for the task, overcommit included.
func (c *Placer) fits(t *task, m *machine) bool {
	kind := c.cfg.Kinds[m.Kind]
	return t.Cores <= kind.Cores*max(c.cfg.CoreOvercommit, 1) && t.Memory <= kind.Memory*max(c.cfg.MemoryOvercommit, 1)
}

// retryIsSafe reports whether the task may be offered to the machine whatever the outcome of its earlier attempts: it can't
// run twice, or its class permits that.
func (c *Placer) retryIsSafe(t *task, m *machine) bool {
	for i := range t.attempts {
		a := &t.attempts[i]
		if a.neverRan || t.class.Idempotency == flaxshelf.Idempotent {
			continue
		}
		deduplicated := t.class.Idempotency == flaxshelf.IdempotentByKey && sameDomain(t.class.KeyDomain, a.machine, m) &&
			c.now+c.cfg.Tick < a.sentAt+t.class.KeyTTL
		if !deduplicated {
			return false
		}
	}
	return true
}

// withinSpreadLimit reports whether the machine's topology domain has fewer tasks of the service than the class permits.
func (c *Placer) withinSpreadLimit(t *task, m *machine) bool {
	if t.class.SpreadDomain == flaxshelf.NoDomain {
		return true
	}
	tasks := 0
	for _, other := range c.machineOrder {
		if sameDomain(t.class.SpreadDomain, other, m) {
			tasks += other.tasksByService[t.Service]
		}
	}
	return tasks < t.class.MaxPerDomain
}

// slowStartApplies reports whether a machine is in slow start or was within the last OverloadWindow.
func (c *Placer) slowStartApplies(m *machine) bool {
	return m.Started > 0 && c.cfg.OverloadWindow > 0 && c.now < m.Started+c.cfg.SlowStartDuration+c.cfg.OverloadWindow
}

// slowStartAllows reports whether this scheduler's share of the machine's slow-start budget permits another offer. The budget
// is shared equally among the schedulers. A share of less than one offer permits none.
func (c *Placer) slowStartAllows(m *machine) bool {
	if !c.slowStartApplies(m) {
		return true
	}
	windowStart := c.now - c.cfg.OverloadWindow*3/2
	if c.startedAt > windowStart && c.startedAt > m.Started {
		return false // an earlier incarnation of this scheduler may have made offers in the window
	}
	m.slowStartOffers = slices.DeleteFunc(m.slowStartOffers, func(at flaxshelf.Time) bool { return at < windowStart })
	return len(m.slowStartOffers) < int(c.cfg.SlowStartBudget/float64(max(c.cfg.Schedulers, 1)))
}

// sameDomain reports whether two machines are in one topology domain of the given level.
func sameDomain(level flaxshelf.TopologyDomain, a, b *machine) bool {
	switch level {
	case flaxshelf.MachineDomain:
		return a == b
	case flaxshelf.CellDomain:
		return a.Cell == b.Cell
	case flaxshelf.ZoneDomain:
		return a.Zone == b.Zone
	}
	return level == flaxshelf.FleetDomain
}
