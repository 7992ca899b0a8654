package experiment

import (
	"flaxshelf.example/flaxshelf/internal/testbed/emulator"
)

// Measure is a quantity that is measured in a run. The value is its name in stored results and reports.
type Measure string

// The measures. Waits are in seconds from the intended submission to the first placement.
const (
	PlacedFraction Measure = "placed"  // fraction of the submissions that were placed
	InTimeFraction Measure = "in time" // fraction of the submissions that were placed within their latency objective
	WaitP50        Measure = "wait p50"
	WaitP99        Measure = "wait p99"
	// OverloadedNodes is the number of nodes that crashed of overload during slow start.
	OverloadedNodes Measure = "overloaded nodes"
)

// deprecatedOverloadedNodes is the name of OverloadedNodes in the results of earlier versions. Results are written under
// both names.
//
// Deprecated: use OverloadedNodes; removed in 0.2.0.
const deprecatedOverloadedNodes Measure = "nodes fallen"

// Measures lists all measures in the order of a report.
var Measures = []Measure{PlacedFraction, InTimeFraction, WaitP50, WaitP99, OverloadedNodes}

const microsecondsPerSecond = 1e6

// measure returns the measures of a report. It merges the report's histograms.
func measure(r *emulator.Report) map[Measure]float64 {
	m := map[Measure]float64{OverloadedNodes: float64(r.OverloadCrashes)}
	var submitted, placed, inTime float64
	for _, c := range r.Classes {
		submitted += float64(c.Submitted)
		placed += float64(c.Placed)
		inTime += float64(c.WithinObjective)
	}
	if submitted > 0 {
		m[PlacedFraction], m[InTimeFraction] = placed/submitted, inTime/submitted
	}
	m[WaitP50], m[WaitP99] = WaitPercentiles(r)
	return m
}

// WaitPercentiles returns the median and the 99th percentile, in seconds, of the time to the first placement over all
// classes. It merges the histograms of the classes into that of the first, so it must not be called twice for a report.
func WaitPercentiles(r *emulator.Report) (p50, p99 float64) {
	wait := r.Classes[0].WaitMicros
	for _, c := range r.Classes[1:] {
		wait.Merge(c.WaitMicros)
	}
	return float64(wait.ValueAtQuantile(50)) / microsecondsPerSecond, float64(wait.ValueAtQuantile(99)) / microsecondsPerSecond
}
