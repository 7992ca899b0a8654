// Package reference makes the decisions of package flaxshelf by plain scans over all machines, without bit sets and
// columns. It is the oracle that the faster module must agree with, action by action, and the baseline that it is measured
// against. Its decisions must only change where those of the module are meant to change, in the same commit.
//
// Names are those of the module, whose comments say why a decision is made as it is.
package reference

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf"
)

// Placer makes the decisions of one scheduler. It is not safe for concurrent use.
type Placer struct {
	cfg               flaxshelf.Config
	random            *rand.Rand
	now               flaxshelf.Time
	startedAt         flaxshelf.Time
	started           bool
	stepNumber        int
	actions           []flaxshelf.Action
	machines          map[string]*machine
	machinesByID      []*machine // in the order of their IDs
	tasks             map[string]*task
	openTasks         []*task      // submitted and not settled, in the order in which they are served
	history           []*placement // in order of time
	lifetimes         []lifetimeStats
	tenantCores       map[int]float64 // requested by this scheduler's active attempts, by tenant
	latencyMean       float64         // seconds from offer to AttemptPlaced, smoothed
	latencyDeviation  float64
	timerDue          flaxshelf.Time // the earliest timer that has not fired; 0: none
	subscribeAt       flaxshelf.Time // when to subscribe next; 0: not needed
	discoveryFailures int
	unknownClass      flaxshelf.Class
}

// New makes the Placer of one scheduler. Equal settings, seeds and events give equal actions.
func New(cfg flaxshelf.Config, seed uint64) (*Placer, error) {
	if _, err := flaxshelf.New(cfg, seed); err != nil {
		return nil, err
	}
	cfg.Schedulers = max(cfg.Schedulers, 1)
	p := &Placer{
		cfg: cfg, random: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		machines: map[string]*machine{}, tasks: map[string]*task{},
		lifetimes:    make([]lifetimeStats, len(cfg.Classes)),
		tenantCores:  map[int]float64{},
		unknownClass: flaxshelf.Class{Idempotency: flaxshelf.NonIdempotent, Kind: -1},
	}
	return p, nil
}

// Step takes the events since the last step, in order, and returns the actions to execute now.
func (p *Placer) Step(now flaxshelf.Time, events []flaxshelf.Event) []flaxshelf.Action {
	if !p.started {
		p.started, p.startedAt = true, now
		if p.cfg.DiscoveryOnRequest {
			p.subscribeAt = now
		}
	}
	p.now, p.actions = max(now, p.now), nil
	p.stepNumber++
	if p.timerDue <= p.now {
		p.timerDue = 0
	}
	for _, e := range events {
		p.handle(e)
	}
	p.subscribeIfDue()
	p.serveOpenTasks()
	p.prune()
	p.setTimer()
	return p.actions
}

// emit adds an action to those of the step in progress.
func (p *Placer) emit(a flaxshelf.Action) { p.actions = append(p.actions, a) }

// handle calls the handler of an event.
func (p *Placer) handle(e flaxshelf.Event) {
	switch e := e.(type) {
	case flaxshelf.MachinesUpdated:
		p.handleMachinesUpdated(e)
	case flaxshelf.DiscoveryFailed:
		p.handleDiscoveryFailed()
	case flaxshelf.TaskSubmitted:
		p.handleTaskSubmitted(e)
	case flaxshelf.TaskAdopted:
		p.handleTaskAdopted(e)
	case flaxshelf.AttemptPlaced:
		p.handleAttemptPlaced(e)
	case flaxshelf.AttemptEnded:
		p.handleAttemptEnded(e)
	case flaxshelf.UsageReport:
		p.handleUsageReport(e)
	case flaxshelf.HealthChecked:
		p.handleHealthChecked(e)
	case flaxshelf.TaskCanceled:
		p.handleTaskCanceled(e)
	}
}

func (p *Placer) handleTaskSubmitted(e flaxshelf.TaskSubmitted) {
	if p.tasks[e.Task.ID] == nil {
		p.openTasks = append(p.openTasks, p.addTask(e.Task))
	}
}

func (p *Placer) handleHealthChecked(e flaxshelf.HealthChecked) {
	if m := p.machines[e.Machine]; m != nil {
		p.recordLoadReport(m, e.Load)
	}
}

func (p *Placer) handleTaskCanceled(e flaxshelf.TaskCanceled) {
	if t := p.tasks[e.Task]; t != nil {
		t.settled = true
		p.forgetIfSettled(t)
	}
}

// handleTaskAdopted takes over a running task: it counts for spread and joins the history as if placed now.
func (p *Placer) handleTaskAdopted(e flaxshelf.TaskAdopted) {
	if p.tasks[e.Task.ID] != nil {
		return
	}
	t := p.addTask(e.Task)
	t.settled = true
	p.recordPlacement(t, p.findOrAddMachine(e.Machine))
	p.markPlaced(t, &t.attempts[0])
}

func (p *Placer) handleMachinesUpdated(e flaxshelf.MachinesUpdated) {
	named := make(map[string]bool, len(e.Machines))
	for _, entry := range e.Machines {
		named[entry.ID] = true
		p.updateMachine(entry)
	}
	if e.Complete {
		for _, m := range p.machinesByID {
			if !named[m.ID] && m.State != flaxshelf.Removed {
				m.State, m.removedAt = flaxshelf.Removed, p.now
				p.forgetMachinePlacements(m)
			}
		}
	}
	if !e.Stale {
		p.subscribeAt, p.discoveryFailures = 0, 0
	}
}

