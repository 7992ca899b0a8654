package load

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
)

// gapThreshold is the time without events after which a capture records a gap.
const gapThreshold = 30 * time.Second

// subStateExited is the JobSubState of a job whose process ended by itself.
const subStateExited = "exited"

// Capture watches a scheduler for the given duration, or until the context ends, and returns a trace of the jobs that were
// submitted during that time.
func Capture(ctx context.Context, client *drmaa2.Client, length time.Duration) (*Trace, error) {
	session, err := client.OpenMonitoringSession(ctx)
	if err != nil {
		return nil, fmt.Errorf("load: capture: open monitoring session: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	c := newTraceCapture(time.Now())
	err = session.Watch(ctx, func(info drmaa2.JobInfo) bool { c.recordEvent(&info, time.Now()); return true })
	if ctx.Err() == nil && err != nil {
		return nil, fmt.Errorf("load: capture: watch jobs: %w", err)
	}
	return c.finish(time.Now()), nil
}

// traceCapture builds a trace from job events. It is not safe for concurrent use.
type traceCapture struct {
	trace         *Trace
	jobIndexes    map[string]int // indexes in trace.Jobs, by job ID
	startTimes    []time.Time    // dispatch time of each job of the trace; zero if it has not started
	lastEventTime time.Time
}

func newTraceCapture(start time.Time) *traceCapture {
	return &traceCapture{
		trace:         &Trace{Source: SourceDaemon, Start: start},
		jobIndexes:    map[string]int{},
		lastEventTime: start,
	}
}

// recordEvent records the state of a job that was received at the given time.
func (c *traceCapture) recordEvent(info *drmaa2.JobInfo, now time.Time) {
	if now.Sub(c.lastEventTime) > gapThreshold {
		c.trace.Gaps = append(c.trace.Gaps, Gap{c.lastEventTime.Sub(c.trace.Start), now.Sub(c.trace.Start)})
	}
	c.lastEventTime = now
	index, known := c.jobIndexes[info.JobID]
	if !known {
		if info.SubmissionTime.Before(c.trace.Start) {
			return // submitted before the capture began
		}
		index = c.addJob(info)
	}
	job := &c.trace.Jobs[index]
	if outcome := info.ImplementationSpecific[drmaa2.AttrOutcome]; outcome != "" && job.Outcome == "" {
		job.Outcome = outcome
	}
	if info.DispatchTime != nil {
		c.startTimes[index] = *info.DispatchTime
	}
	if info.FinishTime != nil && info.DispatchTime != nil {
		// A job that did not exit by itself, such as one that a client terminated, would have run longer.
		job.Runtime, job.Censored = info.FinishTime.Sub(*info.DispatchTime), info.JobSubState != subStateExited
	}
}

// addJob appends a job to the trace and returns its index.
func (c *traceCapture) addJob(info *drmaa2.JobInfo) int {
	attributes := info.ImplementationSpecific
	numericAttribute := func(name string) float64 {
		value, _ := strconv.ParseFloat(attributes[name], 64) // 0 if the job does not have the attribute or it is not a number
		return value
	}
	index := len(c.trace.Jobs)
	c.jobIndexes[info.JobID] = index
	c.trace.Jobs = append(c.trace.Jobs, Job{
		At:       info.SubmissionTime.Sub(c.trace.Start),
		Class:    attributes[drmaa2.AttrClass],
		Service:  attributes[drmaa2.AttrService],
		Tenant:   attributes[drmaa2.AttrTenant],
		Cores:    numericAttribute(drmaa2.AttrCores),
		Memory:   numericAttribute(drmaa2.AttrMemory),
		Censored: true,
	})
	c.startTimes = append(c.startTimes, time.Time{})
	return index
}

// finish sets the runtimes of jobs that are still running to the time since their start, and returns the sorted trace.
func (c *traceCapture) finish(now time.Time) *Trace {
	for index := range c.trace.Jobs {
		if job := &c.trace.Jobs[index]; job.Censored && job.Runtime == 0 && !c.startTimes[index].IsZero() {
			job.Runtime = now.Sub(c.startTimes[index])
		}
	}
	c.trace.sort()
	return c.trace
}
