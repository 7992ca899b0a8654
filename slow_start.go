package flaxshelf

import (
	"slices"
	"time"
)

// Slow start: a machine that has just started may be sent Config.SlowStartBudget offers of all schedulers together within
// any Config.OverloadWindow. Schedulers divide that budget without communication.

// hasSlowStartBudget reports whether this scheduler may make one more offer to a machine in slow start. The window is wider
// than the overload window because offers that were sent apart may arrive together. A scheduler that started after the
// machine can't know what it sent before, so its budget counts as spent for a window.
//
// What remains of the budget when each scheduler has an equal number of whole offers is used in slots.
func (p *Placer) hasSlowStartBudget(m *machine) bool {
	if !p.inSlowStart(m) || p.disabled[SlowStartConstraint] {
		return true
	}
	budget := int(p.cfg.SlowStartBudget / float64(p.cfg.Schedulers))
	remainder := p.cfg.SlowStartBudget - float64(budget*p.cfg.Schedulers)
	windowStart := p.now - p.cfg.OverloadWindow*3/2
	if p.startedAt > windowStart && p.startedAt > m.Started {
		return false
	}
	if remainder >= 1 && p.inSlowStartSlot(m, remainder) {
		budget++
	}
	for _, offeredAt := range m.slowStartOffers {
		if offeredAt >= windowStart {
			budget--
		}
	}
	return budget > 0
}

// inSlowStartSlot reports whether this scheduler has a slot for one further offer to a machine in slow start. Slots are
// derived from the machine, its start, this scheduler's index and the number of schedulers alone: they begin one interval
// apart and each lasts an overload window. So an offer sent within any one window belongs to a slot that began within two,
// and the interval is such that these are never more than the budget; where tasks are queued at each scheduler, half of it
// is used. Schedulers with a wrong count of each other, such as two with one index, exceed the budget.
func (p *Placer) inSlowStartSlot(m *machine, sharedBudget float64) bool {
	interval := time.Duration(float64(2*p.cfg.OverloadWindow)/sharedBudget) + 1
	schedulers := uint64(p.cfg.Schedulers)
	slotIndex := (m.entry.IDHash()%schedulers + uint64(p.cfg.Index)) % schedulers
	elapsed := p.now - m.Started - time.Duration(slotIndex)*interval
	return elapsed >= 0 && elapsed%(time.Duration(schedulers)*interval) < p.cfg.OverloadWindow
}

// recordSlowStartOffer remembers an offer to a machine in slow start for as long as it counts.
func (p *Placer) recordSlowStartOffer(m *machine) {
	if !p.inSlowStart(m) {
		return
	}
	expired := func(offeredAt Time) bool { return p.now-offeredAt > 2*p.cfg.OverloadWindow }
	m.slowStartOffers = append(slices.DeleteFunc(m.slowStartOffers, expired), p.now)
}

// inSlowStart reports whether m started so recently that its offers are limited.
func (p *Placer) inSlowStart(m *machine) bool {
	return m.Started > 0 && p.cfg.OverloadWindow > 0 && p.now < p.slowStartEnd(m)
}

// slowStartEnd returns when the slow start of m ends.
func (p *Placer) slowStartEnd(m *machine) Time {
	return m.Started + p.cfg.SlowStartDuration + p.cfg.OverloadWindow
}
