package load

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/testbed/countformat"
)

// Result is what came of a load that was sent. Latencies count from the intended time of each submission, so that delays of
// the sender and of the scheduler are included.
type Result struct {
	Sent     int
	Late     int               // submissions that left more than 10 ms after their time
	Answered *LatencyHistogram // until the scheduler answered the submission
	Placed   *LatencyHistogram // until the task was placed
	Errors   map[string]int    // submissions that failed, by code or text
	Outcomes map[string]int    // the others, by outcome
}

// String returns the result in words.
func (r *Result) String() string {
	return fmt.Sprintf("%d submissions (%d sent late), errors %s, outcomes %s\nanswered: %v\nplaced:   %v\n",
		r.Sent, r.Late, countformat.Format(r.Errors), countformat.FormatOutcomes(r.Outcomes), r.Answered, r.Placed)
}

const (
	// lateAfter is how long after its time a submission counts as late.
	lateAfter = 10 * time.Millisecond
	// outcomePollInterval is how often the sender looks whether outcomes are still open.
	outcomePollInterval = 10 * time.Millisecond
	// outcomePlaced is the outcome of a placed task in the attributes of a job.
	outcomePlaced = "placed"
	// outcomeUnknown counts in Result.Outcomes the submissions whose outcome did not come in time.
	outcomeUnknown = "unknown"
)

// Options say how a load is sent.
type Options struct {
	Session string        // job session; it is created if there is none of that name
	Speed   float64       // multiplies the rate of the load; 0: 1
	Wait    time.Duration // for open outcomes, after the last submission
	Prefix  string        // of the idempotency keys; must be unique for each sending
}

// Send sends a load to a scheduler, open-loop: each submission leaves at its time, whatever the outcomes of earlier ones.
// It returns when all outcomes are known or after Options.Wait. If ctx ends, it returns the result so far and the
// context's error.
func Send(ctx context.Context, c *drmaa2.Client, t *Trace, opt Options) (*Result, error) {
	session, err := openSession(ctx, c, opt.Session)
	if err != nil {
		return nil, err
	}
	s := newSender(session)
	stopWatching := s.watch(ctx)
	defer stopWatching()
	s.submitAll(ctx, t.Jobs, opt)
	s.awaitOutcomes(ctx, opt.Wait)
	return s.result, ctx.Err()
}

func openSession(ctx context.Context, c *drmaa2.Client, name string) (*drmaa2.JobSession, error) {
	session, err := c.OpenJobSession(ctx, name)
	if errors.Is(err, drmaa2.ErrInvalidArgument) {
		session, err = c.CreateJobSession(ctx, name)
	}
	if err != nil {
		return nil, fmt.Errorf("load: session: %w", err)
	}
	return session, nil
}

// sender sends one load.
type sender struct {
	session *drmaa2.JobSession

	mu     sync.Mutex // guards what follows
	result *Result
	due    map[string]time.Time // intended times of the submissions without an outcome, by key
}

func newSender(session *drmaa2.JobSession) *sender {
	return &sender{
		session: session,
		result: &Result{
			Answered: NewLatencyHistogram(),
			Placed:   NewLatencyHistogram(),
			Errors:   map[string]int{},
			Outcomes: map[string]int{},
		},
		due: map[string]time.Time{},
	}
}

// watch records outcomes until the function that it returns is called; that function waits for the watch to end.
func (s *sender) watch(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		// A watch that breaks leaves outcomes open, which the result counts.
		_ = s.session.Watch(ctx, func(i drmaa2.JobInfo) bool { s.recordOutcome(&i); return true })
	}()
	return func() {
		cancel()
		<-done
	}
}

// submitAll submits each job at its time and waits for the answers.
func (s *sender) submitAll(ctx context.Context, jobs []Job, opt Options) {
	speed := opt.Speed
	if speed <= 0 {
		speed = 1
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	for i := range jobs {
		due := start.Add(time.Duration(float64(jobs[i].At) / speed))
		if !waitUntil(ctx, due) {
			return
		}
		key := fmt.Sprintf("%s-%d", opt.Prefix, i)
		wg.Go(func() { s.submit(ctx, &jobs[i], key, due) })
	}
}

// waitUntil returns false if the context ends first.
func waitUntil(ctx context.Context, due time.Time) bool {
	if wait := time.Until(due); wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}

// submit submits a job and records the answer.
func (s *sender) submit(ctx context.Context, j *Job, key string, due time.Time) {
	s.mu.Lock()
	s.result.Sent++
	if time.Since(due) > lateAfter {
		s.result.Late++
	}
	s.due[key] = due
	s.mu.Unlock()
	_, err := s.session.RunJob(ctx, drmaa2.JobTemplate{RemoteCommand: "load", JobCategory: j.Class, AccountingID: j.Tenant,
		ImplementationSpecific: attributes(j, key)})
	s.result.Answered.Record(time.Since(due))
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.due, key)
	var e *drmaa2.Error
	if errors.As(err, &e) {
		s.result.Errors[string(e.Code)]++
	} else {
		s.result.Errors[err.Error()]++
	}
}

// attributes returns what a job template says of a job beyond DRMAA.
func attributes(j *Job, key string) map[string]string {
	all := map[string]string{drmaa2.AttrKey: key}
	if j.Service != "" {
		all[drmaa2.AttrService] = j.Service
	}
	if j.Runtime > 0 {
		all[drmaa2.AttrExpectedRuntime] = j.Runtime.String()
	}
	if j.Cores > 0 {
		all[drmaa2.AttrCores] = fmt.Sprint(j.Cores)
	}
	if j.Memory > 0 {
		all[drmaa2.AttrMemory] = fmt.Sprint(j.Memory)
	}
	return all
}

// recordOutcome records the first outcome of a submission.
func (s *sender) recordOutcome(i *drmaa2.JobInfo) {
	key, outcome := i.ImplementationSpecific[drmaa2.AttrKey], i.ImplementationSpecific[drmaa2.AttrOutcome]
	if outcome == "" {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	due, open := s.due[key]
	if !open {
		return
	}
	delete(s.due, key)
	s.result.Outcomes[outcome]++
	if outcome == outcomePlaced {
		s.result.Placed.Record(now.Sub(due))
	}
}

// awaitOutcomes waits for the outcomes that are open and counts those that do not come in time.
func (s *sender) awaitOutcomes(ctx context.Context, wait time.Duration) {
	deadline := time.Now().Add(wait)
	for s.open() > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		select {
		case <-time.After(outcomePollInterval):
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if open := len(s.due); open > 0 {
		s.result.Outcomes[outcomeUnknown] = open
	}
}

// open returns how many submissions have no outcome yet.
func (s *sender) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.due)
}
