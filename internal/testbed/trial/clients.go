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

// requestRetryFor is how long the client library retries a request.
const requestRetryFor = 3 * time.Second

// clients submit the load and account for every submission. There is one connection pool for each scheduler.
type clients struct {
	cluster     *cluster
	begin       time.Time
	pools       []*drmaa2.Client // by scheduler
	submissions sync.WaitGroup   // one goroutine for each submission
	watches     sync.WaitGroup   // one goroutine for each scheduler, which watches its events

	mu        sync.Mutex
	tally     Tally
	open      map[string]*submission // by idempotency key
	loadState fault.LoadModifiers
}

func newClients(c *cluster, begin time.Time) *clients {
	load := &clients{cluster: c, begin: begin, open: map[string]*submission{},
		tally: Tally{Ends: map[string]int{}, Commands: map[string]int{}}}
	for _, p := range c.schedulers {
		pool := drmaa2.NewClient("http://" + p.clientProxy.Addr())
		pool.RetryFor = requestRetryFor
		load.pools = append(load.pools, pool)
	}
	return load
}

// run watches the events and submits the load until the end of the day.
func (c *clients) run(ctx context.Context) {
	for scheduler := range c.pools {
		c.watches.Go(func() { c.watch(ctx, scheduler) })
	}
	var loads sync.WaitGroup
	for i := range c.cluster.day.Loads {
		loads.Go(func() { c.submitLoad(ctx, i) })
	}
	loads.Wait()
}

// settle waits until all submissions are accounted for, and for the rest of the day, in which running jobs may end.
func (c *clients) settle(ctx context.Context) {
	c.submissions.Wait()
	sleepUntil(ctx, c.begin.Add(scenario.Seconds(c.cluster.day.LoadSeconds+c.cluster.day.WaitSeconds)))
}

// close waits for the watches, whose context must be canceled before, and closes all connections.
func (c *clients) close() {
	c.watches.Wait()
	for _, pool := range c.pools {
		pool.Close()
	}
}

// result returns the tally, after close.
func (c *clients) result() Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tally
}

// submitLoad sends the submissions of one load at their times, without waiting for earlier ones.
func (c *clients) submitLoad(ctx context.Context, index int) {
	class := c.cluster.day.Loads[index].Class
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

// loadNow returns the factor of the load of a class and the fraction that goes to one service, by the present faults.
func (c *clients) loadNow(class string) (factor, hotServiceFraction float64) {
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

// watch handles the events of the session at one scheduler, over all its incarnations.
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

// canceledOutcome is the name on the wire of the outcome of a placement request that its client has canceled.
const canceledOutcome = "withdrawn"

// jobChanged handles an event of a job.
func (c *clients) jobChanged(info *drmaa2.JobInfo) {
	attributes := info.ImplementationSpecific
	outcome := attributes[drmaa2.AttrOutcome]
	if outcome == "" || outcome == canceledOutcome && !info.JobState.Terminated() {
		return // held by its client: another placement request follows
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.open[attributes[drmaa2.AttrKey]]
	if s == nil {
		return
	}
	request := info.JobID + "#" + attributes[drmaa2.AttrPlacementRequests]
	if earlier := s.outcomes[request]; earlier != "" && earlier != outcome {
		c.tally.Duplicates++
	}
	s.outcomes[request] = outcome
	if s.firstOutcome == "" {
		s.firstOutcome = countformat.OutcomeTerm(outcome)
		close(s.hasOutcome)
	}
}
