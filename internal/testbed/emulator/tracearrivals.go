package emulator

import (
	"fmt"

	"flaxshelf.example/flaxshelf/internal/testbed/load"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// arrivalSource yields submissions in the order of time. They are drawn at random from the load of a day, or are those of a
// trace.
type arrivalSource interface {
	// Next returns the next submission, or false after the last one. rateFactor multiplies the rate of submissions, and
	// hotServiceFraction is the fraction of them that goes to the first service.
	Next(rateFactor, hotServiceFraction float64) (scenario.Arrival, bool)
}

// traceArrivals yields the submissions of a trace at the times of the trace, distributed round-robin over the schedulers.
// Rate factors and hot services have no effect on them.
type traceArrivals struct {
	trace      *load.Trace
	loads      map[loadKey]*scenario.Load
	schedulers int
	next       int
}

// loadKey identifies the load to which a job of a trace belongs.
type loadKey struct{ class, tenant string }

// newTraceArrivals returns a source for a trace that replaces the load of a day. It returns an *OptionsError if a class of
// the trace is not a class of the day.
func newTraceArrivals(trace *load.Trace, day *scenario.Day) (*traceArrivals, error) {
	t := &traceArrivals{trace: trace, loads: map[loadKey]*scenario.Load{}, schedulers: day.Schedulers}
	for i := range trace.Jobs {
		job := &trace.Jobs[i]
		if day.Class(job.Class) == nil {
			return nil, &OptionsError{Option: "Load", Value: job.Class, Reason: "is not a class of the day " + day.Name}
		}
		if key := (loadKey{job.Class, job.Tenant}); t.loads[key] == nil {
			t.loads[key] = &scenario.Load{Class: job.Class, Tenant: job.Tenant}
		}
	}
	return t, nil
}

// Next implements arrivalSource. ControlDraw is 1, so that no job of a trace is terminated or held by a command.
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
