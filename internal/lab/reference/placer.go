// Package reference owns the module's text as it stood before its sets and columns: a scan over all machines for each
// question. It is the oracle that a faster text must agree with, action by action, and the plain baseline that it is
// measured against. It must not be changed but where a decision is meant to change, in the same commit.
package reference

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf"
)

// ---- Tuned values. None comes from a deployment; times are against the settings where one fits.

const (
	replayRuns              = 24               // r: replays a vote
	historyLifetimes        = 3.0              // d reaches back so many mean lives: what is older has mostly ended
	maxHistory              = 768              // and never over so many binds, which bounds the work of a vote
	initialLifetime         = 60 * time.Second // the mean life before any task was seen to end
	minCandidates           = 2                // a soft bar that would leave fewer machines than this is skipped
	consolidationFill       = 0.85             // where machines in use are priced, those needed are filled so far
	listDelay               = time.Second      // the list's free room may lack what was asked so long before
	maxOfferWindow          = 16               // acceptances after which offers to a machine are not counted any more
	baseEjection            = 500 * time.Millisecond
	maxEjectionDoublings    = 4 // a bar lasts baseBar << strikes at most
	failureMemory           = 10 * time.Second
	overloadDuration        = 1500 * time.Millisecond
	rejectionBackoff        = 500 * time.Millisecond
	queueFullBackoff        = 150 * time.Millisecond
	shortfallWeight         = 3.0
	memoryShortfall         = 0.3
	memoryPressureLimit     = 0.92 // share of a machine's memory in use beyond which it is short
	reportedLoadMargin      = 0.3  // a reported load so far over the mean of its peers contradicts the replay
	reportFreshness         = 3 * time.Second
	placementRetryInterval  = 40 * time.Millisecond // how often a held task is looked at again
	subscribeBackoff        = 250 * time.Millisecond
	removedMachineRetention = time.Minute // a machine that is gone is remembered this long
)

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

// ---- Lifecycle.

// Step takes what has happened since the last one, in order, and returns what to do now.
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

func (p *Placer) emit(a flaxshelf.Action) { p.actions = append(p.actions, a) }

func (p *Placer) handle(e flaxshelf.Event) {
	switch e := e.(type) {
	case flaxshelf.MachinesUpdated:
		p.handleMachinesUpdated(e)
	case flaxshelf.DiscoveryFailed:
		p.handleDiscoveryFailed()
	case flaxshelf.TaskSubmitted:
		if p.tasks[e.Task.ID] == nil {
			t := p.addTask(e.Task)
			p.openTasks = append(p.openTasks, t)
		}
	case flaxshelf.TaskAdopted:
		p.handleTaskAdopted(e)
	case flaxshelf.AttemptPlaced:
		p.handleAttemptPlaced(e)
	case flaxshelf.AttemptEnded:
		p.handleAttemptEnded(e)
	case flaxshelf.UsageReport:
		p.handleUsageReport(e)
	case flaxshelf.HealthChecked:
		if m := p.machines[e.Machine]; m != nil {
			p.recordLoadReport(m, e.Load)
		}
	case flaxshelf.TaskCanceled:
		if t := p.tasks[e.Task]; t != nil {
			t.settled = true
			p.forgetIfSettled(t)
		}
	}
}

// handleTaskAdopted takes over a task that runs: it counts for spread and joins the history as from now.
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
		m := p.findOrAddMachine(entry.ID)
		if entry.Kind < 0 || entry.Kind >= len(p.cfg.Kinds) {
			entry.Kind = -1
		}
		if m.listed && entry.Started > m.Started {
			p.resetMachine(m)
		}
		if entry.State == flaxshelf.Removed && m.State != flaxshelf.Removed {
			m.removedAt = p.now
			p.forgetMachinePlacements(m, p.now)
		}
		m.Machine, m.listed = entry, true
		m.coresSinceListed, m.memorySinceListed, m.listedAt = 0, 0, p.now
	}
	if e.Complete {
		for _, m := range p.machinesByID {
			if !named[m.ID] && m.State != flaxshelf.Removed {
				m.State, m.removedAt = flaxshelf.Removed, p.now
				p.forgetMachinePlacements(m, p.now)
			}
		}
	}
	if !e.Stale {
		p.subscribeAt, p.discoveryFailures = 0, 0
	}
}

// resetMachine clears what was known of a machine's former life.
func (p *Placer) resetMachine(m *machine) {
	m.health, m.overloadedUntil, m.rejectsUntil, m.loadReport = health{}, 0, 0, flaxshelf.LoadReport{}
	clear(m.classHealth)
	p.forgetMachinePlacements(m, p.now)
}

