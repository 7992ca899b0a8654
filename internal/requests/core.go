package requests

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/admission"
	"flaxshelf.example/flaxshelf/internal/bytebudget"
	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

// Core is the state machine of one scheduler on the platform. The caller passes inputs to Step and executes the effects that
// Step returns. A Core is not safe for concurrent use.
type Core struct {
	config Config
	placer *flaxshelf.Placer
	now    Time
	timers timerqueue.Timers
	rng    *rand.Rand // for the jitter of backoffs
	stats  Stats

	effects       []Effect          // of the current step
	pendingEvents []flaxshelf.Event // for the placer's next step
	placerTimerAt Time              // when the placer receives its next TimerFired event; 0: never

	tasks            map[string]*task           // by task ID
	pendingBytes     *bytebudget.Budget[ConnID] // of pending requests
	owners           map[ConnID]*ownerConnection
	admission        *admission.Control
	idleTimer        *timerqueue.Timer // runs closeIdleOwners
	lastConfirmedSeq uint64            // the last ownerConnection.confirmedSeq that was assigned

	undelivered      undeliveredNotifications
	undeliveredTimer *timerqueue.Timer // runs sendAfterGrace
	preAdoption      preAdoptionTerminations
	shuttingDown     bool

	listedAdoptions   *adoptionPool // adopted tasks that no node has confirmed, on nodes that a list has contained
	unlistedAdoptions *adoptionPool // those on other nodes

	nodes      map[string]*node // by machine ID
	links      map[LinkID]*link
	lastLinkID LinkID
	watch      discoveryWatch
}

// New returns the Core of one scheduler. The error is a *ConfigError if a setting of this package is out of range, and wraps
// the error of flaxshelf.New if the placer rejects its settings.
func New(config Config) (*Core, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	placer, err := flaxshelf.New(config.Placer, config.Seed)
	if err != nil {
		return nil, fmt.Errorf("requests: placer settings: %w", err)
	}
	return &Core{
		config:       config,
		placer:       placer,
		tasks:        map[string]*task{},
		pendingBytes: bytebudget.New[ConnID](config.MaxPendingBytes, config.Admission.MaxConnections),
		owners:       map[ConnID]*ownerConnection{},
		admission:    admission.New(config.Admission),
		nodes:        map[string]*node{},
		links:        map[LinkID]*link{},
		rng:          rand.New(rand.NewPCG(config.Seed, 1)),

		listedAdoptions:   newAdoptionPool(config.MaxUnconfirmedAdoptions),
		unlistedAdoptions: newAdoptionPool(maxUnconfirmedUnlisted),
	}, nil
}

// maxPlacerRounds is the maximum number of times that one Step runs the placer. An action of the placer, such as an offer to
// a node that was removed, may cause another event for the placer in the same step. Events that remain after the last round
// wait for the next Step.
const maxPlacerRounds = 8

// Step handles the inputs in order. It returns the effects to execute and the time by which it must be called again, where
// zero means not before the next input. The effects are valid until the next call.
func (c *Core) Step(now Time, inputs []Input) ([]Effect, Time) {
	c.now = max(now, c.now)
	clear(c.effects) // so that the texts in them are not retained
	c.effects = c.effects[:0]
	c.startWatch()
	// Inputs are handled before timers: after the process was stopped for a while, responses that arrived in time must not be
	// treated as late.
	for _, in := range inputs {
		in.apply(c)
	}
	c.timers.RunDue(c.now)
	c.runPlacer()
	return c.effects, c.nextDeadline()
}

// runPlacer passes the events of this step to the placer and executes its actions.
func (c *Core) runPlacer() {
	for range maxPlacerRounds {
		if c.placerTimerAt > 0 && c.placerTimerAt <= c.now {
			c.placerTimerAt = 0
			c.notifyPlacer(flaxshelf.TimerFired{})
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

// nextDeadline returns the time by which Step must be called even without new inputs; zero means never.
func (c *Core) nextDeadline() Time {
	if len(c.pendingEvents) > 0 {
		return c.now + 1
	}
	next := c.placerTimerAt
	if at, ok := c.timers.Next(); ok && (next == 0 || at < next) {
		next = at
	}
	return next
}

// emit adds an effect to those of the current step.
func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

// notifyPlacer queues an event for the placer's next step.
func (c *Core) notifyPlacer(event flaxshelf.Event) { c.pendingEvents = append(c.pendingEvents, event) }

// Idle reports whether no request is waiting for its response.
func (c *Core) Idle() bool { return c.stats.Pending == 0 }

// Stats returns the current values of the gauges and counters.
func (c *Core) Stats() Stats {
	stats := c.stats
	stats.Owners = len(c.owners)
	stats.PendingBytes = c.pendingBytes.Used()
	stats.Nodes = len(c.nodes)
	stats.Links = len(c.links)
	return stats
}

// sortedValues returns the values of a map in the order of compare, so that the order of effects is deterministic.
func sortedValues[K comparable, V any](m map[K]V, compare func(a, b V) int) []V {
	values := make([]V, 0, len(m))
	for _, value := range m {
		values = append(values, value)
	}
	slices.SortFunc(values, compare)
	return values
}
