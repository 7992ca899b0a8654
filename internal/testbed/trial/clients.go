package trial

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/testbed/fault"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// sessionName is the job session in which a trial's clients submit.
const sessionName = "trial"

const (
	// outcomeGrace is how much longer than its outcome is due a client waits for it.
	outcomeGrace = 2 * time.Second
	// lateAfter is the delay from which a submission counts as sent late.
	lateAfter = 50 * time.Millisecond
	// requestRetryFor is how long a client's library retries a request.
	requestRetryFor = 3 * time.Second
	// pollInterval is how often a client looks whether its scheduler was killed.
	pollInterval = 100 * time.Millisecond
	// sessionRetryPause and releaseRetryPause come before a client's own retries.
	sessionRetryPause = 50 * time.Millisecond
	releaseRetryPause = 100 * time.Millisecond
)

// clients submit the load and account for every submission. They have one connection pool for each scheduler.
type clients struct {
	cluster     *cluster
	begin       time.Time
	pools       []*drmaa2.Client // by scheduler
	submissions sync.WaitGroup   // goroutines with a submission each
	watches     sync.WaitGroup   // goroutines that follow the events of a scheduler

	mu        sync.Mutex
	tally     Tally
	open      map[string]*submission // by idempotency key
	loadState fault.LoadState
}

// submission is one job as its client sees it. The fields are guarded by clients.mu.
type submission struct {
	outcomes     map[string]string // by job and placement request
	firstOutcome string
	hasOutcome   chan struct{} // closed at the first outcome
}

func newClients(c *cluster, begin time.Time) *clients {
	load := &clients{cluster: c, begin: begin, open: map[string]*submission{},
		tally: Tally{Ends: map[string]int{}, Verbs: map[string]int{}}}
	for _, p := range c.schedulers {
		pool := drmaa2.NewClient("http://" + p.clientProxy.Addr())
		pool.RetryFor = requestRetryFor
		load.pools = append(load.pools, pool)
	}
	return load
}

// run submits the load until the end of the day.
func (c *clients) run(ctx context.Context) {
	for scheduler := range c.pools {
		c.watches.Go(func() { c.watch(ctx, scheduler) })
	}
	var loads sync.WaitGroup
	for i := range c.cluster.day.Load {
		loads.Go(func() { c.submitLoad(ctx, i) })
	}
	loads.Wait()
}

// settle waits until what was submitted is accounted for, and for the rest of the day, in which running jobs may end.
func (c *clients) settle(ctx context.Context) {
	c.submissions.Wait()
	sleepUntil(ctx, c.begin.Add(scenario.Seconds(c.cluster.day.Seconds+c.cluster.day.After)))
}

// close waits for the watches, whose context must be canceled, and closes all connections.
func (c *clients) close() {
	c.watches.Wait()
	for _, pool := range c.pools {
		pool.Close()
	}
}

// result is the tally, once all is closed.
func (c *clients) result() Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tally
}

// submitLoad sends the submissions of one load at their times, whatever becomes of them.
func (c *clients) submitLoad(ctx context.Context, index int) {
	class := c.cluster.day.Load[index].Class
	arrivals := c.cluster.day.Arrivals(index, c.cluster.opt.Seed)
	for {
		arrival, ok := arrivals.Next(c.loadNow(class))
		if !ok {
			return
		}
		due := c.begin.Add(arrival.At)
		sleepUntil(ctx, due)
		if canceled(ctx) {
			return
		}
		c.submissions.Go(func() { c.runSubmission(ctx, &arrival, due) })
	}
}

// loadNow is the factor of a class's load and the share of one service, by the faults of the present.
func (c *clients) loadNow(class string) (factor, hotServiceShare float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loadState.Of(class)
}

func (c *clients) setLoadFactor(class string, factor float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loadState.SetFactor(class, factor)
}

func (c *clients) setHotServiceShare(class string, share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loadState.SetHotServiceShare(class, share)
}

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

func (c *clients) placementTimeout(class string) time.Duration {
	for i := range c.cluster.day.Classes {
		if c.cluster.day.Classes[i].Name == class {
			return c.cluster.day.Classes[i].PlacementTimeout.Duration()
		}
	}
	return 0
}

// runSubmission submits one job and accounts for it.
func (c *clients) runSubmission(ctx context.Context, arrival *scenario.Arrival, due time.Time) {
	s := &submission{outcomes: map[string]string{}, hasOutcome: make(chan struct{})}
	c.mu.Lock()
	c.open[arrival.Key] = s
	c.tally.Submitted++
	if time.Since(due) > lateAfter {
		c.tally.Late++
	}
	c.mu.Unlock()
	deadline := due.Add(c.placementTimeout(arrival.Load.Class) + c.cluster.day.Rules.AnswerSlack.Duration() + outcomeGrace)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(outcomeGrace))
	defer cancel()
	end := c.submitUntilOutcome(ctx, arrival, s, deadline)

	c.mu.Lock()
	defer c.mu.Unlock()
	if s.firstOutcome != "" {
		end = s.firstOutcome
	}
	if end == endNoOutcome {
		c.tally.Open++
		c.cluster.opt.Note("no outcome was heard for %s", arrival.Key)
	}
	c.tally.Ends[end]++
	delete(c.open, arrival.Key)
}

