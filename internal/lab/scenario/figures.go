package scenario

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/lab/rules"
)

// clockSkew is what the rules checker allows between the times of the recorder and those of the recorded processes.
const clockSkew = 150 * time.Millisecond

// Figures returns the figures by which the rules checker judges a recording of this day.
func (d *Day) Figures() rules.Figures {
	b := &d.Behaviour
	f := rules.Figures{DrainGrace: d.Rules.DrainGrace.Duration(), AnswerSlack: d.Rules.AnswerSlack.Duration(),
		Settle: d.Rules.SettleTime.Duration(), Skew: clockSkew,
		Cold: rules.Cold{For: d.Rules.SlowStartDuration.Duration(), Window: d.Rules.OverloadWindow.Duration(),
			From: b.SlowStartInitialRate, Multiple: b.OverloadMultiple, Always: d.Rules.SlowStartBudget,
			StartsPerSecond: float64(b.StartSlots) / (b.CachedStartTime.Duration().Seconds() * max(b.UncachedStartFactor, 1))}}
	for _, c := range d.Classes {
		f.Classes = append(f.Classes, rules.Class{Name: c.Name, Effect: c.Idempotency, Group: c.KeyDomain,
			Window: c.KeyTTL.Duration(), GiveUp: c.PlacementTimeout.Duration(), Spread: c.SpreadDomain, Most: c.MaxPerDomain})
	}
	return f
}