// updateMachine takes over one entry of the machine list.
func (p *Placer) updateMachine(entry flaxshelf.Machine) {
	m := p.findOrAddMachine(entry.ID)
	if entry.Kind < 0 || entry.Kind >= len(p.cfg.Kinds) {
		entry.Kind = -1
	}
	if m.listed && entry.Started > m.Started {
		p.resetMachine(m)
	}
	if entry.State == flaxshelf.Removed && m.State != flaxshelf.Removed {
		m.removedAt = p.now
		p.forgetMachinePlacements(m)
	}
	m.Machine, m.listed = entry, true
	m.coresSinceListed, m.memorySinceListed, m.listedAt = 0, 0, p.now
}

// resetMachine forgets what was known of a machine that has restarted.
func (p *Placer) resetMachine(m *machine) {
	m.health, m.overloadedUntil, m.rejectsUntil, m.loadReport = health{}, 0, 0, flaxshelf.LoadReport{}
	clear(m.classHealth)
	p.forgetMachinePlacements(m)
}

// forgetMachinePlacements takes the placements on a removed or restarted machine out of the history.
func (p *Placer) forgetMachinePlacements(m *machine) {
	for _, b := range p.history {
		if b.machine == m && b.offeredAt < p.now {
			b.forgotten = true
		}
	}
}

func (p *Placer) handleDiscoveryFailed() {
	if !p.cfg.DiscoveryOnRequest {
		return
	}
	p.discoveryFailures++
	backoff := subscribeBackoff << min(p.discoveryFailures-1, 3)
	p.subscribeAt = p.now + backoff/2 + time.Duration(p.random.Int64N(int64(backoff)))
}

// subscribeIfDue subscribes, and again when no answer comes.
func (p *Placer) subscribeIfDue() {
	if p.subscribeAt == 0 || p.now < p.subscribeAt {
		return
	}
	p.emit(flaxshelf.Subscribe{})
	p.subscribeAt = p.now + max(p.cfg.DiscoveryPollDeadline, time.Second)
}

func (p *Placer) handleAttemptPlaced(e flaxshelf.AttemptPlaced) {
	t, a := p.findAttempt(e.Task, e.Attempt)
	if a == nil || !a.active {
		return
	}
	latency := e.Latency.Seconds()
	p.latencyDeviation += (math.Abs(latency-p.latencyMean) - p.latencyDeviation) / 8
	p.latencyMean += (latency - p.latencyMean) / 8
	t.settled = true
	p.markPlaced(t, a)
	p.attributeFailures(t)
	m := a.machine
	m.consecutiveRejections = max(m.consecutiveRejections-1, 0)
	if m.offerWindow++; m.offerWindow == 1 || m.offerWindow >= maxOfferWindow {
		m.offerWindow = 0 // there was no limit, or it ends
	}
	p.recordSuccess(&m.health)
	p.recordSuccess(m.healthOf(t.Class))
}

func (p *Placer) handleAttemptEnded(e flaxshelf.AttemptEnded) {
	if m := p.machines[e.Machine]; m != nil {
		p.recordLoadReport(m, e.Load)
	}
	t, a := p.findAttempt(e.Task, e.Attempt)
	if a == nil || !a.active {
		return
	}
	a.active = false
	a.neverRan = e.Outcome == flaxshelf.Rejected || e.Outcome == flaxshelf.Unreachable || e.Outcome == flaxshelf.NotSent
	if a.neverRan {
		a.placement.forgotten = true
	}
	p.releasePlacement(t, a.machine)
	if a.placed {
		a.machine.rejectedSize += p.sizeOn(t, a.machine) // so much was freed
	} else {
		a.machine.pendingOffers--
	}
	p.recordLifetime(t, a, e.Outcome)
	p.classifyOutcome(t, a, e)
	if e.Final || a.placed {
		t.settled = true
	}
	p.forgetIfSettled(t)
}

// prune keeps the state bounded.
func (p *Placer) prune() {
	oldest := p.now - time.Duration(historyLifetimes*float64(p.longestMeanLifetime()))
	first := max(0, len(p.history)-maxHistory)
	for first < len(p.history) && p.history[first].offeredAt < oldest {
		first++
	}
	p.history = append(p.history[:0], p.history[first:]...)
	p.history = slices.DeleteFunc(p.history, func(b *placement) bool { return b.forgotten })
	p.machinesByID = slices.DeleteFunc(p.machinesByID, func(m *machine) bool {
		if m.State == flaxshelf.Removed && len(m.attemptsOf) == 0 && p.now-m.removedAt > removedMachineRetention {
			delete(p.machines, m.ID)
			return true
		}
		return false
	})
}

// setTimer asks for a TimerFired event at the next time at which something falls due.
func (p *Placer) setTimer() {
	next := flaxshelf.Time(math.MaxInt64)
	if p.subscribeAt > 0 {
		next = p.subscribeAt
	}
	for _, t := range p.openTasks {
		due := p.answerDeadline(t)
		if t.activeAttempt() == nil {
			due = min(due, p.now+placementRetryInterval)
		}
		next = min(next, due)
	}
	if next == math.MaxInt64 || p.timerDue != 0 && p.timerDue <= next {
		return
	}
	p.timerDue = max(next, p.now+1)
	p.emit(flaxshelf.SetTimer{After: p.timerDue - p.now})
}
