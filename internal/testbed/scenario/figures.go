package scenario

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/rules"
)

// clockSkew is what the rules checker allows between the times of the recorder and those of the recorded processes.
const clockSkew = 150 * time.Millisecond

// Figures returns the figures by which the rules checker judges a recording of this day.
func (d *Day) Figures() rules.Figures {
	b := &d.Behaviour
	f := rules.Figures{DrainGrace: d.Rules.DrainGrace.Duration(), AnswerSlack: d.Rules.AnswerSlack.Duration(),
		SettleTime: d.Rules.SettleTime.Duration(), Skew: clockSkew,
		SlowStart: rules.SlowStart{For: d.Rules.SlowStartDuration.Duration(), Window: d.Rules.OverloadWindow.Duration(),
			From: b.SlowStartInitialRate, Multiple: b.OverloadMultiple, Always: d.Rules.SlowStartBudget,
			StartsPerSecond: float64(b.StartSlots) / (b.CachedStartTime.Duration().Seconds() * max(b.UncachedStartFactor, 1))}}
	for _, c := range d.Classes {
		f.Classes = append(f.Classes, rules.Class{
			Name:             c.Name,
			Idempotency:      rules.StoredIdempotency(c.ModuleIdempotency()),
			KeyDomain:        c.KeyDomain,
			KeyTTL:           c.KeyTTL.Duration(),
			PlacementTimeout: c.PlacementTimeout.Duration(),
			SpreadDomain:     c.SpreadDomain,
			MaxPerDomain:     c.MaxPerDomain,
		})
	}
	return f
}
