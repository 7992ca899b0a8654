package flaxshelf

// Every decision of a scheduler is made in this file; the interface, with its events and actions, is in
// api.go. Records are in state.go. Sections: tuned values, lifecycle, evidence, bars, replay, answers.
//
// Choosing a machine has three steps, see choose: hard bars that are never relaxed, soft bars that give way
// in a fixed order, and the replay vote among what is left.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"
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
	shortfallWeight         = 3.0  // a machine that serves half of full service counts as so many halves fuller
	memoryPressureLimit     = 0.92 // share of a machine's memory in use beyond which it is short
	memoryShortfall         = 0.3  // short of full service, where memory is short or tasks were put out
	largeTaskSize           = 0.15 // a task that asks for so much of a machine is large
	poorServiceShortfall    = 0.5  // a task that lacks so much of full service
	reportedLoadMargin      = 0.3  // a reported load so far over the mean of its peers contradicts the replay
	reportFreshness         = 3 * time.Second
	heldTaskInterval        = 40 * time.Millisecond // how often a held task is looked at again
	subscribeBackoff        = 250 * time.Millisecond
	removedMachineRetention = time.Minute // a machine that is gone is remembered this long
)

// New makes the Placer of one scheduler. Equal settings, seeds and events give equal actions.
func New(cfg Config, seed uint64) (*Placer, error) {
	if err := validate(&cfg); err != nil {
		return nil, err
	}
	p := &Placer{
		cfg: cfg, randomSource: rand.NewPCG(seed, 0x9e3779b97f4a7c15), index: newIndex(&cfg),
		machines: map[string]*machine{}, tasks: map[string]*task{}, services: map[string]*service{},
		lifetimes:    make([]lifetimeStats, len(cfg.Classes)),
		tenantCores:  map[int]float64{},
		unknownClass: Class{Idempotency: NonIdempotent, Kind: -1},
	}
	p.random = rand.New(p.randomSource)
	return p, nil
}

// ---- Lifecycle.

