package trial

import (
	"context"
	"sync"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/testbed/countformat"
	"flaxshelf.example/flaxshelf/internal/testbed/fault"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// requestRetryFor is how long the client library retries a request that gets no response.
const requestRetryFor = 3 * time.Second

// clients submits the load of a day and keeps account of how each submission ends for its client. It has one connection pool for
// each scheduler.
type clients struct {
	cluster     *cluster
	startTime   time.Time
	pools       []*drmaa2.Client // by scheduler
	submissions sync.WaitGroup   // one goroutine for each submission
	watches     sync.WaitGroup   // one goroutine for each scheduler, which receives its job events

	mu              sync.Mutex
	stats           ClientStats
	openSubmissions map[string]*submission // by idempotency key
	loadState       fault.LoadModifiers
}

func newClients(deployment *cluster, startTime time.Time) *clients {
	created := &clients{cluster: deployment, startTime: startTime, openSubmissions: map[string]*submission{},
		stats: ClientStats{EndCounts: map[string]int{}, CommandCounts: map[string]int{}}}
	for _, p := range deployment.schedulers {
		pool := drmaa2.NewClient("http://" + p.clientProxy.Addr())
		pool.RetryFor = requestRetryFor
		created.pools = append(created.pools, pool)
	}
	return created
}

// run starts to watch the job events, and submits the load until the end of the day. It does not wait for outcomes.
func (c *clients) run(ctx context.Context) {
	for scheduler := range c.pools {
		c.watches.Go(func() { c.watchSession(ctx, scheduler) })
	}
	var loads sync.WaitGroup
	for i := range c.cluster.day.Loads {
		loads.Go(func() { c.submitLoad(ctx, i) })
	}
	loads.Wait()
}

// awaitEndOfDay waits until all submissions are accounted for, and then for the rest of the day and of the period after it, in
// which running jobs may end.
func (c *clients) awaitEndOfDay(ctx context.Context) {
	c.submissions.Wait()
	sleepUntil(ctx, c.startTime.Add(scenario.Seconds(c.cluster.day.LoadSeconds+c.cluster.day.WaitSeconds)))
}

// close waits for the watches and closes all connections. The context of run must have been canceled.
func (c *clients) close() {
	c.watches.Wait()
	for _, pool := range c.pools {
		pool.Close()
	}
}

// finalStats returns the counts; they are complete after close.
func (c *clients) finalStats() ClientStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// submitLoad sends each submission of a load at its time, whether or not earlier ones have an outcome (open loop).
func (c *clients) submitLoad(ctx context.Context, index int) {
	class := c.cluster.day.Loads[index].Class
	arrivals := c.cluster.day.Arrivals(index, c.cluster.options.Seed)
	for {
		arrival, ok := arrivals.Next(c.currentLoad(class))
		if !ok {
			return
		}
		due := c.startTime.Add(arrival.At)
		sleepUntil(ctx, due)
		if canceled(ctx) {
			return
		}
		c.submissions.Go(func() { c.runSubmission(ctx, &arrival, due) })
	}
}

// currentLoad returns the factor by which the current faults change the load of a class, and the fraction of the load that they
// direct to one service.
func (c *clients) currentLoad(class string) (factor, hotServiceFraction float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loadState.ForClass(class)
}

func (c *clients) setLoadFactor(class string, factor float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loadState.SetFactor(class, factor)
}

func (c *clients) setHotServiceFraction(class string, fraction float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loadState.SetHotServiceFraction(class, fraction)
}

// watchSession handles the job events of the session at one scheduler, over all its incarnations.
func (c *clients) watchSession(ctx context.Context, scheduler int) {
	for !canceled(ctx) {
		session, err := c.session(ctx, scheduler)
		if err != nil {
			continue
		}
		// The error is ignored: a stream that breaks is opened again.
		_ = session.Watch(ctx, func(info drmaa2.JobInfo) bool {
			c.handleJobEvent(&info)
			return true
		})
	}
}

// canceledOutcome is the outcome, as written on the wire, of a placement request that its client has canceled.
const canceledOutcome = "withdrawn"

// handleJobEvent records the outcome that an event reports, if any, and counts a second, different outcome of the same placement
// request as a duplicate.
func (c *clients) handleJobEvent(info *drmaa2.JobInfo) {
	attributes := info.ImplementationSpecific
	outcome := attributes[drmaa2.AttrOutcome]
	if outcome == "" || outcome == canceledOutcome && !info.JobState.Terminated() {
		return // the client holds the job; after the release another placement request follows
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.openSubmissions[attributes[drmaa2.AttrKey]]
	if s == nil {
		return
	}
	requestKey := info.JobID + "#" + attributes[drmaa2.AttrPlacementRequests]
	if earlier := s.outcomes[requestKey]; earlier != "" && earlier != outcome {
		c.stats.DuplicateOutcomes++
	}
	s.outcomes[requestKey] = outcome
	if s.firstOutcome == "" {
		s.firstOutcome = countformat.OutcomeTerm(outcome)
		close(s.outcomeReported)
	}
}
