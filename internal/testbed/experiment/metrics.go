package experiment

import (
	"flaxshelf.example/flaxshelf/internal/testbed/emulator"
)

// Metric is a quantity that is measured in each run. Its value is the name in stored results and reports.
type Metric string

// Metrics of a run. Waits are in seconds from the intended submission to the first placement.
const (
	PlacedFraction Metric = "placed"  // fraction of the submissions that were placed
	InTimeFraction Metric = "in time" // fraction of the submissions that were placed within their latency objective
	WaitP50        Metric = "wait p50"
	WaitP99        Metric = "wait p99"
	// OverloadedNodes is the number of nodes that crashed from overload during slow start.
	OverloadedNodes Metric = "overloaded nodes"
)

// deprecatedOverloadedNodes is the name of OverloadedNodes in results of earlier versions. New results contain both names.
//
// Deprecated: use OverloadedNodes; removed in 0.2.0.
const deprecatedOverloadedNodes Metric = "nodes fallen"

// Metrics lists all metrics in the order of reports.
var Metrics = []Metric{PlacedFraction, InTimeFraction, WaitP50, WaitP99, OverloadedNodes}

const microsecondsPerSecond = 1e6

// metricsOf returns the metrics of an emulation report. It modifies the report's histograms; see WaitPercentiles.
func metricsOf(r *emulator.Report) map[Metric]float64 {
	metrics := map[Metric]float64{OverloadedNodes: float64(r.OverloadCrashes)}
	var submitted, placed, inTime float64
	for _, c := range r.Classes {
		submitted += float64(c.Submitted)
		placed += float64(c.Placed)
		inTime += float64(c.WithinObjective)
	}
	if submitted > 0 {
		metrics[PlacedFraction], metrics[InTimeFraction] = placed/submitted, inTime/submitted
	}
	metrics[WaitP50], metrics[WaitP99] = WaitPercentiles(r)
	return metrics
}

// WaitPercentiles returns the median and the 99th percentile of the time to the first placement over all classes, in seconds. It
// merges the histograms of all classes into that of the first class, so it must be called at most once for a report.
func WaitPercentiles(r *emulator.Report) (p50, p99 float64) {
	wait := r.Classes[0].WaitMicros
	for _, c := range r.Classes[1:] {
		wait.Merge(c.WaitMicros)
	}
	return float64(wait.ValueAtQuantile(50)) / microsecondsPerSecond, float64(wait.ValueAtQuantile(99)) / microsecondsPerSecond
}
