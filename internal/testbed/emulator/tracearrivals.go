package emulator

import (
	"fmt"

	"flaxshelf.example/flaxshelf/internal/testbed/load"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// arrivals is where submissions come from: drawn from a day's load, or taken from a trace.
type arrivals interface {
	// Next is the next submission, with the present factor of the load and share of one service.
	Next(factor, hotServiceShare float64) (scenario.Arrival, bool)
}

// traceArrivals is the submissions of a trace at their own times. The schedulers get them in turn. Factors of the load do
// not change it.
type traceArrivals struct {
	trace      *load.Trace
	loads      map[loadKey]*scenario.Load
	schedulers int
	next       int
}

// loadKey is what the jobs of one load have in common.
type loadKey struct{ class, tenant string }

// newTraceArrivals checks a trace against the day that it replaces the load of. The error is an *OptionsError.
func newTraceArrivals(trace *load.Trace, day *scenario.Day) (*traceArrivals, error) {
	t := &traceArrivals{trace: trace, loads: map[loadKey]*scenario.Load{}, schedulers: day.Schedulers}
	for i := range trace.Jobs {
		job := &trace.Jobs[i]
		if day.Class(job.Class) == nil {
			return nil, &OptionsError{Option: "Load", Value: job.Class, Reason: "is a class that " + day.Name + " does not have"}
		}
		if key := (loadKey{job.Class, job.Tenant}); t.loads[key] == nil {
			t.loads[key] = &scenario.Load{Class: job.Class, Tenant: job.Tenant}
		}
	}
	return t, nil
}

// Next is the next job of the trace. No command follows it.
func (t *traceArrivals) Next(float64, float64) (scenario.Arrival, bool) {
	if t.next == len(t.trace.Jobs) {
		return scenario.Arrival{}, false
	}
	job := &t.trace.Jobs[t.next]
	arrival := scenario.Arrival{At: job.At, Load: t.loads[loadKey{job.Class, job.Tenant}], Key: fmt.Sprintf("p%d", t.next),
		Service: job.Service, Runtime: job.Runtime, Scheduler: t.next % t.schedulers, ControlDraw: 1, Cores: job.Cores,
		Memory: job.Memory}
	t.next++
	return arrival, true
}
