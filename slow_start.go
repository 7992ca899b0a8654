package flaxshelf

import (
	"slices"
	"time"
)

// Slow start: all schedulers together may send a machine that has just started at most Config.SlowStartBudget offers within
// any Config.OverloadWindow. They divide this budget without communication: each has an equal number of whole offers, and
// the remainder is used in time slots, see inSlowStartSlot.

// hasSlowStartBudget reports whether this scheduler may send m one more offer. It always may if m is not in slow start. Its
// own offers count for one and a half overload windows, because offers that were sent apart may arrive together. A scheduler
// that started after the machine doesn't know which offers it sent before its own start, so for one and a half overload
// windows after that start its budget counts as used up.
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

// inSlowStartSlot reports whether this scheduler is in a time slot in which it may send m one further offer. sharedBudget is
// what remains of the budget after the equal parts of all schedulers.
//
// The slots follow from the machine's ID and start, this scheduler's index and the number of schedulers alone. They begin
// one interval apart, and each lasts an overload window. So the offers sent within any one window belong to slots that began
// within two windows. The interval is chosen so that these slots are never more than sharedBudget. If tasks are queued at
// every scheduler, half of sharedBudget is used. If schedulers disagree on their number or two have the same index, they may
// exceed the budget.
func (p *Placer) inSlowStartSlot(m *machine, sharedBudget float64) bool {
	interval := time.Duration(float64(2*p.cfg.OverloadWindow)/sharedBudget) + 1
	schedulers := uint64(p.cfg.Schedulers)
	slotIndex := (m.entry.IDHash()%schedulers + uint64(p.cfg.Index)) % schedulers
	elapsed := p.now - m.Started - time.Duration(slotIndex)*interval
	return elapsed >= 0 && elapsed%(time.Duration(schedulers)*interval) < p.cfg.OverloadWindow
}

// recordSlowStartOffer records an offer to a machine in slow start, and drops those that no longer count.
func (p *Placer) recordSlowStartOffer(m *machine) {
	if !p.inSlowStart(m) {
		return
	}
	expired := func(offeredAt Time) bool { return p.now-offeredAt > 2*p.cfg.OverloadWindow }
	m.slowStartOffers = append(slices.DeleteFunc(m.slowStartOffers, expired), p.now)
}

// inSlowStart reports whether m started so recently that offers to it are limited.
func (p *Placer) inSlowStart(m *machine) bool {
	return m.Started > 0 && p.cfg.OverloadWindow > 0 && p.now < p.slowStartEnd(m)
}

// slowStartEnd returns the time from which offers to m are no longer limited. Config.SlowStartDuration says why that is one
// overload window later than the end of slow start.
func (p *Placer) slowStartEnd(m *machine) Time {
	return m.Started + p.cfg.SlowStartDuration + p.cfg.OverloadWindow
}
