package requests

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/admission"
	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

// Core is the state machine of one scheduler on the platform. Its host calls Step with what has happened and carries out
// the effects that Step returns. It is not safe for concurrent use.
type Core struct {
	config Config
	placer *flaxshelf.Placer
	now    Time
	timers timerqueue.Timers
	stats  Stats

	effects       []Effect          // of the current step
	pendingEvents []flaxshelf.Event // for the module's next step
	moduleTimerAt Time              // when the module wants a TimerFired event; 0: never

	tasks         map[string]*task
	owners        map[Conn]*ownerConnection
	admission     *admission.Control
	idleTimer     *timerqueue.Timer // of the next check for idle owners' connections
	activityCount uint64            // how often an owner's connection was marked active

	undelivered  []*Terminated // notifications that no owner's connection could be found for
	preAdoption  preAdoptionTerminations
	shuttingDown bool

	nodes      map[string]*node
	links      map[Link]*link
	lastLinkID Link
	watch      discoveryWatch
}

// New makes the core of one scheduler. A setting that is out of range gives a *ConfigError, one that the module rejects a
// wrapped error of the module.
func New(config Config) (*Core, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	placer, err := flaxshelf.New(config.Module, config.Seed)
	if err != nil {
		return nil, fmt.Errorf("requests: module settings: %w", err)
	}
	return &Core{
		config:    config,
		placer:    placer,
		tasks:     map[string]*task{},
		owners:    map[Conn]*ownerConnection{},
		admission: admission.New(config.Admission),
		nodes:     map[string]*node{},
		links:     map[Link]*link{},
		watch:     discoveryWatch{rng: rand.New(rand.NewPCG(config.Seed, 1))},
	}, nil
}

// maxModuleRounds bounds how often one Step runs the module: an action of the module may cause its next event at once, such
// as an offer to a node that was removed.
const maxModuleRounds = 8

// Step handles what has happened, in order, and returns the effects to carry out and when to step again at the latest
// (0: only for new inputs). The effects are valid until the next step.
func (c *Core) Step(now Time, inputs []Input) ([]Effect, Time) {
	c.now = max(now, c.now)
	c.effects = c.effects[:0]
	c.startWatch()
	// Inputs go before timers: a process that was stopped for a while must not take responses for late that arrived in time.
	for _, in := range inputs {
		in.apply(c)
	}
	c.timers.RunDue(c.now)
	c.runModule()
	return c.effects, c.nextDeadline()
}

// runModule passes the events of this step to the module and executes its actions.
func (c *Core) runModule() {
	for range maxModuleRounds {
		if c.moduleTimerAt > 0 && c.moduleTimerAt <= c.now {
			c.moduleTimerAt = 0
			c.notifyModule(flaxshelf.TimerFired{})
		}
		if len(c.pendingEvents) == 0 {
			return
		}
		events := c.pendingEvents
		c.pendingEvents = nil
		actions := c.placer.Step(c.now, events)
		if c.config.RecordStep != nil {
			c.config.RecordStep(c.now, events, actions)
		}
		flaxshelf.HandleActions(actions, actionHandler{c})
	}
}

// nextDeadline is when the core has to step again without new inputs; 0: never.
func (c *Core) nextDeadline() Time {
	if len(c.pendingEvents) > 0 {
		return c.now + 1
	}
	next := c.moduleTimerAt
	if at, ok := c.timers.Next(); ok && (next == 0 || at < next) {
		next = at
	}
	return next
}

// emit adds an effect to those of the current step.
func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

// notifyModule queues an event for the module's next step.
func (c *Core) notifyModule(event flaxshelf.Event) { c.pendingEvents = append(c.pendingEvents, event) }

// Idle reports whether no request waits for its response.
func (c *Core) Idle() bool { return c.stats.Pending == 0 }

// Stats returns the current gauges and the counters since the start.
func (c *Core) Stats() Stats {
	stats := c.stats
	stats.Owners = len(c.owners)
	stats.Nodes = len(c.nodes)
	stats.Links = len(c.links)
	return stats
}

// sortedValues lists the values of a map in a fixed order, so that effects don't depend on the order of a map.
func sortedValues[K comparable, V any](m map[K]V, compare func(a, b V) int) []V {
	values := make([]V, 0, len(m))
	for _, value := range m {
		values = append(values, value)
	}
	slices.SortFunc(values, compare)
	return values
}