// forgetMachinePlacements is an exception to the plain replay: a lost machine keeps its replayed tasks, which would make
// its next life look full. Acts when discovery says that the machine is gone or has started anew.
func (p *Placer) forgetMachinePlacements(m *machine, before flaxshelf.Time) {
	for _, b := range p.history {
		if b.machine == m && b.placedAt < before {
			b.forgotten = true
		}
	}
}

func (p *Placer) handleDiscoveryFailed() {
	if !p.cfg.DiscoveryOnRequest {
		return
	}
	p.discoveryFailures++
	wait := subscribeBackoff << min(p.discoveryFailures-1, 3)
	p.subscribeAt = p.now + wait/2 + time.Duration(p.random.Int64N(int64(wait)))
}

// subscribeIfDue subscribes where changes must be asked for. A call that no answer came to is made again.
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
	lag := e.Latency.Seconds()
	p.latencyDeviation += (math.Abs(lag-p.latencyMean) - p.latencyDeviation) / 8
	p.latencyMean += (lag - p.latencyMean) / 8
	t.settled = true
	p.markPlaced(t, a)
	p.attributeFailures(t)
	a.machine.consecutiveRejections = max(a.machine.consecutiveRejections-1, 0)
	if a.machine.offerWindow++; a.machine.offerWindow == 1 || a.machine.offerWindow >= maxOfferWindow {
		a.machine.offerWindow = 0 // it was not counted, or need not be any more
	}
	p.recordSuccess(&a.machine.health)
	p.recordSuccess(a.machine.healthOf(t.Class))
}

