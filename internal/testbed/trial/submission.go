package trial

import (
	"context"
	"errors"
	"fmt"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

const (
	// outcomeGrace is how long after the placement timeout and the scheduler's answer slack a client still waits for an outcome.
	outcomeGrace = 2 * time.Second
	// lateThreshold is the delay beyond which a submission counts as sent late.
	lateThreshold = 50 * time.Millisecond
	// pollInterval is the interval at which a client checks whether its scheduler was killed.
	pollInterval = 100 * time.Millisecond
	// maxPollDuration is the longest part of the time between two polls that counts as waiting. The rest passed while the
	// client's process did not run, and could not read the outcome.
	maxPollDuration = 2 * pollInterval
)

// submission is a submitted job from the view of its client. outcomes and firstOutcome are guarded by clients.mu.
type submission struct {
	outcomes        map[string]string // by job and number of the placement request
	firstOutcome    string
	outcomeReported chan struct{} // closed when firstOutcome is set
}

// runSubmission submits one job, waits for its outcome and counts how it ended.
func (c *clients) runSubmission(ctx context.Context, arrival *scenario.Arrival, due time.Time) {
	s := &submission{outcomes: map[string]string{}, outcomeReported: make(chan struct{})}
	c.mu.Lock()
	c.openSubmissions[arrival.Key] = s
	c.stats.Submitted++
	if time.Since(due) > lateThreshold {
		c.stats.SentLate++
	}
	c.mu.Unlock()
	end := c.submitUntilOutcome(ctx, arrival, s, c.outcomeDeadline(arrival.Load.Class, due))

	c.mu.Lock()
	defer c.mu.Unlock()
	if s.firstOutcome != "" {
		end = s.firstOutcome
	}
	if end == endNoOutcome {
		c.stats.Unaccounted++
		c.cluster.options.Logf("no outcome was reported for %s", arrival.Key)
	}
	c.stats.EndCounts[end]++
	delete(c.openSubmissions, arrival.Key)
}

// outcomeDeadline returns until when a client waits for the outcome of a job of a class that it submits at the given time.
func (c *clients) outcomeDeadline(class string, submittedAt time.Time) time.Time {
	return submittedAt.Add(c.placementTimeout(class) + c.cluster.day.Rules.AnswerSlack.Duration() + outcomeGrace)
}

// submitUntilOutcome submits a job, and resubmits it to each later incarnation of its scheduler until there is an outcome. The
// result is how the submission ended if there is no outcome; otherwise it is not used.
func (c *clients) submitUntilOutcome(ctx context.Context, arrival *scenario.Arrival, s *submission,
	deadline time.Time) string {
	process := c.cluster.schedulers[arrival.Scheduler]
	for retry := false; ; retry = true {
		incarnation := process.incarnation()
		if err := c.submitOnce(ctx, arrival, retry, deadline); err != nil {
			return endRejected + errorLabel(err)
		}
		if retry { // the job's placement timeout begins anew
			deadline = c.outcomeDeadline(arrival.Load.Class, time.Now())
		}
		killed := c.awaitOutcome(ctx, s, process, incarnation, deadline)
		switch {
		case s.isOutcomeKnown():
			return endNoOutcome // the caller replaces it with the first outcome
		case killed && time.Now().After(deadline):
			return endKilled
		case !killed:
			return endNoOutcome
		}
	}
}

// submitOnce submits or resubmits a job, and controls it after the first submission. It gives up after the deadline and a grace.
func (c *clients) submitOnce(ctx context.Context, arrival *scenario.Arrival, retry bool, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(outcomeGrace))
	defer cancel()
	job, err := c.submit(ctx, arrival, retry)
	if err != nil {
		return err
	}
	if !retry {
		c.controlJob(ctx, job, arrival)
	}
	return nil
}

func (s *submission) isOutcomeKnown() bool {
	select {
	case <-s.outcomeReported:
		return true
	default:
		return false
	}
}

// awaitOutcome waits until there is an outcome, the deadline has passed or the context is canceled. It waits for outcomeGrace at
// least, and longer if the process of the clients stalls. It reports whether the incarnation that admitted the job has been
// killed before an outcome, so that the client has to resubmit it to the next one.
func (c *clients) awaitOutcome(ctx context.Context, s *submission, process *schedulerProcess, incarnation int,
	deadline time.Time) bool {
	remaining := max(time.Until(deadline), outcomeGrace)
	for {
		pollStart := time.Now()
		select {
		case <-s.outcomeReported:
			return false
		case <-ctx.Done():
			return process.incarnation() != incarnation || !process.isRunning()
		case <-time.After(pollInterval):
			if process.incarnation() != incarnation {
				return true
			}
			remaining -= min(time.Since(pollStart), maxPollDuration)
			if remaining < 0 {
				return !process.isRunning()
			}
		}
	}
}

// jobTemplate returns the job template of an arrival.
func jobTemplate(arrival *scenario.Arrival) drmaa2.JobTemplate {
	load := arrival.Load
	attributes := map[string]string{drmaa2.AttrKey: arrival.Key, drmaa2.AttrExpectedRuntime: arrival.Runtime.String(),
		drmaa2.AttrService: arrival.Service}
	if arrival.Cores > 0 {
		attributes[drmaa2.AttrCores] = fmt.Sprint(arrival.Cores)
	}
	if arrival.Memory > 0 {
		attributes[drmaa2.AttrMemory] = fmt.Sprint(arrival.Memory)
	}
	return drmaa2.JobTemplate{RemoteCommand: load.Class, JobCategory: load.Class, Rerunnable: load.Rerunnable,
		AccountingID: load.Tenant, ImplementationSpecific: attributes}
}

// placementTimeout returns the placement timeout of a class, or zero for a class that the day does not define.
func (c *clients) placementTimeout(name string) time.Duration {
	if class := c.cluster.day.Class(name); class != nil {
		return class.PlacementTimeout.Duration()
	}
	return 0
}

// submit submits a job, or resubmits it if retry is set. It creates the session if a new incarnation of the scheduler does not
// have it.
func (c *clients) submit(ctx context.Context, arrival *scenario.Arrival, retry bool) (*drmaa2.Job, error) {
	template := jobTemplate(arrival)
	for {
		session, err := c.session(ctx, arrival.Scheduler)
		if err != nil {
			return nil, err
		}
		run := session.RunJob
		if retry {
			run = session.ResubmitJob
		}
		job, err := run(ctx, template)
		if !errors.Is(err, drmaa2.ErrInvalidSession) || canceled(ctx) {
			return job, err
		}
	}
}
