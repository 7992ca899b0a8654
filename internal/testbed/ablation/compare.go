package ablation

import (
	"fmt"

	"flaxshelf.example/flaxshelf/internal/testbed/emulator"
	"flaxshelf.example/flaxshelf/internal/testbed/experiment"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// Outcome is the outcome of one play of a day.
type Outcome struct {
	// EarnedShare is the share of the priority weight of all submissions that was earned. A task that starts after its
	// latency objective earns its class's weight for late starts.
	EarnedShare float64
	// P50 and P99 are percentiles of the time to the first placement in seconds.
	P50 float64
	P99 float64
}

// OutcomeOf returns the outcome of a play from its report. It merges the report's histograms.
func OutcomeOf(d *scenario.Day, r *emulator.Report) Outcome {
	var earned, all float64
	for _, c := range r.Classes {
		weight, lateWeight := 1.0, 0.0
		if class := d.Class(c.Class); class != nil {
			weight, lateWeight = class.PriorityWeight, class.LateStartWeight
		}
		all += weight * float64(c.Submitted)
		earned += weight * (float64(c.InTime) + lateWeight*float64(c.Placed-c.InTime))
	}
	var o Outcome
	o.P50, o.P99 = experiment.WaitPercentiles(r)
	if all > 0 {
		o.EarnedShare = earned / all
	}
	return o
}

// Loss is what disabling constraints costs, over pairs of one seed.
type Loss struct {
	EarnedShare experiment.Estimate
	P99         experiment.Estimate // in seconds
}

// Costs reports whether it costs earned share or time beyond the 95% interval.
func (l Loss) Costs() bool {
	return l.EarnedShare.Mean > l.EarnedShare.HalfWidth || l.P99.Mean > l.P99.HalfWidth
}

// Gains reports whether it gains earned share beyond the 95% interval: the constraints do harm there.
func (l Loss) Gains() bool { return -l.EarnedShare.Mean > l.EarnedShare.HalfWidth }

// String returns the estimates, as in the tables of docs/ablation.md.
func (l Loss) String() string {
	return fmt.Sprintf("worth %+.4f ± %.4f, p99 %+.3f ± %.3f s", l.EarnedShare.Mean, l.EarnedShare.HalfWidth,
		l.P99.Mean, l.P99.HalfWidth)
}

// Compare returns what is lost from plays with constraints to plays without, seed by seed. Both must have the same seeds.
func Compare(with, without []Outcome) Loss {
	earned, p99 := make([]float64, len(with)), make([]float64, len(with))
	for i := range with {
		earned[i] = with[i].EarnedShare - without[i].EarnedShare
		p99[i] = without[i].P99 - with[i].P99
	}
	return Loss{EarnedShare: experiment.EstimateMean(earned), P99: experiment.EstimateMean(p99)}
}
