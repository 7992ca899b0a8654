// Package baseline has simple placement strategies to compare the module with in experiments. They obey the module's hard
// constraints and use nothing else: no evidence of faults, no replay of placements, no preferred machines. They are not
// meant for a daemon.
//
// The package may share the types of package flaxshelf with the module, but none of its formulas and not its index: it
// computes eligibility, retry safety, spread and the slow-start budget by itself, by plain scans. In an experiment a fault in
// a shared formula would affect both sides alike and so stay unseen; and stored results remain comparable only while a change
// of the module leaves the baseline as it is.
package baseline

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf"
)

// Strategy is the rule by which a machine is chosen among those that the constraints allow.
type Strategy string

// The strategies. The load of a machine is what this scheduler's own tasks and attempts request there.
const (
	Random      Strategy = "random"
	TwoChoices  Strategy = "two-choices" // the less loaded of two random machines
	LeastLoaded Strategy = "least-asked"
)

// Strategies lists all strategies.
var Strategies = []Strategy{Random, TwoChoices, LeastLoaded}

// UnknownStrategyError is returned by New for a strategy that is not among Strategies.
type UnknownStrategyError struct{ Strategy Strategy }

func (e *UnknownStrategyError) Error() string {
	return fmt.Sprintf("baseline: no strategy %q, there are %v", e.Strategy, Strategies)
}

const (
	// discoveryRetryDelay is the pause before the next request to the inventory after one that failed.
	discoveryRetryDelay = 500 * time.Millisecond
	// placementRetryDelay is the pause before the next attempt to place a task that no machine may take now.
	placementRetryDelay = 40 * time.Millisecond
	// rejectionBackoff is how long a machine gets no offers after one did not reach it or was rejected by it.
	rejectionBackoff = 500 * time.Millisecond
	// minDiscoveryTimeout is the least time that the inventory has to answer.
	minDiscoveryTimeout = time.Second
	// minAttemptTimeout is the least time that an attempt has if others may follow it.
	minAttemptTimeout = 50 * time.Millisecond
)

// randomStream is the second half of the generator's seed. Recordings depend on it.
const randomStream = 0xba5e

// Placer places tasks by a strategy. It implements scheduler.Module, as flaxshelf.Placer does. Not safe for concurrent use.
type Placer struct {
	cfg      flaxshelf.Config
	rng      *rand.Rand
	strategy Strategy

	now          flaxshelf.Time
	started      bool
	startedAt    flaxshelf.Time // of the first step
	nextPoll     flaxshelf.Time // of the inventory; 0: its watch is established
	machines     map[string]*machine
	machineOrder []*machine // by identifier
	tasks        map[string]*task
	pending      []*task // without an answer, in order of arrival

	// Of the step in progress:
	actions   []flaxshelf.Action
	nextTimer time.Duration // from now; 0: none
}

// machine is a machine with what this scheduler knows of it.
type machine struct {
	flaxshelf.Machine
	requestedCores, requestedMemory float64 // requested by this scheduler's attempts and tasks
	tasksByService                  map[string]int
	slowStartOffers                 []flaxshelf.Time // during slow start
	backoffUntil                    flaxshelf.Time
}

// attempt is an offer of a task to a machine.
type attempt struct {
	machine  *machine
	sentAt   flaxshelf.Time
	open     bool
	neverRan bool // it ended with proof of that
	placed   bool
}

type task struct {
	flaxshelf.Task
	class    *flaxshelf.TaskClass
	attempts []attempt
	answered bool // it needs no further attempt
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

// Step handles events and returns actions, as the module's Step does.
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

// wakeAfter has the timer of this step fire after the delay at the latest.
func (c *Placer) setTimerWithin(delay time.Duration) {
	if delay = max(delay, 1); c.nextTimer == 0 || delay < c.nextTimer {
		c.nextTimer = delay
	}
}
