package flaxshelf

import (
	"math/rand/v2"
)

// Placer makes the decisions of one scheduler. It is not safe for concurrent use: one goroutine owns it.
type Placer struct {
	cfg      Config
	disabled [constraintCount]bool // by Disable

	// random draws from randomSource, which the vote also reads directly. Equal inputs give equal decisions
	// only as long as the sequence of draws stays the same.
	randomSource *rand.PCG
	random       *rand.Rand

	now        Time
	started    bool // the first Step has been made
	startedAt  Time
	stepNumber int
	actions    []Action // of the step in progress

	machines        map[string]*machine
	machinesByID    []*machine // in the order of their IDs
	removedMachines []*machine // removed when they were added; they may be back since
	index           index
	services        map[string]*service

	tasks       map[string]*task
	openTasks   []*task // submitted and not settled, in the order in which they are served
	sortBuffer  []*task
	tenantCores map[int]float64 // requested by this scheduler's active attempts, by tenant

	history             []*placement // in order of time
	forgottenPlacements int          // placements to be removed from history by the next pruning
	lastSerial          uint64       // of the placements made so far
	lifetimes           []lifetimeStats

	latencyMean      float64 // seconds from offer to AttemptPlaced, smoothed
	latencyDeviation float64 // seconds, smoothed

	timerDue          Time // the earliest timer that has not fired; 0: none
	subscribeAt       Time // when to subscribe next; 0: not needed
	discoveryFailures int  // in a row

	unknownClass Class // of tasks whose class the settings don't name
}

// New makes the Placer of one scheduler. Equal settings, seeds and events give equal actions. It returns a
// *ConfigError for settings that make no sense.
func New(cfg Config, seed uint64) (*Placer, error) {
	if err := validate(&cfg); err != nil {
		return nil, err
	}
	cfg.Schedulers = max(cfg.Schedulers, 1)
	source := rand.NewPCG(seed, 0x9e3779b97f4a7c15)
	return &Placer{
		cfg:          cfg,
		randomSource: source,
		random:       rand.New(source),
		index:        newIndex(&cfg),
		machines:     map[string]*machine{},
		tasks:        map[string]*task{},
		services:     map[string]*service{},
		lifetimes:    make([]lifetimeStats, len(cfg.Classes)),
		tenantCores:  map[int]float64{},
		unknownClass: Class{Idempotency: NonIdempotent, Kind: -1},
	}, nil
}

// Step takes the events since the last step, in order, and returns the actions to execute now. A time before
// that of the last step counts as the time of the last step.
func (p *Placer) Step(now Time, events []Event) []Action {
	if !p.started {
		p.started, p.startedAt = true, now
		p.subscribeFirst(now)
	}
	p.now, p.actions = max(now, p.now), nil
	p.stepNumber++
	p.reviewExpired()
	clear(p.index.infeasible)
	if p.timerDue <= p.now {
		p.timerDue = 0
	}
	for _, e := range events {
		p.handle(e)
	}
	p.subscribeIfDue()
	p.serveOpenTasks()
	p.pruneHistory()
	p.pruneMachines()
	p.setTimer()
	return p.actions
}

// emit adds an action to those of the step in progress.
func (p *Placer) emit(a Action) { p.actions = append(p.actions, a) }

// setTimer asks for a TimerFired event at the next time at which something falls due.
func (p *Placer) setTimer() {
	next, ok := p.nextDue()
	if !ok || p.timerDue != 0 && p.timerDue <= next {
		return
	}
	p.timerDue = max(next, p.now+1)
	p.emit(SetTimer{After: p.timerDue - p.now})
}
