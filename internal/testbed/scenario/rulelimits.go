package scenario

import (
	"slices"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/testbed/rules"
)

// timeTolerance is the difference between the times of the recorder and those of the recorded processes that the rules checker
// tolerates.
const timeTolerance = 150 * time.Millisecond

// RuleLimits returns the limits that the rules checker checks a recording of this day against.
func (d *Day) RuleLimits() rules.Limits {
	behaviour := &d.Behaviour
	limits := rules.Limits{DrainGrace: d.Rules.DrainGrace.Duration(), AnswerSlack: d.Rules.AnswerSlack.Duration(),
		SettleTime: d.Rules.SettleTime.Duration(), TimeTolerance: timeTolerance,
		SlowStart: rules.SlowStart{Duration: d.Rules.SlowStartDuration.Duration(), Window: d.Rules.OverloadWindow.Duration(),
			InitialRateFraction: behaviour.SlowStartInitialRate, RateMultiple: behaviour.OverloadMultiple,
			MinOffers: d.Rules.SlowStartBudget, StartsPerSecond: float64(behaviour.StartSlots) /
				(behaviour.CachedStartTime.Duration().Seconds() * max(behaviour.UncachedStartFactor, 1))}}
	for _, c := range d.Classes {
		limits.Classes = append(limits.Classes, rules.Class{
			Name:             c.Name,
			Idempotency:      storedIdempotency(c.ModuleIdempotency()),
			KeyDomain:        c.KeyDomain,
			KeyTTL:           c.KeyTTL.Duration(),
			PlacementTimeout: c.PlacementTimeout.Duration(),
			SpreadDomain:     c.SpreadDomain,
			MaxPerDomain:     c.MaxPerDomain,
		})
	}
	return limits
}

// storedIdempotency returns the name of an idempotency in recordings and stored results. The mapping is here because package
// rules must not import the placement module.
func storedIdempotency(idempotency flaxshelf.Idempotency) string {
	switch idempotency {
	case flaxshelf.Idempotent:
		return rules.Idempotent
	case flaxshelf.IdempotentByKey:
		return rules.IdempotentByKey
	default:
		return rules.NonIdempotent
	}
}

// WithStoredIdempotency returns a copy of the day in which the idempotency of each class has the name that recordings and
// stored results use. The file of the day may use another name for it.
func (d *Day) WithStoredIdempotency() *Day {
	stored := *d
	stored.Classes = slices.Clone(d.Classes)
	for i := range stored.Classes {
		class := &stored.Classes[i]
		class.Idempotency = storedIdempotency(class.ModuleIdempotency())
	}
	return &stored
}
