package load

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
)

// quiet is how long a capture may hear nothing before it notes a gap.
const quiet = 30 * time.Second

// Capture listens to a scheduler for a while and makes a trace of the jobs that were submitted meanwhile.
func Capture(ctx context.Context, c *drmaa2.Client, d time.Duration) (*Trace, error) {
	m, err := c.OpenMonitoringSession(ctx)
	if err != nil {
		return nil, fmt.Errorf("load: capture: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	k := &capture{t: &Trace{Source: "daemon", Start: time.Now()}, jobs: map[string]int{}}
	k.last = k.t.Start
	err = m.Watch(ctx, func(i drmaa2.JobInfo) bool { k.heard(&i, time.Now()); return true })
	if ctx.Err() == nil && err != nil {
		return nil, fmt.Errorf("load: capture: %w", err)
	}
	return k.end(time.Now()), nil
}

type capture struct {
	t       *Trace
	jobs    map[string]int // index in t.Jobs
	started []time.Time
	last    time.Time
}

func (k *capture) heard(i *drmaa2.JobInfo, now time.Time) {
	if now.Sub(k.last) > quiet {
		k.t.Gaps = append(k.t.Gaps, Gap{k.last.Sub(k.t.Start), now.Sub(k.t.Start)})
	}
	k.last = now
	n, known := k.jobs[i.JobID]
	if !known {
		if i.SubmissionTime.Before(k.t.Start) {
			return // it was there before
		}
		own := i.ImplementationSpecific
		number := func(name string) float64 { v, _ := strconv.ParseFloat(own[name], 64); return v } // 0 where untold
		n = len(k.t.Jobs)
		k.jobs[i.JobID] = n
		k.t.Jobs = append(k.t.Jobs, Job{At: i.SubmissionTime.Sub(k.t.Start), Class: own[drmaa2.AttrClass],
			Service: own[drmaa2.AttrService], Tenant: own[drmaa2.AttrTenant], Cores: number(drmaa2.AttrCores),
			Memory: number(drmaa2.AttrMemory), CutOff: true})
		k.started = append(k.started, time.Time{})
	}
	j := &k.t.Jobs[n]
	if o := i.ImplementationSpecific[drmaa2.AttrOutcome]; o != "" && j.Outcome == "" {
		j.Outcome = o
	}
	if i.DispatchTime != nil {
		k.started[n] = *i.DispatchTime
	}
	if i.FinishTime != nil && i.DispatchTime != nil {
		// A life that its node or its owner cut short says only that it would have been longer.
		j.Life, j.CutOff = i.FinishTime.Sub(*i.DispatchTime), i.JobSubState != "exited"
	}
}

// end closes the lives that still go on.
func (k *capture) end(now time.Time) *Trace {
	for n := range k.t.Jobs {
		if j := &k.t.Jobs[n]; j.CutOff && j.Life == 0 && !k.started[n].IsZero() {
			j.Life = now.Sub(k.started[n])
		}
	}
	k.t.sort()
	return k.t
}
