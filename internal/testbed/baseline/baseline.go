// Package baseline has simple placement strategies with which experiments compare flaxshelf.Placer. The strategies satisfy
// the same hard constraints and use nothing else: no evidence of faults, no replay votes and no affinity. They are not meant
// for production.
//
// The package uses the types of package flaxshelf, but must not use its calculations or its index. It computes eligibility,
// retry safety, spread and the slow-start budget itself, by linear scans. A fault in shared code would affect both sides of an
// experiment in the same way and so stay unnoticed. Besides, stored results remain comparable only if the baselines don't
// change with flaxshelf.Placer.
package baseline

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf"
)

// Strategy is the rule that chooses among the machines that satisfy the hard constraints.
type Strategy string

// The strategies. The load of a machine is the fraction of its resources that this scheduler's tasks and attempts request.
const (
	Random      Strategy = "random"      // a random machine
	TwoChoices  Strategy = "two-choices" // the less loaded of two random machines
	LeastLoaded Strategy = "least-asked" // the least loaded machine
)

// Strategies lists all strategies.
var Strategies = []Strategy{Random, TwoChoices, LeastLoaded}

// UnknownStrategyError reports a strategy that Strategies does not contain.
type UnknownStrategyError struct{ Strategy Strategy }

// Error returns the unknown strategy and the list of strategies.
func (e *UnknownStrategyError) Error() string {
	return fmt.Sprintf("baseline: unknown strategy %q, want one of %q", e.Strategy, Strategies)
}

const (
	// discoveryRetryDelay is the delay before the next subscription to the inventory after a failure.
	discoveryRetryDelay = 500 * time.Millisecond
	// placementRetryDelay is the delay before the next attempt to place a task for which no machine is eligible.
	placementRetryDelay = 40 * time.Millisecond
	// rejectionBackoff is how long a machine gets no offers after it has rejected one or one could not be delivered.
	rejectionBackoff = 500 * time.Millisecond
	// minDiscoveryTimeout is the least time for which the inventory may leave a subscription unanswered.
	minDiscoveryTimeout = time.Second
	// minAttemptTimeout is the least timeout of an attempt that another one may follow.
	minAttemptTimeout = 50 * time.Millisecond
)

// randomStream is the second word of the random number generator's seed. A change would change recorded decisions.
const randomStream = 0xba5e

// Placer places tasks by a strategy. It implements scheduler.Module, as flaxshelf.Placer does. Not safe for concurrent use.
type Placer struct {
	cfg      flaxshelf.Config
	rng      *rand.Rand
	strategy Strategy

	now          flaxshelf.Time
	started      bool
	startedAt    flaxshelf.Time // time of the first step
	nextPoll     flaxshelf.Time // next subscription to the inventory; 0: the watch is established
	machines     map[string]*machine
	machineOrder []*machine // sorted by ID
	tasks        map[string]*task
	pending      []*task // tasks without an answer, in the order of arrival

	// State of the step in progress:
	actions   []flaxshelf.Action
	nextTimer time.Duration // time from now; 0: no timer
}

// machine is an entry of the machine list with this scheduler's requests and offers.
type machine struct {
	flaxshelf.Machine
	requestedCores, requestedMemory float64 // total of this scheduler's attempts and tasks
	tasksByService                  map[string]int
	slowStartOffers                 []flaxshelf.Time // times of recent offers during slow start
	backoffUntil                    flaxshelf.Time
}

// attempt is an offer of a task to a machine.
type attempt struct {
	machine  *machine
	sentAt   flaxshelf.Time
	open     bool
	neverRan bool // it ended with proof that the task never ran
	placed   bool // the machine has accepted or adopted the task
}

// task is a task that is not answered or has an open attempt.
type task struct {
	flaxshelf.Task
	class    *flaxshelf.TaskClass
	attempts []attempt
	answered bool // it is placed, canceled or answered, and needs no further attempt
}

// New returns a Placer, or an *UnknownStrategyError if Strategies does not contain the strategy.
func New(strategy Strategy, cfg flaxshelf.Config, seed uint64) (*Placer, error) {
	if !slices.Contains(Strategies, strategy) {
		return nil, &UnknownStrategyError{strategy}
	}
	return &Placer{
		cfg:      cfg,
		strategy: strategy,
		rng:      rand.New(rand.NewPCG(seed, randomStream)),
		machines: map[string]*machine{},
		tasks:    map[string]*task{},
	}, nil
}

// Step handles events and returns actions. It implements scheduler.Module.
func (c *Placer) Step(now flaxshelf.Time, events []flaxshelf.Event) []flaxshelf.Action {
	if !c.started {
		c.started, c.startedAt, c.nextPoll = true, now, now
	}
	c.now, c.actions, c.nextTimer = now, nil, 0
	for _, e := range events {
		c.handle(e)
	}
	if c.nextPoll > 0 && now >= c.nextPoll {
		c.nextPoll = now + max(c.cfg.DiscoveryPollDeadline, minDiscoveryTimeout)
		c.actions = append(c.actions, flaxshelf.Subscribe{})
	}
	for _, t := range c.pending {
		c.process(t)
	}
	c.pending = slices.DeleteFunc(c.pending, func(t *task) bool { return t.answered })
	if c.nextPoll > 0 {
		c.setTimerWithin(c.nextPoll - now)
	}
	if c.nextTimer > 0 {
		c.actions = append(c.actions, flaxshelf.SetTimer{After: c.nextTimer})
	}
	return c.actions
}

// setTimerWithin makes the timer of this step fire after the delay at the latest.
func (c *Placer) setTimerWithin(delay time.Duration) {
	if delay = max(delay, 1); c.nextTimer == 0 || delay < c.nextTimer {
		c.nextTimer = delay
	}
}
