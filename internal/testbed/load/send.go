package load

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
)

const (
	// lateAfter is the delay beyond which a submission counts as late.
	lateThreshold = 10 * time.Millisecond
	// outcomePollInterval is the interval at which the sender checks for open outcomes.
	outcomePollInterval = 10 * time.Millisecond
	// outcomePlaced is the outcome of a placed task in the attributes of a job.
	outcomePlaced = "placed"
	// outcomeUnknown is the key in Result.Outcomes of the submissions whose outcome was not received in time.
	outcomeUnknown = "unknown"
)

// Options configures Send.
type SendOptions struct {
	SessionName    string        // name of the job session, which is created if it does not exist
	Speed          float64       // multiplies the rate of the load; zero means 1
	OutcomeTimeout time.Duration // how long to wait for outcomes after the last submission
	KeyPrefix      string        // of the idempotency keys; must be unique for each call of Send
}

// Send sends a load to a scheduler, open-loop: each submission is sent at its time, whatever the state of earlier ones.
// It returns when all outcomes are known or after Options.Wait. If the context ends, it returns the result so far and the
// error of the context.
func Send(ctx context.Context, client *drmaa2.Client, trace *Trace, opt SendOptions) (*SendResult, error) {
	session, err := openSession(ctx, client, opt.SessionName)
	if err != nil {
		return nil, err
	}
	return newSender(session).send(ctx, trace.Jobs, opt)
}

func openSession(ctx context.Context, client *drmaa2.Client, name string) (*drmaa2.JobSession, error) {
	session, err := client.OpenJobSession(ctx, name)
	if errors.Is(err, drmaa2.ErrInvalidArgument) {
		session, err = client.CreateJobSession(ctx, name)
	}
	if err != nil {
		return nil, fmt.Errorf("load: session: %w", err)
	}
	return session, nil
}

// jobSession is the part of a *drmaa2.JobSession that a sender uses.
type jobSession interface {
	RunJob(ctx context.Context, template drmaa2.JobTemplate) (*drmaa2.Job, error)
	Watch(ctx context.Context, handle func(drmaa2.JobInfo) bool) error
}

// sender sends one load.
type sender struct {
	session jobSession

	mu       sync.Mutex // guards the fields below
	result   *SendResult
	dueTimes map[string]time.Time // intended times of the submissions without an outcome, by key
}

func newSender(session jobSession) *sender {
	return &sender{
		session: session,
		result: &SendResult{
			ResponseLatency:  NewLatencyHistogram(),
			PlacementLatency: NewLatencyHistogram(),
			Errors:           map[string]int{},
			Outcomes:         map[string]int{},
		},
		dueTimes: map[string]time.Time{},
	}
}

// send sends the jobs and returns the result as Send does.
func (s *sender) send(ctx context.Context, jobs []Job, opt SendOptions) (*SendResult, error) {
	stopWatching := s.watch(ctx)
	defer stopWatching()
	s.submitAll(ctx, jobs, opt)
	s.awaitOutcomes(ctx, opt.OutcomeTimeout)
	return s.result, ctx.Err()
}

// watch records outcomes until the function that it returns is called; that function waits for the watch to end.
func (s *sender) watch(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		// After an error of the watch outcomes remain open; the result counts them as unknown.
		_ = s.session.Watch(ctx, func(info drmaa2.JobInfo) bool { s.recordOutcome(&info); return true })
	}()
	return func() {
		cancel()
		<-done
	}
}

// submitAll submits each job at its time and waits for the answers.
func (s *sender) submitAll(ctx context.Context, jobs []Job, opt SendOptions) {
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
		key := fmt.Sprintf("%s-%d", opt.KeyPrefix, i)
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
func (s *sender) submit(ctx context.Context, job *Job, key string, due time.Time) {
	s.mu.Lock()
	s.result.Sent++
	if time.Since(due) > lateThreshold {
		s.result.Late++
	}
	s.dueTimes[key] = due
	s.mu.Unlock()
	_, err := s.session.RunJob(ctx, drmaa2.JobTemplate{RemoteCommand: "load", JobCategory: job.Class, AccountingID: job.Tenant,
		ImplementationSpecific: attributes(job, key)})
	s.result.ResponseLatency.Record(time.Since(due))
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.dueTimes, key)
	var drmaaErr *drmaa2.Error
	if errors.As(err, &drmaaErr) {
		s.result.Errors[string(drmaaErr.Code)]++
	} else {
		s.result.Errors[err.Error()]++
	}
}

// attributes returns the implementation-specific attributes of a job's template.
func attributes(job *Job, key string) map[string]string {
	all := map[string]string{drmaa2.AttrKey: key}
	if job.Service != "" {
		all[drmaa2.AttrService] = job.Service
	}
	if job.Runtime > 0 {
		all[drmaa2.AttrExpectedRuntime] = job.Runtime.String()
	}
	if job.Cores > 0 {
		all[drmaa2.AttrCores] = fmt.Sprint(job.Cores)
	}
	if job.Memory > 0 {
		all[drmaa2.AttrMemory] = fmt.Sprint(job.Memory)
	}
	return all
}

// recordOutcome records the first outcome of a submission.
func (s *sender) recordOutcome(info *drmaa2.JobInfo) {
	key, outcome := info.ImplementationSpecific[drmaa2.AttrKey], info.ImplementationSpecific[drmaa2.AttrOutcome]
	if outcome == "" {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	due, open := s.dueTimes[key]
	if !open {
		return
	}
	delete(s.dueTimes, key)
	s.result.Outcomes[outcome]++
	if outcome == outcomePlaced {
		s.result.PlacementLatency.Record(now.Sub(due))
	}
}

// awaitOutcomes waits for the open outcomes, at most for the given time, and counts the rest as unknown.
func (s *sender) awaitOutcomes(ctx context.Context, wait time.Duration) {
	deadline := time.Now().Add(wait)
	for s.pendingCount() > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		select {
		case <-time.After(outcomePollInterval):
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if open := len(s.dueTimes); open > 0 {
		s.result.Outcomes[outcomeUnknown] = open
	}
}

// open returns how many submissions have no outcome yet.
func (s *sender) pendingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.dueTimes)
}