// submitUntilOutcome submits a job, and again to each incarnation of its scheduler until there is an outcome. It returns
// how the submission ended if there is none.
func (c *clients) submitUntilOutcome(ctx context.Context, arrival *scenario.Arrival, s *submission,
	deadline time.Time) string {
	process := c.cluster.schedulers[arrival.Scheduler]
	for retry := false; ; retry = true {
		incarnation := process.incarnation()
		job, err := c.submit(ctx, arrival, retry)
		if err != nil {
			return endRejected + errorText(err)
		}
		if !retry {
			c.command(ctx, job, arrival)
		}
		killed := c.awaitOutcome(ctx, s, process, incarnation, deadline)
		switch {
		case s.isDecided():
			return endNoOutcome // which the first outcome replaces
		case killed && time.Now().After(deadline):
			return endKilled
		case !killed:
			return endNoOutcome
		}
	}
}

func (s *submission) isDecided() bool {
	select {
	case <-s.hasOutcome:
		return true
	default:
		return false
	}
}

// awaitOutcome waits for the outcome. It reports whether the scheduler that admitted the job has been killed, so that the
// client submits to the next incarnation.
func (c *clients) awaitOutcome(ctx context.Context, s *submission, process *process, incarnation int,
	deadline time.Time) bool {
	for {
		select {
		case <-s.hasOutcome:
			return false
		case <-ctx.Done():
			return process.incarnation() != incarnation || !process.isRunning()
		case <-time.After(pollInterval):
			if process.incarnation() != incarnation {
				return true
			}
			if time.Now().After(deadline) {
				return !process.isRunning()
			}
		}
	}
}

// submit makes the session where a new incarnation of the scheduler has none.
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

// session opens or creates the session at a scheduler, and retries until the context is canceled.
func (c *clients) session(ctx context.Context, scheduler int) (*drmaa2.JobSession, error) {
	pool := c.pools[scheduler]
	for {
		session, err := pool.OpenJobSession(ctx, sessionName)
		if errors.Is(err, drmaa2.ErrInvalidArgument) {
			session, err = pool.CreateJobSession(ctx, sessionName)
		}
		switch {
		case errors.Is(err, drmaa2.ErrInvalidArgument): // another client has just created it
			continue
		case !errors.Is(err, drmaa2.ErrDrmCommunication):
			return session, err
		}
		sleep(ctx, sessionRetryPause)
		if err := ctx.Err(); err != nil {
			return nil, err
		}
	}
}

// command terminates some jobs, and holds and releases some, while they are being placed.
func (c *clients) command(ctx context.Context, job *drmaa2.Job, arrival *scenario.Arrival) {
	load := arrival.Load
	switch {
	case arrival.ControlDraw < load.Terminate:
		sleep(ctx, arrival.ControlDelay)
		c.countCommand("terminate", job.Terminate(ctx))
	case arrival.ControlDraw < load.Terminate+load.Hold:
		err := job.Hold(ctx)
		c.countCommand("hold", err)
		if err == nil || errors.Is(err, drmaa2.ErrDrmCommunication) { // without a response it may be held
			sleep(ctx, arrival.ControlDelay)
			c.countCommand("release", release(ctx, job))
		}
	}
}

// release retries while connections break: the job would be held for good.
func release(ctx context.Context, job *drmaa2.Job) error {
	for {
		err := job.Release(ctx)
		if !errors.Is(err, drmaa2.ErrDrmCommunication) || canceled(ctx) {
			return err
		}
		sleep(ctx, releaseRetryPause)
	}
}

func (c *clients) countCommand(name string, err error) {
	if err != nil {
		name += " (" + errorText(err) + ")"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Verbs[name]++
}

// watch follows the session's events at one scheduler over all its incarnations.
func (c *clients) watch(ctx context.Context, scheduler int) {
	for !canceled(ctx) {
		session, err := c.session(ctx, scheduler)
		if err != nil {
			continue
		}
		// A stream that breaks is opened again.
		_ = session.Watch(ctx, func(info drmaa2.JobInfo) bool {
			c.jobChanged(&info)
			return true
		})
	}
}

// withdrawnOutcome is the outcome of a placement request that its client has ended.
const withdrawnOutcome = "withdrawn"

// jobChanged takes an event of a job.
func (c *clients) jobChanged(info *drmaa2.JobInfo) {
	attributes := info.ImplementationSpecific
	outcome := attributes[drmaa2.AttrOutcome]
	if outcome == "" || outcome == withdrawnOutcome && !info.JobState.Terminated() {
		return // held by its client: another request follows
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.open[attributes[drmaa2.AttrKey]]
	if s == nil {
		return
	}
	request := info.JobID + "#" + attributes[drmaa2.AttrPlacementRequests]
	if earlier := s.outcomes[request]; earlier != "" && earlier != outcome {
		c.tally.Doubles++
	}
	s.outcomes[request] = outcome
	if s.firstOutcome == "" {
		s.firstOutcome = outcome
		close(s.hasOutcome)
	}
}
