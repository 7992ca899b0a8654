package experiment

import (
	"slices"

	"flaxshelf.example/flaxshelf/internal/lab/emulator"
)

// Measure is what is measured of a run; the value is its name in stored results and reports.
type Measure string

// The measures. Waits are in seconds from the intended submission to the first placement.
const (
	PlacedShare Measure = "placed"  // share of the submissions that were placed
	InTimeShare Measure = "in time" // share of the submissions that were placed within their latency objective
	WaitP50     Measure = "wait p50"
	WaitP99     Measure = "wait p99"
	FailedNodes Measure = "nodes fallen" // nodes that broke down during slow start
)

// Measures lists all measures in the order of a report.
var Measures = []Measure{PlacedShare, InTimeShare, WaitP50, WaitP99, FailedNodes}

const microsecondsPerSecond = 1e6

// measure takes the measures from a report. It merges the report's histograms.
func measure(r *emulator.Report) map[Measure]float64 {
	m := map[Measure]float64{FailedNodes: float64(r.FellOver)}
	var submitted, placed, inTime float64
	wait := slices.Clone(r.Classes)[0].Wait
	for i, c := range r.Classes {
		submitted += float64(c.Submitted)
		placed += float64(c.Placed)
		inTime += float64(c.InTime)
		if i > 0 {
			wait.Merge(c.Wait)
		}
	}
	if submitted > 0 {
		m[PlacedShare], m[InTimeShare] = placed/submitted, inTime/submitted
	}
	m[WaitP50] = float64(wait.ValueAtQuantile(50)) / microsecondsPerSecond
	m[WaitP99] = float64(wait.ValueAtQuantile(99)) / microsecondsPerSecond
	return m
}