func (p *Placer) handleAttemptEnded(e flaxshelf.AttemptEnded) {
	if m := p.machines[e.Machine]; m != nil {
		p.recordLoadReport(m, e.Load)
	}
	t, a := p.findAttempt(e.Task, e.Attempt)
	if a == nil || !a.active {
		return
	}
	a.active, a.done = false, true
	a.neverRan = e.Outcome == flaxshelf.Rejected || e.Outcome == flaxshelf.Unreachable || e.Outcome == flaxshelf.NotSent
	if a.neverRan {
		a.placement.forgotten = true // it never ran, so it leaves the history
	}
	p.releasePlacement(t, a.machine)
	if a.placed {
		a.machine.rejectedSize += p.sizeOn(t, a.machine) // room came free
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
	cut := max(0, len(p.history)-maxHistory)
	for cut < len(p.history) && p.history[cut].placedAt < oldest {
		cut++
	}
	p.history = append(p.history[:0], p.history[cut:]...)
	p.history = slices.DeleteFunc(p.history, func(b *placement) bool { return b.forgotten })
	p.machinesByID = slices.DeleteFunc(p.machinesByID, func(m *machine) bool {
		if m.State == flaxshelf.Removed && len(m.attemptsOf) == 0 && p.now-m.removedAt > removedMachineRetention {
			delete(p.machines, m.ID)
			return true
		}
		return false
	})
}

// setTimer asks to be woken when something falls due.
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

// ---- Evidence: what outcomes, reports and notes say of a machine, each with an expiry.

// recordFailure bars what failed us; each further failure within forget doubles the time. The bar lasts until we
// would come by again at least: one with few binds beside the machines would never feel a shorter bar.
func (p *Placer) recordFailure(h *health) {
	if p.now-h.lastFailure > failureMemory {
		h.consecutiveFailures = 0
	}
	if p.now >= h.ejectedUntil {
		h.consecutiveFailures = min(h.consecutiveFailures+1, maxEjectionDoublings)
	}
	h.lastFailure = p.now
	h.ejectedUntil = max(h.ejectedUntil, p.now+max(baseEjection<<h.consecutiveFailures, p.trialInterval()))
}

// trialInterval is how long we take to come by a machine again, from the binds of the history; forget at most.
func (p *Placer) trialInterval() time.Duration {
	if len(p.history) < minCandidates {
		return 0
	}
	gap := (p.now - p.history[0].placedAt) / time.Duration(len(p.history))
	return min(failureMemory, gap*time.Duration(len(p.machinesByID)))
}

// startTrial keeps others from following an offer to what failed us lately, until its outcome is known: so that
// recovery is found by one task and not by all that wait.
func (p *Placer) startTrial(h *health) {
	if h.consecutiveFailures > 0 {
		h.ejectedUntil = max(h.ejectedUntil, p.now+baseEjection)
	}
}

func (p *Placer) recordSuccess(h *health) {
	h.lastSuccess, h.ejectedUntil = p.now, 0
	if p.now-h.lastFailure > failureMemory {
		h.consecutiveFailures = 0
	}
}

// recordTaskFailure tells a class's cause from a machine's: an error or silence belongs to the machine and class alone
// where another class was served there lately, else to the machine too.
func (p *Placer) recordTaskFailure(t *task, m *machine) {
	p.recordFailure(m.healthOf(t.Class))
	for class := range m.classHealth {
		if h := m.healthOf(class); class != t.Class && h.lastSuccess > 0 && p.now-h.lastSuccess < failureMemory {
			return
		}
	}
	p.recordFailure(&m.health)
}

// attributeFailures strikes the machines that answered t with an error, as the module's does.
func (p *Placer) attributeFailures(t *task) {
	for _, m := range t.unattributedFailures {
		if t.placed || len(t.unattributedFailures) < minCandidates {
			p.recordTaskFailure(t, m)
		}
	}
	t.unattributedFailures = nil
}

// classifyOutcome reads an outcome as evidence about its machine.
func (p *Placer) classifyOutcome(t *task, a *attempt, e flaxshelf.AttemptEnded) {
	m := a.machine
	switch e.Outcome {
	case flaxshelf.Failed: // later than the text: see blame in the module
		if at := m.healthOf(t.Class).lastSuccess; at > 0 && p.now-at < failureMemory && t.class.Idempotency != flaxshelf.NonIdempotent {
			t.unattributedFailures = append(t.unattributedFailures, m)
			return
		}
		p.recordTaskFailure(t, m)
	case flaxshelf.TimedOut:
		p.recordTaskFailure(t, m)
	case flaxshelf.Unreachable:
		p.recordFailure(&m.health)
	case flaxshelf.Lost:
		switch e.Reason {
		case flaxshelf.Evicted, flaxshelf.Preempted:
			p.markOverloaded(m, 2*overloadDuration, memoryShortfall)
		case flaxshelf.DrainedAway:
		default:
			p.recordFailure(&m.health)
		}
	case flaxshelf.Rejected:
		m.offerWindow = 1
		size := p.sizeOn(t, m)
		if p.now >= m.rejectsUntil || size < m.rejectedSize {
			m.rejectedSize = size
		}
		switch e.Reason {
		case flaxshelf.QueueFull:
			m.rejectedSize = 0
			m.rejectsUntil = max(m.rejectsUntil, p.now+queueFullBackoff)
		case flaxshelf.UnsupportedTask:
			m.rejectedSize = 0
			m.rejectsUntil = max(m.rejectsUntil, p.now+rejectionBackoff)
		default:
			m.rejectsUntil = max(m.rejectsUntil, p.now+rejectionBackoff<<m.consecutiveRejections)
			m.consecutiveRejections = min(m.consecutiveRejections+1, 3)
		}
	}
}

func (p *Placer) handleUsageReport(e flaxshelf.UsageReport) {
	t, a := p.findAttempt(e.Task, e.Attempt)
	if a == nil || !a.active {
		return
	}
	if e.Kind == flaxshelf.ServiceLevel {
		p.migrateIfUnderserved(t, a, 1-e.Amount)
	}
	switch {
	case e.Kind == flaxshelf.ServiceLevel && e.Amount < 0.95:
		p.markOverloaded(a.machine, overloadDuration, 1-e.Amount)
	case e.Kind == flaxshelf.MemoryPressure && e.Amount > memoryPressureLimit:
		p.markOverloaded(a.machine, overloadDuration, memoryShortfall)
	}
}

// migrateIfUnderserved is later than the text: see the module's.
func (p *Placer) migrateIfUnderserved(t *task, a *attempt, lack float64) {
	if lack < 0.5 {
		a.poorServiceAt = 0
		return
	}
	if p.now-a.poorServiceAt > overloadDuration {
		a.poorServiceSince = p.now
	}
	a.poorServiceAt = p.now
	life, c := p.meanLifetime(t.Class), t.class
	gain := time.Duration((lack - p.cfg.Prices.Migration) * float64(life))
	cost := 2*c.LatencyObjective + time.Duration(p.cfg.Prices.Migration*c.StartValueSeconds*float64(time.Second))
	if p.now-a.poorServiceSince < overloadDuration/2 || gain < cost || a.migrating || c == &p.unknownClass {
		return
	}
	all, good := 0, 0
	for _, m := range p.machinesByID {
		if p.now < m.healthOf(t.Class).ejectedUntil || p.now < m.rejectsUntil {
			return
		}
		if !m.listed || m.State != flaxshelf.Active || m.Kind < 0 || c.Kind >= 0 && c.Kind != m.Kind || !p.fitsOn(t, m) {
			continue
		}
		all++
		if p.now >= m.overloadedUntil && p.now >= m.ejectedUntil && !p.inSlowStart(m) && len(m.attemptsOf) > 0 {
			good++
		}
	}
	if good >= max(minCandidates, all/2) {
		a.migrating = true
		p.emit(flaxshelf.Migrate{Task: t.ID})
	}
}

// markOverloaded is later than the text: see the module's.
func (p *Placer) markOverloaded(m *machine, lasts time.Duration, lack float64) {
	m.overloadedUntil, m.serviceShortfall = max(m.overloadedUntil, p.now+lasts), lack
}

func (p *Placer) recordLoadReport(m *machine, l flaxshelf.LoadReport) {
	if l.Present {
		m.loadReport, m.loadReportedAt = l, p.now
	}
}

// recordLifetime ends a life of t's class; one cut short by its machine counts as not ended.
func (p *Placer) recordLifetime(t *task, a *attempt, v flaxshelf.Outcome) {
	if l := p.lifetimesOf(t.Class); a.placed && l != nil {
		l.observed += p.now - a.sentAt
		l.running, l.startSum = l.running-1, l.startSum-a.sentAt
		if v == flaxshelf.Completed || v == flaxshelf.Canceled {
			l.ended++
		}
	}
}

// meanLifetime is the mean of a class's exponential lives with those still running counted as censored: time
// seen running over endings. Endings alone would be biased short while most tasks still run.
func (p *Placer) meanLifetime(class int) time.Duration {
	l := p.lifetimesOf(class)
	if l == nil {
		return initialLifetime
	}
	running := time.Duration(l.running)*p.now - l.startSum
	return (l.observed + running + initialLifetime) / time.Duration(l.ended+1)
}

func (p *Placer) longestMeanLifetime() time.Duration {
	longest := time.Second
	for c := range p.lifetimes {
		longest = max(longest, p.meanLifetime(c))
	}
	return min(longest, 5*time.Minute)
}

// sizeOn is the share of machine m that task t asks for: the larger of cores and memory.
func (p *Placer) sizeOn(t *task, m *machine) float64 {
	if m.Kind < 0 {
		return 0
	}
	k := p.cfg.Kinds[m.Kind]
	return max(t.Cores/k.Cores, t.Memory/k.Memory)
}

// ---- Bars.

// chooseMachine picks a machine for t: hard bars, soft bars, vote. Nil where the hard bars leave none.
func (p *Placer) chooseMachine(t *task) *machine {
	var left []*machine
	for _, m := range p.machinesByID {
		if p.meetsHardConstraints(t, m) {
			left = append(left, m)
		}
	}
	if len(left) == 0 {
		return nil
	}
	return p.vote(p.applySoftConstraints(t, left))
}

// meetsHardConstraints is the hard bars.
func (p *Placer) meetsHardConstraints(t *task, m *machine) bool {
	c := t.class
	return m.listed && m.State == flaxshelf.Active && m.Kind >= 0 &&
		(c.Kind < 0 || c.Kind == m.Kind) &&
		p.fitsOn(t, m) && p.isRetrySafe(t, m) && p.withinSpread(t, m) && p.hasSlowStartBudget(m)
}

// fitsOn tells whether an empty machine of this kind would take the task.
func (p *Placer) fitsOn(t *task, m *machine) bool {
	k := p.cfg.Kinds[m.Kind]
	return t.Cores <= k.Cores*max(p.cfg.CoreOvercommit, 1) && t.Memory <= k.Memory*max(p.cfg.MemoryOvercommit, 1)
}

// isRetrySafe keeps the second rule: once an attempt may have run, the next must be harmless.
func (p *Placer) isRetrySafe(t *task, m *machine) bool {
	for i := range t.attempts {
		a := &t.attempts[i]
		if a.neverRan || t.class.Idempotency == flaxshelf.Idempotent {
			continue
		}
		late := p.now+p.cfg.Tick >= a.sentAt+t.class.KeyTTL
		if t.class.Idempotency != flaxshelf.IdempotentByKey || !inSameDomain(t.class.KeyDomain, a.machine, m) || late {
			return false
		}
	}
	return true
}

func (p *Placer) withinSpread(t *task, m *machine) bool {
	if t.class.SpreadDomain == flaxshelf.NoDomain {
		return true
	}
	n := 0
	for _, o := range p.machinesByID {
		if inSameDomain(t.class.SpreadDomain, o, m) {
			n += o.attemptsOf[t.Service]
		}
	}
	return n < t.class.MaxPerDomain
}

// hasSlowStartBudget keeps the fourth rule with this scheduler's share of the offers that a cold machine always bears.
// The window is widened because offers sent apart may arrive together. Risk: after its own start a scheduler
// can't know what it has sent, so what its former life might have used is taken as spent.
//
// What shares of whole offers leave over, all of it where the share is below one, is offered in turns.
func (p *Placer) hasSlowStartBudget(m *machine) bool {
	if !p.inSlowStart(m) {
		return true
	}
	share := int(p.cfg.SlowStartBudget / float64(p.cfg.Schedulers))
	rest := p.cfg.SlowStartBudget - float64(share*p.cfg.Schedulers)
	from := p.now - p.cfg.OverloadWindow*3/2
	if p.startedAt > from && p.startedAt > m.Started {
		return false
	}
	if rest >= 1 && p.inSlowStartSlot(m, rest) {
		share++
	}
	for _, at := range m.slowStartOffers {
		if at >= from {
			share--
		}
	}
	return share > 0
}

// inSlowStartSlot tells whether it is this scheduler's turn for one offer more to a cold machine: turns begin one step apart, in an order
// that all schedulers derive alike, and stay open for a window, so that no window holds more than budget.
func (p *Placer) inSlowStartSlot(m *machine, budget float64) bool {
	step := time.Duration(float64(2*p.cfg.OverloadWindow)/budget) + 1
	n := uint64(p.cfg.Schedulers)
	place := (m.idHash%n + uint64(p.cfg.Index)) % n
	since := p.now - m.Started - time.Duration(place)*step
	return since >= 0 && since%(time.Duration(n)*step) < p.cfg.OverloadWindow
}

func (p *Placer) inSlowStart(m *machine) bool {
	return m.Started > 0 && p.cfg.OverloadWindow > 0 && p.now < m.Started+p.cfg.SlowStartDuration+p.cfg.OverloadWindow
}

// applySoftConstraints is the soft bars, strongest first. One that would leave fewer than its least is skipped, so bad
// evidence never stops placing; that is the fixed order in which they give way, last to first.
func (p *Placer) applySoftConstraints(t *task, left []*machine) []*machine {
	keep := func(least int, ok func(*machine) bool) {
		var kept []*machine
		for _, m := range left {
			if ok(m) {
				kept = append(kept, m)
			}
		}
		if len(kept) >= least {
			left = kept
		}
	}
	// Tried already for this ask: another machine tells more.
	keep(1, func(m *machine) bool { return !t.triedOn(m) })
	// Failing, lost or out of reach. When over half are, the cause is not a machine.
	keep(max(minCandidates, len(left)/2), func(m *machine) bool { return p.now >= m.ejectedUntil })
	// Failing this class. That may be most machines: those that serve it are kept.
	keep(minCandidates, func(m *machine) bool { return p.now >= m.healthOf(t.Class).ejectedUntil })
	// Full as far as told. A refused offer is priced and uses up an attempt, so a task is held while no
	// machine has room; late in its time it is tried once all the same, in case the evidence is wrong.
	least := 0
	if p.now >= t.submittedAt+(t.Deadline-t.submittedAt)*3/4 && len(t.attempts) == 0 {
		least = 1
	}
	keep(least, func(m *machine) bool { return !p.withoutCapacity(t, m) })
	if len(left) == 0 {
		return nil
	}
	if p.cfg.Prices.Fleet > 0 && p.cfg.ListsFreeCapacity {
		used := p.consolidationSet(left)
		keep(minCandidates, func(m *machine) bool { return used[m] })
	}
	mean := 0.0
	for _, m := range left {
		mean += p.reportedLoad(m) / float64(len(left))
	}
	keep(minCandidates, func(m *machine) bool { return p.reportedLoad(m) < mean+reportedLoadMargin })
	home := p.preferredMachines(t, left)
	keep(minCandidates, func(m *machine) bool { return home[m] })
	return left
}

// withoutCapacity: it lately refused such a size, or enough offers are out since to find out, or the list tells no room.
// After a refusal one offer may be out, after each acceptance one more: else all tasks that were held go to
// the first machine that takes one (incident i959772).
func (p *Placer) withoutCapacity(t *task, m *machine) bool {
	rushed := m.offerWindow > 0 && m.pendingOffers >= m.offerWindow
	return p.now < m.rejectsUntil && p.sizeOn(t, m) >= m.rejectedSize || rushed || !p.hasListedCapacity(t, m)
}

// reportedLoad is the load that a machine's last report tells; 0 without a fresh one.
func (p *Placer) reportedLoad(m *machine) float64 {
	if !m.loadReport.Present || p.now-m.loadReportedAt > reportFreshness || m.Kind < 0 {
		return 0
	}
	k, load := p.cfg.Kinds[m.Kind], 0.0
	if m.loadReport.HasCores {
		load = max(load, 1-m.loadReport.FreeCores/k.Cores)
	}
	if m.loadReport.HasMemory {
		load = max(load, 1-m.loadReport.FreeMemory/k.Memory)
	}
	return load
}

// hasListedCapacity tells whether the list's free cores and memory leave room for t; true where it tells none.
//
// The list is late, so what we asked of the machine since listLate before its word counts as asked too,
// against a rush of ours onto room that is gone. Guessing the others' binds held too many tasks back.
func (p *Placer) hasListedCapacity(t *task, m *machine) bool {
	if !p.cfg.ListsFreeCapacity {
		return true
	}
	k := p.cfg.Kinds[m.Kind]
	cores := m.FreeCores + (p.cfg.CoreOvercommit-1)*k.Cores
	memory := m.FreeMemory + (p.cfg.MemoryOvercommit-1)*k.Memory
	if m.unlistedStep != p.stepNumber { // once a step, since thousands may wait; occupy adds to it
		m.unlistedStep, m.unlistedCores, m.unlistedMemory = p.stepNumber, 0, 0
		for _, b := range slices.Backward(p.recentHistory()) {
			if b.placedAt < m.listedAt-listDelay {
				break
			}
			if b.machine == m && !b.forgotten {
				m.unlistedCores += b.cores
				m.unlistedMemory += b.memory
			}
		}
	}
	return cores-m.unlistedCores >= t.Cores && memory-m.unlistedMemory >= t.Memory
}

// consolidationSet names the machines that suffice for what the whole fleet is asked for now, filled to fleetFill, the
// fullest by the list's word first: all schedulers share that order, and those left out empty the soonest.
// The others drain, where the settings price machines in use. Could hurt where the fullest are the crowded
// ones: the bars on strained and contradicted machines come after it for that.
func (p *Placer) consolidationSet(left []*machine) map[*machine]bool {
	var cores, memory float64
	for _, m := range p.machinesByID {
		if m.listed && m.State != flaxshelf.Removed && m.Kind >= 0 {
			k := p.cfg.Kinds[m.Kind]
			cores += k.Cores - m.FreeCores + m.coresSinceListed
			memory += k.Memory - m.FreeMemory + m.memorySinceListed
		}
	}
	used := map[*machine]bool{}
	order := slices.Clone(left)
	slices.SortStableFunc(order, func(a, b *machine) int { return cmp.Compare(p.requestedFraction(b), p.requestedFraction(a)) })
	for _, m := range order {
		if cores <= 0 && memory <= 0 && len(used) > minCandidates {
			break
		}
		k := p.cfg.Kinds[m.Kind]
		used[m] = true
		cores -= k.Cores * consolidationFill
		memory -= k.Memory * consolidationFill
	}
	return used
}

// preferredMachines names the machines where a service's program is likely held: those that have our tasks of it, and
// its first home. A hash of both ranks homes, so all schedulers name the same ones without a word,
// and when one is barred only its own services move. The next ranks fill up to several, since a vote among
// one is none. It could hurt where a flush empties the homes: the bar then only narrows the vote.
//
// A machine is home to services in proportion to its size (weighted rendezvous hashing), since schedulers
// with few binds of their own follow the homes far more than the replay.
func (p *Placer) preferredMachines(t *task, left []*machine) map[*machine]bool {
	home := map[*machine]bool{}
	for _, m := range left {
		if m.attemptsOf[t.Service] > 0 {
			home[m] = true
		}
	}
	service := hash(t.Service)
	ranks := slices.Clone(left)
	for _, m := range ranks {
		m.affinity = math.Log(float64(mix(m.idHash^service)>>11+1)/(1<<53)) / p.kindWeight(m)
	}
	slices.SortFunc(ranks, func(a, b *machine) int { return cmp.Compare(b.affinity, a.affinity) })
	home[ranks[0]] = true
	for _, m := range ranks {
		if len(home) < minCandidates {
			home[m] = true
		}
	}
	if n := 0; p.sizeOn(t, ranks[0]) > 0.15 { // later than the text: see homes in the module
		for _, m := range ranks {
			if p.now >= m.overloadedUntil && n < 2 {
				home[m] = true
				n++
			}
		}
	}
	return home
}

// kindWeight is a machine's size among the kinds: the smaller of its shares of the largest cores and memory.
func (p *Placer) kindWeight(m *machine) float64 {
	var most flaxshelf.Kind
	for _, k := range p.cfg.Kinds {
		most.Cores, most.Memory = max(most.Cores, k.Cores), max(most.Memory, k.Memory)
	}
	k := p.cfg.Kinds[m.Kind]
	return min(k.Cores/most.Cores, k.Memory/most.Memory)
}

// ---- Replay.

// vote replays the history r times from an empty fleet. Each run names the least loaded machine of left now;
// the one named most often wins, ties at random.
func (p *Placer) vote(left []*machine) *machine {
	switch len(left) {
	case 0:
		return nil
	case 1:
		return left[0]
	}
	index := make(map[*machine]int, len(left))
	others := make([]float64, len(left))
	for i, m := range left {
		index[m], others[i] = i, p.externalLoad(m)
	}
	type replayed struct {
		i             int
		cores, memory float64
		alive         float64 // chance that the drawn life reaches to now
	}
	var rs []replayed
	for _, b := range p.recentHistory() {
		i, ok := index[b.machine]
		if !ok || b.forgotten || b.machine.Kind < 0 {
			continue
		}
		k := p.cfg.Kinds[b.machine.Kind]
		rs = append(rs, replayed{i, b.cores / k.Cores, b.memory / k.Memory, p.survival(b)})
	}
	votes := make([]int, len(left))
	cores, memory := make([]float64, len(left)), make([]float64, len(left))
	for range replayRuns {
		clear(cores)
		clear(memory)
		for _, r := range rs {
			if r.alive >= 1 || p.random.Float64() < r.alive {
				cores[r.i] += r.cores
				memory[r.i] += r.memory
			}
		}
		votes[p.leastLoaded(left, func(i int) float64 { return others[i] + max(cores[i], memory[i]) })]++
	}
	return left[p.leastLoaded(left, func(i int) float64 { return -float64(votes[i]) })]
}

// externalLoad is what other schedulers have asked of m by the list's word, as a share of its kind; 0 where the
// list tells no room. It is an exception to the empty fleet from which a run starts: with few own binds
// beside the machines most would tie at none.
func (p *Placer) externalLoad(m *machine) float64 {
	lack := 0.0
	if p.now < m.overloadedUntil {
		lack = shortfallWeight * m.serviceShortfall
	}
	if !p.cfg.ListsFreeCapacity {
		return lack
	}
	k := p.cfg.Kinds[m.Kind]
	cores := k.Cores - m.FreeCores - (m.ownCores - m.coresSinceListed)
	memory := k.Memory - m.FreeMemory - (m.ownMemory - m.memorySinceListed)
	return lack + max(0, cores/k.Cores, memory/k.Memory)
}

// requestedFraction is the share of m that all schedulers together have asked for, by the list's word.
func (p *Placer) requestedFraction(m *machine) float64 {
	k := p.cfg.Kinds[m.Kind]
	return max((k.Cores-m.FreeCores)/k.Cores, (k.Memory-m.FreeMemory)/k.Memory)
}

// recentHistory is the history that counts: at most maxHistory binds, also within a step that brings thousands.
func (p *Placer) recentHistory() []*placement { return p.history[max(0, len(p.history)-maxHistory):] }

// survival is the chance that the life drawn for b has not ended: its hint where given, else exponential with
// its class's mean life. Drawing once against it is the same as drawing the life.
func (p *Placer) survival(b *placement) float64 {
	age := p.now - b.placedAt
	if b.expectedRuntime > 0 {
		if age < b.expectedRuntime {
			return 1
		}
		return 0
	}
	return math.Exp(-float64(age) / float64(p.meanLifetime(b.class)))
}

// leastLoaded returns the index of the least value. A tie goes to the better home, and at random where there are
// none: with few binds beside the machines most tie at none, and a draw would have every service started anew
// on each of its homes.
func (p *Placer) leastLoaded(left []*machine, value func(int) float64) int {
	best, ties := 0, 1
	for i := 1; i < len(left); i++ {
		d := cmp.Or(cmp.Compare(value(i), value(best)), cmp.Compare(left[best].affinity, left[i].affinity))
		switch {
		case d < 0:
			best, ties = i, 1
		case d == 0:
			if ties++; p.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// ---- Answers.

// serveOpenTasks goes through the open tasks: it answers what is due and offers what has no attempt out.
//
// Those that can still start within their aim go first: when room is short, a start in time is worth most.
func (p *Placer) serveOpenTasks() {
	slices.SortStableFunc(p.openTasks, func(a, b *task) int { return cmp.Compare(p.queueRankOf(a), p.queueRankOf(b)) })
	for _, t := range p.openTasks {
		if t.settled {
			continue
		}
		if a := t.activeAttempt(); a != nil {
			if p.now >= p.answerDeadline(t) {
				p.answerTask(t)
			}
			continue
		}
		p.placeTask(t)
	}
	p.openTasks = slices.DeleteFunc(p.openTasks, func(t *task) bool { return t.settled })
}

func (p *Placer) queueRankOf(t *task) int {
	rank := 0
	if p.now > t.submittedAt+t.class.LatencyObjective {
		rank = 1
	}
	if p.overQuota(t) {
		rank += 2
	}
	return rank
}

// overQuota: what a tenant asks beyond its share is worth little. This scheduler's part of the traffic is
// taken for the rest's. Acts only on the order of tasks that wait, so never on the ordinary path.
func (p *Placer) overQuota(t *task) bool {
	if t.Tenant < 0 || t.Tenant >= len(p.cfg.Tenants) || p.cfg.OverQuotaWeight >= 1 {
		return false
	}
	quota := p.cfg.Tenants[t.Tenant].QuotaCores
	return quota > 0 && p.tenantCores[t.Tenant]*float64(p.cfg.Schedulers) > quota
}

// placeTask offers t to a machine, holds it, or gives it up.
func (p *Placer) placeTask(t *task) {
	if p.now >= p.offerDeadline(t) || p.cfg.MaxAttempts > 0 && len(t.attempts) >= p.cfg.MaxAttempts ||
		t.class == &p.unknownClass || t.class.Idempotency == flaxshelf.NonIdempotent && t.mayHaveRun() {
		p.answerTask(t)
		return
	}
	m := p.chooseMachine(t)
	if m == nil {
		// Nothing may take it now. Held a while, since an owner that is turned away comes again late.
		if t.mayHaveRun() && t.class.Idempotency == flaxshelf.IdempotentByKey ||
			p.now-t.submittedAt > max(t.class.LatencyObjective, 5*time.Second) {
			p.answerTask(t)
		}
		return
	}
	p.recordPlacement(t, m)
	p.startTrial(&m.health)
	p.startTrial(m.healthOf(t.Class))
	if p.inSlowStart(m) {
		m.slowStartOffers = slices.DeleteFunc(m.slowStartOffers, func(at flaxshelf.Time) bool { return p.now-at > 2*p.cfg.OverloadWindow })
		m.slowStartOffers = append(m.slowStartOffers, p.now)
	}
	p.emit(flaxshelf.Offer{Task: t.ID, Machine: m.ID, Timeout: p.attemptTimeout(t)})
}

// attemptTimeout leaves time for a further attempt where one would be allowed, and ends before the answer is due.
func (p *Placer) attemptTimeout(t *task) time.Duration {
	left := p.offerDeadline(t) - p.now
	if t.class.Idempotency == flaxshelf.NonIdempotent || p.cfg.MaxAttempts > 0 && len(t.attempts) >= p.cfg.MaxAttempts {
		return left
	}
	usual := time.Duration((p.latencyMean + 4*p.latencyDeviation) * float64(time.Second))
	return min(left, max(usual, t.class.LatencyObjective/2, 50*time.Millisecond))
}

// answerDeadline is the last moment to give the final answer; an attempt's time-out comes a tick earlier.
func (p *Placer) answerDeadline(t *task) flaxshelf.Time { return t.Deadline - p.answerMargin() }
func (p *Placer) offerDeadline(t *task) flaxshelf.Time  { return t.Deadline - 2*p.answerMargin() }
func (p *Placer) answerMargin() time.Duration           { return 2*p.cfg.Tick + time.Millisecond }

// answerTask ends t: a refusal promises that a retry is safe, so it needs proof or a class that bears repeats.
func (p *Placer) answerTask(t *task) {
	t.settled = true
	p.attributeFailures(t)
	for i := range t.attempts {
		if t.attempts[i].active && p.cfg.CanCancel {
			p.emit(flaxshelf.Cancel{Task: t.ID, Attempt: i})
		}
	}
	c := t.class
	if !t.mayHaveRun() || c.Idempotency == flaxshelf.Idempotent ||
		c.Idempotency == flaxshelf.IdempotentByKey && c.KeyDomain == flaxshelf.FleetDomain {
		p.emit(flaxshelf.Reject{Task: t.ID})
	} else {
		p.emit(flaxshelf.Fail{Task: t.ID})
	}
	p.forgetIfSettled(t)
}
