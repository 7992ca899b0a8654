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
	// lateThreshold is the delay after the intended time beyond which a submission counts as late.
	lateThreshold = 10 * time.Millisecond
	// pendingPollInterval is the interval at which the sender checks whether submissions without an outcome remain.
	pendingPollInterval = 10 * time.Millisecond
	// outcomePlaced is the value of drmaa2.AttrOutcome for a placed task.
	outcomePlaced = "placed"
	// outcomeUnknown is the key in SendResult.Outcomes for submissions whose outcome was not received in time.
	outcomeUnknown = "unknown"
)

// SendOptions configures Send.
type SendOptions struct {
	SessionName    string        // name of the job session, which is created if it does not exist
	Speed          float64       // factor by which the trace is sent faster; zero or less means 1
	OutcomeTimeout time.Duration // how long to wait for outcomes after the last submission
	KeyPrefix      string        // prefix of the idempotency keys; must be unique for each call of Send
}

// Send submits the jobs of a trace to a scheduler, open-loop: each is submitted at its intended time, even if earlier
// submissions have not been answered. Send returns when all outcomes are known, or SendOptions.OutcomeTimeout after the last
// submission was answered. If the context ends, it returns the result so far and the context's error.
func Send(ctx context.Context, client *drmaa2.Client, trace *Trace, opt SendOptions) (*SendResult, error) {
	session, err := openSession(ctx, client, opt.SessionName)
	if err != nil {
		return nil, err
	}
	return newSender(session).send(ctx, trace.Jobs, opt)
}

// openSession opens the job session, or creates it if it does not exist.
func openSession(ctx context.Context, client *drmaa2.Client, name string) (*drmaa2.JobSession, error) {
	session, err := client.OpenJobSession(ctx, name)
	if errors.Is(err, drmaa2.ErrInvalidArgument) {
		session, err = client.CreateJobSession(ctx, name)
	}
	if err != nil {
		return nil, fmt.Errorf("load: open job session %q: %w", name, err)
	}
	return session, nil
}

// jobSession is the subset of *drmaa2.JobSession that a sender uses.
type jobSession interface {
	RunJob(ctx context.Context, template drmaa2.JobTemplate) (*drmaa2.Job, error)
	Watch(ctx context.Context, handle func(drmaa2.JobInfo) bool) error
}

// sender submits the jobs of one trace and collects the result.
type sender struct {
	session jobSession

	mu       sync.Mutex // guards the fields below
	result   *SendResult
	dueTimes map[string]time.Time // intended times of submissions without an outcome yet, by idempotency key
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

// send submits the jobs; see Send.
func (s *sender) send(ctx context.Context, jobs []Job, opt SendOptions) (*SendResult, error) {
	stopWatching := s.watch(ctx)
	defer stopWatching()
	s.submitAll(ctx, jobs, opt)
	s.awaitOutcomes(ctx, opt.OutcomeTimeout)
	return s.result, ctx.Err()
}

// watch starts to record outcomes in the background. The returned function ends this and waits until the watch has stopped.
func (s *sender) watch(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		// If the watch fails, the remaining outcomes are not received, and the result counts them as unknown.
		_ = s.session.Watch(ctx, func(info drmaa2.JobInfo) bool { s.recordOutcome(&info); return true })
	}()
	return func() {
		cancel()
		<-done
	}
}

// submitAll submits each job at its intended time and waits until all submissions are answered. It stops submitting when the
// context ends.
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

// waitUntil waits until the given time. It returns false if the context ends first.
func waitUntil(ctx context.Context, due time.Time) bool {
	if wait := time.Until(due); wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}

// submit submits a job, and records the response latency and any error.
func (s *sender) submit(ctx context.Context, job *Job, key string, due time.Time) {
	s.mu.Lock()
	s.result.Sent++
	if time.Since(due) > lateThreshold {
		s.result.Late++
	}
	s.dueTimes[key] = due
	s.mu.Unlock()
	_, err := s.session.RunJob(ctx, drmaa2.JobTemplate{RemoteCommand: "load", JobCategory: job.Class, AccountingID: job.Tenant,
		ImplementationSpecific: jobAttributes(job, key)})
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

// jobAttributes returns the implementation-specific attributes of a job's template. Attributes that the job does not set are
// omitted.
func jobAttributes(job *Job, key string) map[string]string {
	attributes := map[string]string{drmaa2.AttrKey: key}
	if job.Service != "" {
		attributes[drmaa2.AttrService] = job.Service
	}
	if job.Runtime > 0 {
		attributes[drmaa2.AttrExpectedRuntime] = job.Runtime.String()
	}
	if job.Cores > 0 {
		attributes[drmaa2.AttrCores] = fmt.Sprint(job.Cores)
	}
	if job.Memory > 0 {
		attributes[drmaa2.AttrMemory] = fmt.Sprint(job.Memory)
	}
	return attributes
}

// recordOutcome counts the first outcome of each submission, and records the placement latency if the task was placed.
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

// awaitOutcomes waits at most for the given time for outcomes that are still missing, and counts the rest as unknown.
func (s *sender) awaitOutcomes(ctx context.Context, wait time.Duration) {
	deadline := time.Now().Add(wait)
	for s.pendingCount() > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		select {
		case <-time.After(pendingPollInterval):
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if open := len(s.dueTimes); open > 0 {
		s.result.Outcomes[outcomeUnknown] = open
	}
}

// pendingCount returns the number of accepted or unanswered submissions without an outcome.
func (s *sender) pendingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.dueTimes)
}