// Step takes what has happened since the last one, in order, and returns what to do now.
func (p *Placer) Step(now Time, events []Event) []Action {
	if !p.started {
		p.started, p.startedAt = true, now
		if p.cfg.DiscoveryOnRequest {
			p.subscribeAt = now
		}
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
	p.prune()
	p.setTimer()
	return p.actions
}

func (p *Placer) emit(a Action) { p.actions = append(p.actions, a) }

func (p *Placer) handle(e Event) {
	switch e := e.(type) {
	case MachinesUpdated:
		p.handleMachinesUpdated(e)
	case DiscoveryFailed:
		p.handleDiscoveryFailed()
	case TaskSubmitted:
		if p.tasks[e.Task.ID] == nil {
			t := p.addTask(e.Task)
			p.openTasks = append(p.openTasks, t)
		}
	case TaskAdopted:
		p.handleTaskAdopted(e)
	case AttemptPlaced:
		p.handleAttemptPlaced(e)
	case AttemptEnded:
		p.handleAttemptEnded(e)
	case UsageReport:
		p.handleUsageReport(e)
	case HealthChecked:
		if m := p.machines[e.Machine]; m != nil {
			p.recordLoadReport(m, e.Load)
		}
	case TaskCanceled:
		if t := p.tasks[e.Task]; t != nil {
			t.settled = true
			p.forgetIfSettled(t)
		}
	}
}

// handleTaskAdopted takes over a task that runs: it counts for spread and joins the history as from now.
func (p *Placer) handleTaskAdopted(e TaskAdopted) {
	if p.tasks[e.Task.ID] != nil {
		return
	}
	t := p.addTask(e.Task)
	t.settled = true
	p.recordPlacement(t, p.findOrAddMachine(e.Machine))
	p.markPlaced(t, &t.attempts[0])
}

func (p *Placer) handleMachinesUpdated(e MachinesUpdated) {
	for _, entry := range e.Machines {
		m := p.findOrAddMachine(entry.ID)
		if entry.Kind < 0 || entry.Kind >= len(p.cfg.Kinds) {
			entry.Kind = -1
		}
		if m.listed && entry.Started > m.Started {
			p.resetMachine(m)
		}
		if entry.State == Removed && m.State != Removed {
			p.markRemoved(m)
		}
		m.Machine, m.listed = entry, true
		m.coresSinceListed, m.memorySinceListed, m.listedAt = 0, 0, p.now
		p.updateDomains(m)
		p.requestReview(m)
	}
	if e.Complete {
		named := make(map[string]bool, len(e.Machines))
		for _, entry := range e.Machines {
			named[entry.ID] = true
		}
		for _, m := range p.machinesByID {
			if !named[m.ID] && m.State != Removed {
				m.State = Removed
				p.markRemoved(m)
				p.requestReview(m)
			}
		}
	}
	if !e.Stale {
		p.subscribeAt, p.discoveryFailures = 0, 0
	}
}

// markRemoved is for a machine that is out from now on.
func (p *Placer) markRemoved(m *machine) {
	m.removedAt = p.now
	p.removedMachines = append(p.removedMachines, m)
	p.forgetMachinePlacements(m, p.now)
}

// resetMachine clears what was known of a machine's former life.
func (p *Placer) resetMachine(m *machine) {
	m.health, m.overloadedUntil, m.rejectsUntil, m.loadReport = health{}, 0, 0, LoadReport{}
	clear(m.classHealth)
	p.forgetMachinePlacements(m, p.now)
}

// forgetMachinePlacements is an exception to the plain replay: a lost machine keeps its replayed tasks, which would make
// its next life look full. Acts when discovery says that the machine is gone or has started anew.
func (p *Placer) forgetMachinePlacements(m *machine, before Time) {
	for _, b := range p.history {
		if b.machine == m && b.placedAt < before && !p.disabled[ForgetRemovedPlacements] {
			p.forgetPlacement(b)
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
	p.emit(Subscribe{})
	p.subscribeAt = p.now + max(p.cfg.DiscoveryPollDeadline, time.Second)
}

func (p *Placer) handleAttemptPlaced(e AttemptPlaced) {
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
	p.requestReview(a.machine)
}

func (p *Placer) handleAttemptEnded(e AttemptEnded) {
	if m := p.machines[e.Machine]; m != nil {
		p.recordLoadReport(m, e.Load)
	}
	t, a := p.findAttempt(e.Task, e.Attempt)
	if a == nil || !a.active {
		return
	}
	a.active, a.done = false, true
	a.neverRan = e.Outcome == Rejected || e.Outcome == Unreachable || e.Outcome == NotSent
	if a.neverRan && !p.disabled[ForgetUnstartedPlacements] {
		p.forgetPlacement(a.placement) // it never ran, so it leaves the history
	}
	p.releasePlacement(t, a.machine)
	if a.placed {
		a.machine.rejectedSize += p.sizeOn(t, a.machine) // room came free
	} else {
		a.machine.pendingOffers--
	}
	p.recordLifetime(t, a, e.Outcome)
	p.classifyOutcome(t, a, e)
	p.requestReview(a.machine)
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
	if cut > 0 {
		p.history = append(p.history[:0], p.history[cut:]...)
	}
	if p.forgottenPlacements > 0 {
		p.history = slices.DeleteFunc(p.history, func(b *placement) bool { return b.forgotten })
		p.forgottenPlacements = 0
	}
	p.removedMachines = slices.DeleteFunc(p.removedMachines, func(m *machine) bool {
		if m.State == Removed && (len(m.residencies) > 0 || p.now-m.removedAt <= removedMachineRetention) {
			return false
		}
		if m.State == Removed {
			p.forgetMachine(m)
		}
		return true
	})
}

// setTimer asks to be woken when something falls due.
func (p *Placer) setTimer() {
	next := Time(math.MaxInt64)
	if p.subscribeAt > 0 {
		next = p.subscribeAt
	}
	for _, t := range p.openTasks {
		due := p.answerDeadline(t)
		if t.activeAttempt() == nil {
			due = min(due, p.now+heldTaskInterval)
		}
		next = min(next, due)
	}
	if next == math.MaxInt64 || p.timerDue != 0 && p.timerDue <= next {
		return
	}
	p.timerDue = max(next, p.now+1)
	p.emit(SetTimer{After: p.timerDue - p.now})
}

// ---- Evidence: what outcomes, reports and notes say of a machine, each with an expiry.

// recordFailure bars what failed us, longer at each further failure within forget, and until we come by again.
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
	if h.consecutiveFailures > 0 && !p.disabled[TrialPlacement] {
		h.ejectedUntil = max(h.ejectedUntil, p.now+baseEjection)
	}
}

func (p *Placer) recordSuccess(h *health) {
	h.lastSuccess, h.ejectedUntil = p.now, 0
	if p.now-h.lastFailure > failureMemory {
		h.consecutiveFailures = 0
	}
}

// recordTaskFailure: an error or silence is the class's there where another class was served, else the machine's too.
func (p *Placer) recordTaskFailure(t *task, m *machine) {
	p.recordFailure(m.healthOf(t.Class))
	for class := range m.classHealth {
		if h := m.healthOf(class); class != t.Class && h.lastSuccess > 0 && p.now-h.lastSuccess < failureMemory {
			return
		}
	}
	p.recordFailure(&m.health)
}

// attributeFailures strikes the machines that answered t with an error, now that it is placed or given up. Where several
// did and none placed it the task is at fault: bad clients' would bar every machine in turn. It could hurt
// where most machines begin to fail at once; they are struck once they have served none for a while.
func (p *Placer) attributeFailures(t *task) {
	for _, m := range t.unattributedFailures {
		if t.placed || len(t.unattributedFailures) < minCandidates {
			p.recordTaskFailure(t, m)
			p.requestReview(m)
		}
	}
	t.unattributedFailures = nil
}

// classifyOutcome reads an outcome as evidence about its machine.
func (p *Placer) classifyOutcome(t *task, a *attempt, e AttemptEnded) {
	m := a.machine
	switch e.Outcome {
	case Failed, TimedOut:
		// Where the class was served lately the task may be at fault: another machine tells, see blame.
		at, more := m.healthOf(t.Class).lastSuccess, e.Outcome == Failed && t.class.Idempotency != NonIdempotent
		if more && at > 0 && p.now-at < failureMemory {
			t.unattributedFailures = append(t.unattributedFailures, m)
		} else {
			p.recordTaskFailure(t, m)
		}
	case Unreachable:
		p.recordFailure(&m.health)
	case Lost:
		switch e.Reason {
		case Evicted, Preempted:
			p.markOverloaded(m, 2*overloadDuration, memoryShortfall)
		case DrainedAway:
		default:
			p.recordFailure(&m.health)
		}
	case Rejected:
		m.offerWindow = 1
		size := p.sizeOn(t, m)
		if p.now >= m.rejectsUntil || size < m.rejectedSize {
			m.rejectedSize = size
		}
		switch e.Reason {
		case QueueFull:
			m.rejectedSize = 0
			m.rejectsUntil = max(m.rejectsUntil, p.now+queueFullBackoff)
		case UnsupportedTask:
			m.rejectedSize = 0
			m.rejectsUntil = max(m.rejectsUntil, p.now+rejectionBackoff)
		default:
			m.rejectsUntil = max(m.rejectsUntil, p.now+rejectionBackoff<<m.consecutiveRejections)
			m.consecutiveRejections = min(m.consecutiveRejections+1, 3)
		}
	}
}

func (p *Placer) handleUsageReport(e UsageReport) {
	t, a := p.findAttempt(e.Task, e.Attempt)
	if a == nil || !a.active {
		return
	}
	if e.Kind == ServiceLevel {
		p.migrateIfUnderserved(t, a, 1-e.Amount)
	}
	switch {
	case e.Kind == ServiceLevel && e.Amount < 0.95:
		p.markOverloaded(a.machine, overloadDuration, 1-e.Amount)
	case e.Kind == MemoryPressure && e.Amount > memoryPressureLimit:
		p.markOverloaded(a.machine, overloadDuration, memoryShortfall)
	}
}

// migrateIfUnderserved has a task stopped that is served badly, so that its owner brings it again: where what it lacks
// by the end of a mean life is worth more than a move and two starts, and half of the machines serve tasks of
// ours well. Not while its class fails or a machine refuses anywhere: the new start may be lost.
func (p *Placer) migrateIfUnderserved(t *task, a *attempt, lack float64) {
	if lack < poorServiceShortfall {
		a.poorServiceAt = 0
		return
	}
	if p.now-a.poorServiceAt > overloadDuration {
		a.poorServiceSince = p.now
	}
	a.poorServiceAt = p.now
	life, c, x := p.meanLifetime(t.Class), t.class, &p.index
	gain := time.Duration((lack - p.cfg.Prices.Migration) * float64(life))
	seconds := p.cfg.Prices.Migration * c.StartValueSeconds
	cost := 2*c.LatencyObjective + time.Duration(seconds*float64(time.Second))
	if p.now-a.poorServiceSince < overloadDuration/2 || gain < cost || a.migrating || c == &p.unknownClass || p.disabled[Migrations] {
		return
	}
	p.refresh()
	good := p.eligibleByKind(t)
	least := max(minCandidates, good.Count()/2)
	for _, bad := range []*bitset.BitSet{x.overloaded, x.failing, x.slowStarting} {
		good.InPlaceDifference(bad)
	}
	good.InPlaceIntersection(x.occupied) // of the others nothing is told
	if a.migrating = good.Count() >= least && x.failingByClass[t.Class].None() && x.rejecting.None(); a.migrating {
		p.emit(Migrate{Task: t.ID})
	}
}

// markOverloaded has what m lacks of full service count as load there for a while, see others.
func (p *Placer) markOverloaded(m *machine, lasts time.Duration, lack float64) {
	m.overloadedUntil, m.serviceShortfall = max(m.overloadedUntil, p.now+lasts), lack
	p.requestReview(m)
}

// recordLifetime ends a life of t's class; one cut short counts as not ended.
func (p *Placer) recordLifetime(t *task, a *attempt, v Outcome) {
	if l := p.lifetimeOf(t.Class); a.placed && l != nil {
		l.observed += p.now - a.sentAt
		l.running, l.startSum = l.running-1, l.startSum-a.sentAt
		if v == Completed || v == Canceled {
			l.ended++
		}
	}
}

// meanLifetime is a class's mean of exponential lives, those still running censored: time seen over endings.
func (p *Placer) meanLifetime(class int) time.Duration {
	l := p.lifetimeOf(class)
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

// ---- Bars.

// chooseMachine picks a machine for t: hard bars, soft bars, vote. Nil where the hard bars leave none.
func (p *Placer) chooseMachine(t *task) *machine {
	p.refresh()
	ask := equivalenceClass{class: t.Class, cores: t.Cores, memory: t.Memory, nearDeadline: p.nearDeadline(t)}
	if t.class.SpreadDomain != NoDomain {
		ask.service = t.Service
	}
	if len(t.attempts) == 0 && p.index.infeasible[ask] {
		return nil // as for one that asked alike before in this step, and nothing was offered since
	}
	if m := p.vote(p.applySoftConstraints(t, p.applyHardConstraints(t))); m != nil || len(t.attempts) > 0 {
		return m
	}
	p.index.infeasible[ask] = true
	return nil
}

// reviewMachine writes what holds of m now into the sets that the bars work on, and has it looked at again when
// that ends.
func (p *Placer) reviewMachine(m *machine) {
	x, i := &p.index, m.number
	kind := -1
	if m.listed && m.Kind >= 0 {
		kind = m.Kind
	}
	if x.kindOf[i] != int32(kind) {
		x.kindOf[i] = int32(kind)
		x.fleetVersion++
	}
	for k := range x.activeByKind {
		inService := m.State == Active || m.State == Draining && p.disabled[DrainConstraint]
		setMember(x.activeByKind[k], i, kind == k && inService)
	}
	next := Time(math.MaxInt64)
	until := func(end Time) bool {
		if p.now < end {
			next = min(next, end)
		}
		return p.now < end
	}
	setMember(x.slowStarting, i, p.inSlowStart(m) && until(p.slowStartEnd(m)))
	setMember(x.failing, i, until(m.ejectedUntil))
	for c := range x.failingByClass {
		setMember(x.failingByClass[c], i, until(m.classHealth[c].ejectedUntil))
	}
	setMember(x.overloaded, i, until(m.overloadedUntil))
	setMember(x.occupied, i, len(m.residencies) > 0)
	setMember(x.rejecting, i, until(m.rejectsUntil))
	setMember(x.offerLimited, i, m.offerWindow > 0 && m.pendingOffers >= m.offerWindow)
	x.reportedLoad[i] = p.reportedLoad(m)
	setMember(x.reporting, i, m.loadReport.Present && until(m.loadReportedAt+reportFreshness+1))
	p.updateColumns(m, kind)
	x.scheduleReview(m, next)
}

// eligibleByKind is what is listed, in service, of a kind that serves t's class and would take it empty.
func (p *Placer) eligibleByKind(t *task) *bitset.BitSet {
	x, c := &p.index, t.class
	left := x.eligible.ClearAll()
	for k := range x.activeByKind {
		if (c.Kind < 0 || c.Kind == k) && p.fitsKind(t, k) {
			left.InPlaceUnion(x.activeByKind[k])
		}
	}
	return left
}

// applyHardConstraints is the hard bars: those of kindsFor, and the four below.
func (p *Placer) applyHardConstraints(t *task) *bitset.BitSet {
	x, left := &p.index, p.eligibleByKind(t)
	p.applyRetrySafety(t, left)
	p.applySpread(t, left)
	forEachCommon(left, x.slowStarting, func(i int) {
		if !p.hasSlowStartBudget(p.machinesByID[i]) {
			left.Clear(uint(i))
		}
	})
	return left
}

// fitsKind tells whether an empty machine of this kind would take the task.
func (p *Placer) fitsKind(t *task, kind int) bool {
	k := p.cfg.Kinds[kind]
	cores, memory := k.Cores*max(p.cfg.CoreOvercommit, 1), k.Memory*max(p.cfg.MemoryOvercommit, 1)
	return t.Cores <= cores && t.Memory <= memory
}

// applyRetrySafety keeps the second rule: once an attempt may have run, the next must be harmless.
func (p *Placer) applyRetrySafety(t *task, left *bitset.BitSet) {
	for i := range t.attempts {
		a := &t.attempts[i]
		if a.neverRan || t.class.Idempotency == Idempotent || p.disabled[RetrySafetyConstraint] {
			continue
		}
		late := p.now+p.cfg.Tick >= a.sentAt+t.class.KeyTTL
		if t.class.Idempotency != IdempotentByKey || late {
			left.ClearAll()
			return
		}
		forEachCommon(left, left, func(i int) {
			if !inSameDomain(t.class.KeyDomain, a.machine, p.machinesByID[i]) {
				left.Clear(uint(i))
			}
		})
	}
}

// applySpread keeps the fifth rule: where a service has its most, it gets no more.
func (p *Placer) applySpread(t *task, left *bitset.BitSet) {
	s := p.services[t.Service]
	if t.class.SpreadDomain == NoDomain || s == nil || p.disabled[SpreadConstraint] {
		return
	}
	places := s.zones
	switch t.class.SpreadDomain {
	case MachineDomain:
		for _, i := range s.machines {
			if p.machinesByID[i].residencies[t.Service].count >= t.class.MaxPerDomain {
				left.Clear(uint(i))
			}
		}
		return
	case CellDomain:
		places = s.cells
	}
	for at, n := range places { // in any order: each takes its own machines away
		if n >= t.class.MaxPerDomain {
			left.InPlaceDifference(at.machines)
		}
	}
}

// hasSlowStartBudget keeps the fourth rule with this scheduler's share of the offers that a cold machine always bears.
// The window is widened because offers sent apart may arrive together. Risk: after its own start a scheduler
// can't know what it has sent, so what its former life might have used is taken as spent.
//
// What shares of whole offers leave over, all of it where the share is below one, is offered in turns.
func (p *Placer) hasSlowStartBudget(m *machine) bool {
	if !p.inSlowStart(m) || p.disabled[SlowStartConstraint] {
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

// inSlowStartSlot tells whether it is this scheduler's turn for one offer more to a cold machine. Turns follow from the
// machine, its start, our index and the number of schedulers alone: they begin one step apart and each stays
// open for a fall window. So an offer sent within any one window belongs to a turn begun within two, and the
// step is such that these are never more than budget; where work waits, half of it is used. Risk: schedulers
// that count each other wrongly (two with one index) overstep.
func (p *Placer) inSlowStartSlot(m *machine, budget float64) bool {
	step := time.Duration(float64(2*p.cfg.OverloadWindow)/budget) + 1
	n := uint64(p.cfg.Schedulers)
	place := (m.idHash%n + uint64(p.cfg.Index)) % n
	since := p.now - m.Started - time.Duration(place)*step
	return since >= 0 && since%(time.Duration(n)*step) < p.cfg.OverloadWindow
}

func (p *Placer) inSlowStart(m *machine) bool {
	return m.Started > 0 && p.cfg.OverloadWindow > 0 && p.now < p.slowStartEnd(m)
}

func (p *Placer) slowStartEnd(m *machine) Time {
	return m.Started + p.cfg.SlowStartDuration + p.cfg.OverloadWindow
}

// applySoftConstraints is the soft bars, strongest first. One that would leave fewer than its least is skipped, so bad
// evidence never stops placing; that is the fixed order in which they give way, last to first.
func (p *Placer) applySoftConstraints(t *task, left *bitset.BitSet) []candidate {
	x, n := &p.index, left.Count()
	if n == 0 {
		return nil
	}
	bar := func(b Constraint, least uint, barred *bitset.BitSet) {
		if kept := left.DifferenceCardinality(barred); kept >= least && kept < n && !p.disabled[b] {
			left.InPlaceDifference(barred)
			n = kept
		}
	}
	// Tried already for this ask: another machine tells more.
	if len(t.attempts) > 0 {
		tried := x.scratch.ClearAll()
		for _, a := range t.attempts {
			if a.machine.number >= 0 {
				tried.Set(uint(a.machine.number))
			}
		}
		bar(TriedConstraint, 1, tried)
	}
	// Failing, lost or out of reach. When over half are, the cause is not a machine.
	bar(FailingConstraint, max(minCandidates, n/2), x.failing)
	// Failing this class. That may be most machines: those that serve it are kept.
	if t.Class >= 0 && t.Class < len(x.failingByClass) {
		bar(ClassFailureConstraint, minCandidates, x.failingByClass[t.Class])
	} else {
		bar(ClassFailureConstraint, minCandidates, x.failing)
	}
	// Full as far as told. A refused offer is priced and uses up an attempt, so a task is held while no
	// machine has room; late in its time it is tried once all the same, in case the evidence is wrong.
	least := uint(0)
	if p.nearDeadline(t) {
		least = 1
	}
	if full := p.withoutCapacity(t, left); left.DifferenceCardinality(full) >= least {
		left.InPlaceDifference(full)
		n = left.Count()
	}
	if n == 0 {
		return nil
	}
	if p.cfg.Prices.Fleet > 0 && p.cfg.ListsFreeCapacity && !p.disabled[ConsolidationConstraint] {
		if used := p.consolidationSet(left); left.IntersectionCardinality(used) >= minCandidates {
			left.InPlaceIntersection(used)
			n = left.Count()
		}
	}
	bar(ReportedLoadConstraint, minCandidates, p.overReported(left, n))
	return p.preferredMachines(t, left, n)
}

// nearDeadline: never offered, and little of its time is left.
func (p *Placer) nearDeadline(t *task) bool {
	return p.now >= t.submittedAt+(t.Deadline-t.submittedAt)*3/4 && len(t.attempts) == 0
}

// withoutCapacity: it lately refused such a size, or enough offers are out since to find out, or the list tells no room.
// After a refusal one offer may be out, after each acceptance one more: else all tasks that were held go to
// the first machine that takes one (incident i959772).
//
// The list is late, so what we asked of the machine since listLate before its word counts as asked too,
// against a rush of ours onto room that is gone. Guessing the others' binds held too many tasks back.
func (p *Placer) withoutCapacity(t *task, left *bitset.BitSet) *bitset.BitSet {
	x := &p.index
	full := x.scratch.ClearAll()
	forEachCommon(left, x.rejecting, func(i int) {
		if m := p.machinesByID[i]; p.sizeOn(t, m) >= m.rejectedSize && !p.disabled[RejectionConstraint] {
			full.Set(uint(i))
		}
	})
	if !p.disabled[OfferLimitConstraint] {
		full.InPlaceUnion(x.offerLimited)
	}
	if p.cfg.ListsFreeCapacity && !p.disabled[CapacityConstraint] {
		p.updateUnlisted(left.Difference(full), listDelay)
		x.addLackingCapacity(left, full, t.Cores, t.Memory)
	}
	return full
}

// overReported: the last report is far over the mean of the others left.
func (p *Placer) overReported(left *bitset.BitSet, n uint) *bitset.BitSet {
	x, mean := &p.index, 0.0
	forEachCommon(left, x.reporting, func(i int) { mean += x.reportedLoad[i] / float64(n) })
	over := x.scratch.ClearAll()
	forEachCommon(left, x.reporting, func(i int) { setMember(over, i, !(x.reportedLoad[i] < mean+reportedLoadMargin)) })
	return over
}

// consolidationSet names the machines that suffice for what the whole fleet is asked for now, filled to fleetFill, the
// fullest by the list's word first: all schedulers share that order, and those left out empty the soonest.
// The others drain, where the settings price machines in use. Could hurt where the fullest are the crowded
// ones: the bars on strained and contradicted machines come after it for that.
func (p *Placer) consolidationSet(left *bitset.BitSet) *bitset.BitSet {
	x := &p.index
	cores, memory := x.totals()
	ranked := x.rankedByRequestedShare()
	used, n := x.scratch.ClearAll(), 0
	for _, i := range ranked {
		if !left.Test(uint(i)) {
			continue
		}
		if cores <= 0 && memory <= 0 && n > minCandidates {
			break
		}
		k := p.cfg.Kinds[x.kindOf[i]]
		used.Set(uint(i))
		n++
		cores -= k.Cores * consolidationFill
		memory -= k.Memory * consolidationFill
	}
	return used
}

// preferredMachines names the machines where a service's program is likely held: those that have our tasks of it, and
// its first home. A hash ranks homes by size (weighted rendezvous hashing), the same at all schedulers,
// and when one is barred only its own services move. The next ranks fill up to several, since a vote among
// one is none. It could hurt where a flush empties the homes: the bar then only narrows the vote.
//
// A large task may also go to the best homes of those not known to serve badly: moved off one home, it came
// back from the other (incident r0b92bb), and room is worth more to it than the program.
func (p *Placer) preferredMachines(t *task, left *bitset.BitSet, n uint) []candidate {
	x, s := &p.index, p.findOrAddService(t.Service)
	first, second := x.bestTwo(s, left)
	list := x.candidates[:0]
	for _, i := range s.machines {
		if left.Test(uint(i)) {
			list = append(list, candidate{i, x.affinityOf(s, i)})
		}
	}
	add := func(i int32) {
		if i >= 0 && !slices.ContainsFunc(list, func(c candidate) bool { return c.machine == i }) {
			list = append(list, candidate{i, x.affinityOf(s, i)})
		}
	}
	add(first)
	if len(list) < minCandidates {
		add(second)
	}
	if p.sizeOn(t, p.machinesByID[first]) > largeTaskSize {
		first, second = x.bestTwo(s, left.Difference(x.overloaded))
		add(first)
		add(second)
	}
	if p.disabled[AffinityConstraint] {
		list = list[:0]
		forEachCommon(left, left, func(i int) { list = append(list, candidate{int32(i), x.affinityOf(s, int32(i))}) })
	}
	x.candidates = list
	return list
}

// score orders the homes of a service: u is a hash of machine and service between 0 and 1<<53.
func (k affinity) score() float64 { return math.Log(k.hashValue/(1<<53)) / k.weight }

// ---- Replay.

// candidate is a machine in the vote, by its number, with its rank among the homes of the service in hand.
type candidate struct {
	machine  int32
	affinity affinity
}

// vote replays the history r times from what others asked. Each run names the least loaded candidate now; the
// one named most often wins.
//
// Of the candidates that the history does not touch only the least loaded is kept: no other wins.
func (p *Placer) vote(list []candidate) *machine {
	switch len(list) {
	case 0:
		return nil
	case 1:
		return p.machinesByID[list[0].machine]
	}
	x := &p.index
	for n, c := range list {
		x.candidateOf[c.machine] = int32(n) + 1
	}
	touched := make([]bool, len(list))
	rs := x.replayBuffer[:0]
	for _, b := range p.placementsOf(list) {
		n := x.candidateOf[b.machine.number] - 1
		k := p.cfg.Kinds[b.machine.Kind]
		touched[n] = true
		alive := uint64(math.Ceil(p.survival(b) * (1 << 53)))
		rs = append(rs, replayedPlacement{n, b.cores / k.Cores, b.memory / k.Memory, alive})
	}
	idle := -1
	for n, c := range list {
		x.candidateOf[c.machine] = 0
		if !touched[n] && (idle < 0 || p.compareCandidates(c, list[idle], x.externalLoad[c.machine], x.externalLoad[list[idle].machine]) < 0) {
			idle = n
		}
	}
	live, at := make([]candidate, 0, 16), make([]int32, len(list))
	for n, c := range list {
		if touched[n] || p.compareCandidates(c, list[idle], x.externalLoad[c.machine], x.externalLoad[list[idle].machine]) == 0 {
			at[n] = int32(len(live))
			live = append(live, c)
		}
	}
	for i := range rs {
		rs[i].candidate = at[rs[i].candidate]
	}
	votes, loads := make([]float64, len(live)), make([]float64, len(live))
	cores, memory := make([]float64, len(live)), make([]float64, len(live))
	for range replayRuns {
		clear(cores)
		clear(memory)
		for i := range rs {
			if r := &rs[i]; r.survival >= 1<<53 || p.randomSource.Uint64()<<11>>11 < r.survival {
				cores[r.candidate] += r.cores
				memory[r.candidate] += r.memory
			}
		}
		for n, c := range live {
			loads[n] = x.externalLoad[c.machine] + max(cores[n], memory[n])
		}
		votes[p.leastLoaded(live, loads)]--
	}
	x.replayBuffer = rs
	return p.machinesByID[live[p.leastLoaded(live, votes)].machine]
}

// externalLoad is what m bears beside our binds, as a share of its kind: what others have asked by the list's
// word, and what our tasks there lack of full service. It is an exception to the empty fleet of a run:
// with few own binds most would tie at none, and a bar gives way when most machines serve badly. It could
// hurt where one of our tasks is itself at fault.
func (p *Placer) externalLoad(m *machine) float64 {
	lack := 0.0
	if p.now < m.overloadedUntil && !p.disabled[OverloadLoad] {
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
func (p *Placer) leastLoaded(list []candidate, value []float64) int {
	best, ties := 0, 1
	for i := 1; i < len(list); i++ {
		d := p.compareCandidates(list[i], list[best], value[i], value[best])
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

// compareCandidates is below 0 where candidate a with its value comes before b.
func (p *Placer) compareCandidates(a, b candidate, va, vb float64) int {
	if va != vb {
		return cmp.Compare(va, vb)
	}
	return b.affinity.compare(a.affinity)
}

// ---- Answers.

// serveOpenTasks goes through the open tasks: it answers what is due and offers what has no attempt out.
//
// Those that can still start within their aim go first: when room is short, a start in time is worth most.
func (p *Placer) serveOpenTasks() {
	if !p.disabled[ObjectiveOrder] {
		p.sortOpenTasks()
	}
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

// queueRankOf is below ranks.
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

// overQuota: what a tenant asks beyond its share is worth little. Acts on the order of waiting tasks only.
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
		t.class == &p.unknownClass ||
		t.class.Idempotency == NonIdempotent && t.mayHaveRun() && !p.disabled[RetrySafetyConstraint] {
		p.answerTask(t)
		return
	}
	m := p.chooseMachine(t)
	if m == nil {
		// Nothing may take it now. Held a while, since an owner that is turned away comes again late.
		if t.mayHaveRun() && t.class.Idempotency == IdempotentByKey ||
			p.now-t.submittedAt > max(t.class.LatencyObjective, 5*time.Second) {
			p.answerTask(t)
		}
		return
	}
	p.recordPlacement(t, m)
	p.startTrial(&m.health)
	p.startTrial(m.healthOf(t.Class))
	p.requestReview(m)
	if p.inSlowStart(m) {
		past := func(at Time) bool { return p.now-at > 2*p.cfg.OverloadWindow }
		m.slowStartOffers = slices.DeleteFunc(m.slowStartOffers, past)
		m.slowStartOffers = append(m.slowStartOffers, p.now)
	}
	p.emit(Offer{Task: t.ID, Machine: m.ID, Timeout: p.attemptTimeout(t)})
}

// attemptTimeout leaves time for a further attempt where one would be allowed, and ends before the answer is due.
func (p *Placer) attemptTimeout(t *task) time.Duration {
	left := p.offerDeadline(t) - p.now
	if t.class.Idempotency == NonIdempotent || p.cfg.MaxAttempts > 0 && len(t.attempts) >= p.cfg.MaxAttempts {
		return left
	}
	usual := time.Duration((p.latencyMean + 4*p.latencyDeviation) * float64(time.Second))
	return min(left, max(usual, t.class.LatencyObjective/2, 50*time.Millisecond))
}

// answerDeadline is the last moment to give the final answer; an attempt's time-out comes a tick earlier.
func (p *Placer) answerDeadline(t *task) Time { return t.Deadline - p.answerMargin() }
func (p *Placer) offerDeadline(t *task) Time  { return t.Deadline - 2*p.answerMargin() }
func (p *Placer) answerMargin() time.Duration {
	if p.disabled[AnswerDeadlineConstraint] {
		return -time.Second
	}
	return 2*p.cfg.Tick + time.Millisecond
}

// answerTask ends t: a refusal promises that a retry is safe, so it needs proof or a class that bears repeats.
func (p *Placer) answerTask(t *task) {
	t.settled = true
	p.attributeFailures(t)
	for i := range t.attempts {
		if t.attempts[i].active && p.cfg.CanCancel {
			p.emit(Cancel{Task: t.ID, Attempt: i})
		}
	}
	c := t.class
	if !t.mayHaveRun() || c.Idempotency == Idempotent ||
		c.Idempotency == IdempotentByKey && c.KeyDomain == FleetDomain {
		p.emit(Reject{Task: t.ID})
	} else {
		p.emit(Fail{Task: t.ID})
	}
	p.forgetIfSettled(t)
}
