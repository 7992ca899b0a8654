package scenario

import (
	"slices"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/testbed/rules"
)

// clockSkew is the tolerance of the rules checker between the times of the recorder and those of the recorded processes.
const clockSkew = 150 * time.Millisecond

// Figures returns the limits by which the rules checker judges a recording of this day.
func (d *Day) Figures() rules.Figures {
	b := &d.Behaviour
	f := rules.Figures{DrainGrace: d.Rules.DrainGrace.Duration(), AnswerSlack: d.Rules.AnswerSlack.Duration(),
		SettleTime: d.Rules.SettleTime.Duration(), Skew: clockSkew,
		SlowStart: rules.SlowStart{Duration: d.Rules.SlowStartDuration.Duration(), Window: d.Rules.OverloadWindow.Duration(),
			InitialFraction: b.SlowStartInitialRate, Multiple: b.OverloadMultiple, MinOffers: d.Rules.SlowStartBudget,
			StartsPerSecond: float64(b.StartSlots) / (b.CachedStartTime.Duration().Seconds() * max(b.UncachedStartFactor, 1))}}
	for _, c := range d.Classes {
		f.Classes = append(f.Classes, rules.Class{
			Name:             c.Name,
			Idempotency:      storedIdempotency(c.ModuleIdempotency()),
			KeyDomain:        c.KeyDomain,
			KeyTTL:           c.KeyTTL.Duration(),
			PlacementTimeout: c.PlacementTimeout.Duration(),
			SpreadDomain:     c.SpreadDomain,
			MaxPerDomain:     c.MaxPerDomain,
		})
	}
	return f
}

// storedIdempotency returns the name of an idempotency in the figures. The mapping is here since the rules checker must not
// import the module.
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

// WithStoredNames returns a copy of the day in which the idempotency of each class has the name that stored results and
// recordings have, whichever of its names the day's file has.
func (d *Day) WithStoredNames() *Day {
	stored := *d
	stored.Classes = slices.Clone(d.Classes)
	for i := range stored.Classes {
		class := &stored.Classes[i]
		class.Idempotency = storedIdempotency(class.ModuleIdempotency())
	}
	return &stored
}
