package ablation

import (
	"fmt"

	"flaxshelf.example/flaxshelf/internal/testbed/emulator"
	"flaxshelf.example/flaxshelf/internal/testbed/experiment"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// Result summarizes one emulation of a day.
type Result struct {
	// EarnedFraction is the earned fraction of the priority weight of all submissions. A submission that is placed within the
	// latency objective of its class earns the class's priority weight, a later one the weight for late starts.
	EarnedFraction float64
	// P50 is the median of the time to the first placement in seconds.
	P50 float64
	// P99 is the 99th percentile of the time to the first placement in seconds.
	P99 float64
}

// NewResult computes the result of an emulation from its report. It merges the report's histograms.
func NewResult(d *scenario.Day, r *emulator.Report) Result {
	var earned, all float64
	for _, c := range r.Classes {
		weight, lateWeight := 1.0, 0.0
		if class := d.Class(c.Class); class != nil {
			weight, lateWeight = class.PriorityWeight, class.LateStartWeight
		}
		all += weight * float64(c.Submitted)
		earned += weight * (float64(c.WithinObjective) + lateWeight*float64(c.Placed-c.WithinObjective))
	}
	var o Result
	o.P50, o.P99 = experiment.WaitPercentiles(r)
	if all > 0 {
		o.EarnedFraction = earned / all
	}
	return o
}

// Loss is the loss caused by disabling constraints, estimated from pairs of emulations with the same seed.
type Loss struct {
	EarnedFraction experiment.Estimate
	P99            experiment.Estimate // increase in seconds
}

// HasSignificantCost reports whether disabling the constraints lowers the earned fraction or raises the p99 wait by more than
// the 95% confidence interval.
func (l Loss) HasSignificantCost() bool {
	return l.EarnedFraction.Mean > l.EarnedFraction.HalfWidth || l.P99.Mean > l.P99.HalfWidth
}

// HasSignificantGain reports whether disabling the constraints raises the earned fraction by more than the 95% confidence
// interval, which means that the constraints do harm.
func (l Loss) HasSignificantGain() bool { return -l.EarnedFraction.Mean > l.EarnedFraction.HalfWidth }

// String returns the estimates with their 95% confidence intervals, as in the tables of docs/ablation.md.
func (l Loss) String() string {
	return fmt.Sprintf("worth %+.4f ± %.4f, p99 %+.3f ± %.3f s", l.EarnedFraction.Mean, l.EarnedFraction.HalfWidth,
		l.P99.Mean, l.P99.HalfWidth)
}

// Compare estimates the loss from results with and without the constraints. Both slices must have the same seeds in the same
// order.
func Compare(with, without []Result) Loss {
	earned, p99 := make([]float64, len(with)), make([]float64, len(with))
	for i := range with {
		earned[i] = with[i].EarnedFraction - without[i].EarnedFraction
		p99[i] = without[i].P99 - with[i].P99
	}
	return Loss{EarnedFraction: experiment.EstimateMean(earned), P99: experiment.EstimateMean(p99)}
}
