package emulator

import (
	"fmt"

	"flaxshelf.example/flaxshelf/internal/testbed/load"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// arrivals is a source of submissions: they are drawn from a day's load, or read from a trace.
type arrivalSource interface {
	// Next returns the next submission, given the present factor of the load and the share of its hot service. It returns
	// false after the last one.
	Next(factor, hotServiceShare float64) (scenario.Arrival, bool)
}

// traceArrivals is the submissions of a trace at their own times, distributed round-robin over the schedulers. Factors of
// the load have no effect on it.
type traceArrivals struct {
	trace      *load.Trace
	loads      map[loadKey]*scenario.Load
	schedulers int
	next       int
}

// loadKey identifies the load of a job.
type loadKey struct{ class, tenant string }

// newTraceArrivals returns the submissions of a trace that replaces the load of a day. It returns an *OptionsError if the
// trace has a class that the day does not have.
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

// Next implements arrivals. No command follows a job of a trace.
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
