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
	runs        = 24               // r: replays a vote
	reach       = 3.0              // d reaches back so many mean lives: what is older has mostly ended
	maxHistory  = 768              // and never over so many binds, which bounds the work of a vote
	firstLife   = 60 * time.Second // the mean life before any task was seen to end
	several     = 2                // a soft bar that would leave fewer machines than this is skipped
	fleetFill   = 0.85             // where machines in use are priced, those needed are filled so far
	listLate    = time.Second      // the list's free room may lack what was asked so long before
	maxWindow   = 16               // acceptances after which offers to a machine are not counted any more
	baseBar     = 500 * time.Millisecond
	maxStrikes  = 4 // a bar lasts baseBar << strikes at most
	forget      = 10 * time.Second
	strainBar   = 1500 * time.Millisecond
	fullBar     = 500 * time.Millisecond
	queueBar    = 150 * time.Millisecond
	strainLoad  = 3.0  // a machine that serves half of full service counts as so many halves fuller
	shortMemory = 0.92 // share of a machine's memory in use beyond which it is short
	memoryLack  = 0.3  // short of full service, where memory is short or tasks were put out
	large       = 0.15 // a task that asks for so much of a machine is large
	badLack     = 0.5  // a task that lacks so much of full service
	overMean    = 0.3  // a reported load so far over the mean of its peers contradicts the replay
	reportFresh = 3 * time.Second
	holdStep    = 40 * time.Millisecond // how often a held task is looked at again
	askRetry    = 250 * time.Millisecond
	keepUnseen  = time.Minute // a machine that is gone is remembered this long
)

// New makes the Placer of one scheduler. Equal settings, seeds and events give equal actions.
func New(cfg Config, seed uint64) (*Placer, error) {
	if err := validate(&cfg); err != nil {
		return nil, err
	}
	p := &Placer{
		cfg: cfg, src: rand.NewPCG(seed, 0x9e3779b97f4a7c15), index: newIndex(&cfg),
		machines: map[string]*machine{}, tasks: map[string]*task{}, services: map[string]*service{},
		lives:   make([]lifetime, len(cfg.Classes)),
		tenants: map[int]float64{},
		unknown: Class{Idempotency: NonIdempotent, Kind: -1},
	}
	p.rng = rand.New(p.src)
	return p, nil
}

// ---- Lifecycle.

// Step takes what has happened since the last one, in order, and returns what to do now.
func (p *Placer) Step(now Time, events []Event) []Action {
	if !p.started {
		p.started, p.born = true, now
		if p.cfg.DiscoveryOnRequest {
			p.askAt = now
		}
	}
	p.now, p.out = max(now, p.now), nil
	p.steps++
	p.expire()
	clear(p.index.held)
	if p.wakes <= p.now {
		p.wakes = 0
	}
	for _, e := range events {
		p.take(e)
	}
	p.ask()
	p.serve()
	p.prune()
	p.sleep()
	return p.out
}

func (p *Placer) do(a Action) { p.out = append(p.out, a) }

func (p *Placer) take(e Event) {
	switch e := e.(type) {
	case MachinesUpdated:
		p.listed(e)
	case DiscoveryFailed:
		p.listFailed()
	case TaskSubmitted:
		if p.tasks[e.Task.ID] == nil {
			t := p.newTask(e.Task)
			p.open = append(p.open, t)
		}
	case TaskAdopted:
		p.running(e)
	case AttemptPlaced:
		p.placed(e)
	case AttemptEnded:
		p.ended(e)
	case UsageReport:
		p.note(e)
	case HealthChecked:
		if m := p.machines[e.Machine]; m != nil {
			p.report(m, e.Load)
		}
	case TaskCanceled:
		if t := p.tasks[e.Task]; t != nil {
			t.settled = true
			p.drop(t)
		}
	}
}

// running takes over a task that runs: it counts for spread and joins the history as from now.
func (p *Placer) running(e TaskAdopted) {
	if p.tasks[e.Task.ID] != nil {
		return
	}
	t := p.newTask(e.Task)
	t.settled = true
	p.occupy(t, p.machine(e.Machine))
	p.seat(t, &t.attempts[0])
}

func (p *Placer) listed(e MachinesUpdated) {
	for _, entry := range e.Machines {
		m := p.machine(entry.ID)
		if entry.Kind < 0 || entry.Kind >= len(p.cfg.Kinds) {
			entry.Kind = -1
		}
		if m.listed && entry.Started > m.Started {
			p.restarted(m)
		}
		if entry.State == Removed && m.State != Removed {
			p.goes(m)
		}
		m.Machine, m.listed = entry, true
		m.newCores, m.newMemory, m.viewAt = 0, 0, p.now
		p.settleIn(m)
		p.touch(m)
	}
	if e.Complete {
		named := make(map[string]bool, len(e.Machines))
		for _, entry := range e.Machines {
			named[entry.ID] = true
		}
		for _, m := range p.order {
			if !named[m.ID] && m.State != Removed {
				m.State = Removed
				p.goes(m)
				p.touch(m)
			}
		}
	}
	if !e.Stale {
		p.askAt, p.askFails = 0, 0
	}
}

// goes is for a machine that is out from now on.
func (p *Placer) goes(m *machine) {
	m.goneAt = p.now
	p.outs = append(p.outs, m)
	p.forgetBinds(m, p.now)
}

// restarted clears what was known of a machine's former life.
func (p *Placer) restarted(m *machine) {
	m.health, m.strained, m.fullBar, m.load = health{}, 0, 0, LoadReport{}
	clear(m.classes)
	p.forgetBinds(m, p.now)
}

// forgetBinds is an exception to the plain replay: a lost machine keeps its replayed tasks, which would make
// its next life look full. Acts when discovery says that the machine is gone or has started anew.
func (p *Placer) forgetBinds(m *machine, before Time) {
	for _, b := range p.history {
		if b.m == m && b.at < before && !p.without[ForgetRemovedPlacements] {
			p.takeOff(b)
		}
	}
}

func (p *Placer) listFailed() {
	if !p.cfg.DiscoveryOnRequest {
		return
	}
	p.askFails++
	wait := askRetry << min(p.askFails-1, 3)
	p.askAt = p.now + wait/2 + time.Duration(p.rng.Int64N(int64(wait)))
}

// ask subscribes where changes must be asked for. A call that no answer came to is made again.
func (p *Placer) ask() {
	if p.askAt == 0 || p.now < p.askAt {
		return
	}
	p.do(Subscribe{})
	p.askAt = p.now + max(p.cfg.DiscoveryPollDeadline, time.Second)
}

func (p *Placer) placed(e AttemptPlaced) {
	t, a := p.attempt(e.Task, e.Attempt)
	if a == nil || !a.live {
		return
	}
	lag := e.Latency.Seconds()
	p.lagDev += (math.Abs(lag-p.lag) - p.lagDev) / 8
	p.lag += (lag - p.lag) / 8
	t.settled = true
	p.seat(t, a)
	p.blame(t)
	a.m.fulls = max(a.m.fulls-1, 0)
	if a.m.window++; a.m.window == 1 || a.m.window >= maxWindow {
		a.m.window = 0 // it was not counted, or need not be any more
	}
	p.served(&a.m.health)
	p.served(a.m.record(t.Class))
	p.touch(a.m)
}

func (p *Placer) ended(e AttemptEnded) {
	if m := p.machines[e.Machine]; m != nil {
		p.report(m, e.Load)
	}
	t, a := p.attempt(e.Task, e.Attempt)
	if a == nil || !a.live {
		return
	}
	a.live, a.done = false, true
	a.proved = e.Outcome == Rejected || e.Outcome == Unreachable || e.Outcome == NotSent
	if a.proved && !p.without[ForgetUnstartedPlacements] {
		p.takeOff(a.history) // it never ran, so it leaves the history
	}
	p.release(t, a.m)
	if a.placed {
		a.m.fullSize += p.size(t, a.m) // room came free
	} else {
		a.m.waiting--
	}
	p.learnLife(t, a, e.Outcome)
	p.judge(t, a, e)
	p.touch(a.m)
	if e.Final || a.placed {
		t.settled = true
	}
	p.drop(t)
}

// prune keeps the state bounded.
func (p *Placer) prune() {
	oldest := p.now - time.Duration(reach*float64(p.longestLife()))
	cut := max(0, len(p.history)-maxHistory)
	for cut < len(p.history) && p.history[cut].at < oldest {
		cut++
	}
	if cut > 0 {
		p.history = append(p.history[:0], p.history[cut:]...)
	}
	if p.offs > 0 {
		p.history = slices.DeleteFunc(p.history, func(b *bind) bool { return b.off })
		p.offs = 0
	}
	p.outs = slices.DeleteFunc(p.outs, func(m *machine) bool {
		if m.State == Removed && (len(m.services) > 0 || p.now-m.goneAt <= keepUnseen) {
			return false
		}
		if m.State == Removed {
			p.forgetMachine(m)
		}
		return true
	})
}

// sleep asks to be woken when something falls due.
func (p *Placer) sleep() {
	next := Time(math.MaxInt64)
	if p.askAt > 0 {
		next = p.askAt
	}
	for _, t := range p.open {
		due := p.answerBy(t)
		if t.inFlight() == nil {
			due = min(due, p.now+holdStep)
		}
		next = min(next, due)
	}
	if next == math.MaxInt64 || p.wakes != 0 && p.wakes <= next {
		return
	}
	p.wakes = max(next, p.now+1)
	p.do(SetTimer{After: p.wakes - p.now})
}

// ---- Evidence: what outcomes, reports and notes say of a machine, each with an expiry.

// strike bars what failed us, longer at each further failure within forget, and until we come by again.
func (p *Placer) strike(h *health) {
	if p.now-h.failedAt > forget {
		h.strikes = 0
	}
	if p.now >= h.bar {
		h.strikes = min(h.strikes+1, maxStrikes)
	}
	h.failedAt = p.now
	h.bar = max(h.bar, p.now+max(baseBar<<h.strikes, p.visit()))
}

// visit is how long we take to come by a machine again, from the binds of the history; forget at most.
func (p *Placer) visit() time.Duration {
	if len(p.history) < several {
		return 0
	}
	gap := (p.now - p.history[0].at) / time.Duration(len(p.history))
	return min(forget, gap*time.Duration(len(p.order)))
}

// probe keeps others from following an offer to what failed us lately, until its outcome is known: so that
// recovery is found by one task and not by all that wait.
func (p *Placer) probe(h *health) {
	if h.strikes > 0 && !p.without[TrialPlacement] {
		h.bar = max(h.bar, p.now+baseBar)
	}
}

func (p *Placer) served(h *health) {
	h.servedAt, h.bar = p.now, 0
	if p.now-h.failedAt > forget {
		h.strikes = 0
	}
}

// failed: an error or silence is the class's there where another class was served, else the machine's too.
func (p *Placer) failed(t *task, m *machine) {
	p.strike(m.record(t.Class))
	for class := range m.classes {
		if h := m.record(class); class != t.Class && h.servedAt > 0 && p.now-h.servedAt < forget {
			return
		}
	}
	p.strike(&m.health)
}

// blame strikes the machines that answered t with an error, now that it is placed or given up. Where several
// did and none placed it the task is at fault: bad clients' would bar every machine in turn. It could hurt
// where most machines begin to fail at once; they are struck once they have served none for a while.
func (p *Placer) blame(t *task) {
	for _, m := range t.errors {
		if t.placed || len(t.errors) < several {
			p.failed(t, m)
			p.touch(m)
		}
	}
	t.errors = nil
}

// judge reads an outcome as evidence about its machine.
func (p *Placer) judge(t *task, a *attempt, e AttemptEnded) {
	m := a.m
	switch e.Outcome {
	case Failed, TimedOut:
		// Where the class was served lately the task may be at fault: another machine tells, see blame.
		at, more := m.record(t.Class).servedAt, e.Outcome == Failed && t.class.Idempotency != NonIdempotent
		if more && at > 0 && p.now-at < forget {
			t.errors = append(t.errors, m)
		} else {
			p.failed(t, m)
		}
	case Unreachable:
		p.strike(&m.health)
	case Lost:
		switch e.Reason {
		case Evicted, Preempted:
			p.strain(m, 2*strainBar, memoryLack)
		case DrainedAway:
		default:
			p.strike(&m.health)
		}
	case Rejected:
		m.window = 1
		size := p.size(t, m)
		if p.now >= m.fullBar || size < m.fullSize {
			m.fullSize = size
		}
		switch e.Reason {
		case QueueFull:
			m.fullSize = 0
			m.fullBar = max(m.fullBar, p.now+queueBar)
		case UnsupportedTask:
			m.fullSize = 0
			m.fullBar = max(m.fullBar, p.now+fullBar)
		default:
			m.fullBar = max(m.fullBar, p.now+fullBar<<m.fulls)
			m.fulls = min(m.fulls+1, 3)
		}
	}
}

func (p *Placer) note(e UsageReport) {
	t, a := p.attempt(e.Task, e.Attempt)
	if a == nil || !a.live {
		return
	}
	if e.Kind == ServiceLevel {
		p.relocate(t, a, 1-e.Amount)
	}
	switch {
	case e.Kind == ServiceLevel && e.Amount < 0.95:
		p.strain(a.m, strainBar, 1-e.Amount)
	case e.Kind == MemoryPressure && e.Amount > shortMemory:
		p.strain(a.m, strainBar, memoryLack)
	}
}

// relocate has a task stopped that is served badly, so that its owner brings it again: where what it lacks
// by the end of a mean life is worth more than a move and two starts, and half of the machines serve tasks of
// ours well. Not while its class fails or a machine refuses anywhere: the new start may be lost.
func (p *Placer) relocate(t *task, a *attempt, lack float64) {
	if lack < badLack {
		a.badAt = 0
		return
	}
	if p.now-a.badAt > strainBar {
		a.badSince = p.now
	}
	a.badAt = p.now
	life, c, x := p.meanLife(t.Class), t.class, &p.index
	gain := time.Duration((lack - p.cfg.Prices.Migration) * float64(life))
	seconds := p.cfg.Prices.Migration * c.StartValueSeconds
	cost := 2*c.LatencyObjective + time.Duration(seconds*float64(time.Second))
	if p.now-a.badSince < strainBar/2 || gain < cost || a.moving || c == &p.unknown || p.without[Migrations] {
		return
	}
	p.refresh()
	good := p.kindsFor(t)
	least := max(several, good.Count()/2)
	for _, bad := range []*bitset.BitSet{x.strained, x.failing, x.cold} {
		good.InPlaceDifference(bad)
	}
	good.InPlaceIntersection(x.ours) // of the others nothing is told
	if a.moving = good.Count() >= least && x.classes[t.Class].None() && x.refusing.None(); a.moving {
		p.do(Migrate{Task: t.ID})
	}
}

// strain has what m lacks of full service count as load there for a while, see others.
func (p *Placer) strain(m *machine, lasts time.Duration, lack float64) {
	m.strained, m.lack = max(m.strained, p.now+lasts), lack
	p.touch(m)
}

// learnLife ends a life of t's class; one cut short counts as not ended.
func (p *Placer) learnLife(t *task, a *attempt, v Outcome) {
	if l := p.life(t.Class); a.placed && l != nil {
		l.seen += p.now - a.sent
		l.running, l.since = l.running-1, l.since-a.sent
		if v == Completed || v == Canceled {
			l.ended++
		}
	}
}

// meanLife is a class's mean of exponential lives, those still running censored: time seen over endings.
func (p *Placer) meanLife(class int) time.Duration {
	l := p.life(class)
	if l == nil {
		return firstLife
	}
	running := time.Duration(l.running)*p.now - l.since
	return (l.seen + running + firstLife) / time.Duration(l.ended+1)
}

func (p *Placer) longestLife() time.Duration {
	longest := time.Second
	for c := range p.lives {
		longest = max(longest, p.meanLife(c))
	}
	return min(longest, 5*time.Minute)
}

// ---- Bars.

// choose picks a machine for t: hard bars, soft bars, vote. Nil where the hard bars leave none.
func (p *Placer) choose(t *task) *machine {
	p.refresh()
	ask := alike{class: t.Class, cores: t.Cores, memory: t.Memory, late: p.late(t)}
	if t.class.SpreadDomain != NoDomain {
		ask.service = t.Service
	}
	if len(t.attempts) == 0 && p.index.held[ask] {
		return nil // as for one that asked alike before in this step, and nothing was offered since
	}
	if m := p.vote(p.prefer(t, p.allowed(t))); m != nil || len(t.attempts) > 0 {
		return m
	}
	p.index.held[ask] = true
	return nil
}

// review writes what holds of m now into the sets that the bars work on, and has it looked at again when
// that ends.
func (p *Placer) review(m *machine) {
	x, i := &p.index, m.at
	kind := -1
	if m.listed && m.Kind >= 0 {
		kind = m.Kind
	}
	if x.kind[i] != int32(kind) {
		x.kind[i] = int32(kind)
		x.shape++
	}
	for k := range x.kinds {
		inService := m.State == Active || m.State == Draining && p.without[DrainConstraint]
		put(x.kinds[k], i, kind == k && inService)
	}
	next := Time(math.MaxInt64)
	until := func(end Time) bool {
		if p.now < end {
			next = min(next, end)
		}
		return p.now < end
	}
	put(x.cold, i, p.cold(m) && until(p.coldUntil(m)))
	put(x.failing, i, until(m.bar))
	for c := range x.classes {
		put(x.classes[c], i, until(m.classes[c].bar))
	}
	put(x.strained, i, until(m.strained))
	put(x.ours, i, len(m.services) > 0)
	put(x.refusing, i, until(m.fullBar))
	put(x.rushed, i, m.window > 0 && m.waiting >= m.window)
	x.told[i] = p.told(m)
	put(x.reporting, i, m.load.Present && until(m.loadAt+reportFresh+1))
	p.columns(m, kind)
	x.again(m, next)
}

// kindsFor is what is listed, in service, of a kind that serves t's class and would take it empty.
func (p *Placer) kindsFor(t *task) *bitset.BitSet {
	x, c := &p.index, t.class
	left := x.left.ClearAll()
	for k := range x.kinds {
		if (c.Kind < 0 || c.Kind == k) && p.fits(t, k) {
			left.InPlaceUnion(x.kinds[k])
		}
	}
	return left
}

// allowed is the hard bars: those of kindsFor, and the four below.
func (p *Placer) allowed(t *task) *bitset.BitSet {
	x, left := &p.index, p.kindsFor(t)
	p.inGroup(t, left)
	p.spreadLeft(t, left)
	both(left, x.cold, func(i int) {
		if !p.coldLeft(p.order[i]) {
			left.Clear(uint(i))
		}
	})
	return left
}

// fits tells whether an empty machine of this kind would take the task.
func (p *Placer) fits(t *task, kind int) bool {
	k := p.cfg.Kinds[kind]
	cores, memory := k.Cores*max(p.cfg.CoreOvercommit, 1), k.Memory*max(p.cfg.MemoryOvercommit, 1)
	return t.Cores <= cores && t.Memory <= memory
}

// inGroup keeps the second rule: once an attempt may have run, the next must be harmless.
func (p *Placer) inGroup(t *task, left *bitset.BitSet) {
	for i := range t.attempts {
		a := &t.attempts[i]
		if a.proved || t.class.Idempotency == Idempotent || p.without[RetrySafetyConstraint] {
			continue
		}
		late := p.now+p.cfg.Tick >= a.sent+t.class.KeyTTL
		if t.class.Idempotency != IdempotentByKey || late {
			left.ClearAll()
			return
		}
		both(left, left, func(i int) {
			if !same(t.class.KeyDomain, a.m, p.order[i]) {
				left.Clear(uint(i))
			}
		})
	}
}

// spreadLeft keeps the fifth rule: where a service has its most, it gets no more.
func (p *Placer) spreadLeft(t *task, left *bitset.BitSet) {
	s := p.services[t.Service]
	if t.class.SpreadDomain == NoDomain || s == nil || p.without[SpreadConstraint] {
		return
	}
	places := s.zones
	switch t.class.SpreadDomain {
	case MachineDomain:
		for _, i := range s.held {
			if p.order[i].services[t.Service].n >= t.class.MaxPerDomain {
				left.Clear(uint(i))
			}
		}
		return
	case CellDomain:
		places = s.cells
	}
	for at, n := range places { // in any order: each takes its own machines away
		if n >= t.class.MaxPerDomain {
			left.InPlaceDifference(at.bits)
		}
	}
}

// coldLeft keeps the fourth rule with this scheduler's share of the offers that a cold machine always bears.
// The window is widened because offers sent apart may arrive together. Risk: after its own start a scheduler
// can't know what it has sent, so what its former life might have used is taken as spent.
//
// What shares of whole offers leave over, all of it where the share is below one, is offered in turns.
func (p *Placer) coldLeft(m *machine) bool {
	if !p.cold(m) || p.without[SlowStartConstraint] {
		return true
	}
	share := int(p.cfg.SlowStartBudget / float64(p.cfg.Schedulers))
	rest := p.cfg.SlowStartBudget - float64(share*p.cfg.Schedulers)
	from := p.now - p.cfg.OverloadWindow*3/2
	if p.born > from && p.born > m.Started {
		return false
	}
	if rest >= 1 && p.turn(m, rest) {
		share++
	}
	for _, at := range m.offers {
		if at >= from {
			share--
		}
	}
	return share > 0
}

// turn tells whether it is this scheduler's turn for one offer more to a cold machine. Turns follow from the
// machine, its start, our index and the number of schedulers alone: they begin one step apart and each stays
// open for a fall window. So an offer sent within any one window belongs to a turn begun within two, and the
// step is such that these are never more than budget; where work waits, half of it is used. Risk: schedulers
// that count each other wrongly (two with one index) overstep.
func (p *Placer) turn(m *machine, budget float64) bool {
	step := time.Duration(float64(2*p.cfg.OverloadWindow)/budget) + 1
	n := uint64(p.cfg.Schedulers)
	place := (m.hash%n + uint64(p.cfg.Index)) % n
	since := p.now - m.Started - time.Duration(place)*step
	return since >= 0 && since%(time.Duration(n)*step) < p.cfg.OverloadWindow
}

func (p *Placer) cold(m *machine) bool {
	return m.Started > 0 && p.cfg.OverloadWindow > 0 && p.now < p.coldUntil(m)
}

func (p *Placer) coldUntil(m *machine) Time {
	return m.Started + p.cfg.SlowStartDuration + p.cfg.OverloadWindow
}

// prefer is the soft bars, strongest first. One that would leave fewer than its least is skipped, so bad
// evidence never stops placing; that is the fixed order in which they give way, last to first.
func (p *Placer) prefer(t *task, left *bitset.BitSet) []candidate {
	x, n := &p.index, left.Count()
	if n == 0 {
		return nil
	}
	bar := func(b Constraint, least uint, barred *bitset.BitSet) {
		if kept := left.DifferenceCardinality(barred); kept >= least && kept < n && !p.without[b] {
			left.InPlaceDifference(barred)
			n = kept
		}
	}
	// Tried already for this ask: another machine tells more.
	if len(t.attempts) > 0 {
		tried := x.spare.ClearAll()
		for _, a := range t.attempts {
			if a.m.at >= 0 {
				tried.Set(uint(a.m.at))
			}
		}
		bar(TriedConstraint, 1, tried)
	}
	// Failing, lost or out of reach. When over half are, the cause is not a machine.
	bar(FailingConstraint, max(several, n/2), x.failing)
	// Failing this class. That may be most machines: those that serve it are kept.
	if t.Class >= 0 && t.Class < len(x.classes) {
		bar(ClassFailureConstraint, several, x.classes[t.Class])
	} else {
		bar(ClassFailureConstraint, several, x.failing)
	}
	// Full as far as told. A refused offer is priced and uses up an attempt, so a task is held while no
	// machine has room; late in its time it is tried once all the same, in case the evidence is wrong.
	least := uint(0)
	if p.late(t) {
		least = 1
	}
	if full := p.full(t, left); left.DifferenceCardinality(full) >= least {
		left.InPlaceDifference(full)
		n = left.Count()
	}
	if n == 0 {
		return nil
	}
	if p.cfg.Prices.Fleet > 0 && p.cfg.ListsFreeCapacity && !p.without[ConsolidationConstraint] {
		if used := p.inUse(left); left.IntersectionCardinality(used) >= several {
			left.InPlaceIntersection(used)
			n = left.Count()
		}
	}
	bar(ReportedLoadConstraint, several, p.contradicted(left, n))
	return p.homes(t, left, n)
}

// late: never offered, and little of its time is left.
func (p *Placer) late(t *task) bool {
	return p.now >= t.taken+(t.Deadline-t.taken)*3/4 && len(t.attempts) == 0
}

// full: it lately refused such a size, or enough offers are out since to find out, or the list tells no room.
// After a refusal one offer may be out, after each acceptance one more: else all tasks that were held go to
// the first machine that takes one (incident i959772).
//
// The list is late, so what we asked of the machine since listLate before its word counts as asked too,
// against a rush of ours onto room that is gone. Guessing the others' binds held too many tasks back.
func (p *Placer) full(t *task, left *bitset.BitSet) *bitset.BitSet {
	x := &p.index
	full := x.spare.ClearAll()
	both(left, x.refusing, func(i int) {
		if m := p.order[i]; p.size(t, m) >= m.fullSize && !p.without[RejectionConstraint] {
			full.Set(uint(i))
		}
	})
	if !p.without[OfferLimitConstraint] {
		full.InPlaceUnion(x.rushed)
	}
	if p.cfg.ListsFreeCapacity && !p.without[CapacityConstraint] {
		p.lateSums(left.Difference(full), listLate)
		x.lacking(left, full, t.Cores, t.Memory)
	}
	return full
}

// contradicted: the last report is far over the mean of the others left.
func (p *Placer) contradicted(left *bitset.BitSet, n uint) *bitset.BitSet {
	x, mean := &p.index, 0.0
	both(left, x.reporting, func(i int) { mean += x.told[i] / float64(n) })
	over := x.spare.ClearAll()
	both(left, x.reporting, func(i int) { put(over, i, !(x.told[i] < mean+overMean)) })
	return over
}

// inUse names the machines that suffice for what the whole fleet is asked for now, filled to fleetFill, the
// fullest by the list's word first: all schedulers share that order, and those left out empty the soonest.
// The others drain, where the settings price machines in use. Could hurt where the fullest are the crowded
// ones: the bars on strained and contradicted machines come after it for that.
func (p *Placer) inUse(left *bitset.BitSet) *bitset.BitSet {
	x := &p.index
	cores, memory := x.sums()
	ranked := x.ranked()
	used, n := x.spare.ClearAll(), 0
	for _, i := range ranked {
		if !left.Test(uint(i)) {
			continue
		}
		if cores <= 0 && memory <= 0 && n > several {
			break
		}
		k := p.cfg.Kinds[x.kind[i]]
		used.Set(uint(i))
		n++
		cores -= k.Cores * fleetFill
		memory -= k.Memory * fleetFill
	}
	return used
}

// homes names the machines where a service's program is likely held: those that have our tasks of it, and
// its first home. A hash ranks homes by size (weighted rendezvous hashing), the same at all schedulers,
// and when one is barred only its own services move. The next ranks fill up to several, since a vote among
// one is none. It could hurt where a flush empties the homes: the bar then only narrows the vote.
//
// A large task may also go to the best homes of those not known to serve badly: moved off one home, it came
// back from the other (incident r0b92bb), and room is worth more to it than the program.
func (p *Placer) homes(t *task, left *bitset.BitSet, n uint) []candidate {
	x, s := &p.index, p.service(t.Service)
	first, second := x.best(s, left)
	list := x.candidates[:0]
	for _, i := range s.held {
		if left.Test(uint(i)) {
			list = append(list, candidate{i, x.rankKey(s, i)})
		}
	}
	add := func(i int32) {
		if i >= 0 && !slices.ContainsFunc(list, func(c candidate) bool { return c.i == i }) {
			list = append(list, candidate{i, x.rankKey(s, i)})
		}
	}
	add(first)
	if len(list) < several {
		add(second)
	}
	if p.size(t, p.order[first]) > large {
		first, second = x.best(s, left.Difference(x.strained))
		add(first)
		add(second)
	}
	if p.without[AffinityConstraint] {
		list = list[:0]
		both(left, left, func(i int) { list = append(list, candidate{int32(i), x.rankKey(s, int32(i))}) })
	}
	x.candidates = list
	return list
}

// rank orders the homes of a service: u is a hash of machine and service between 0 and 1<<53.
func (k rankKey) rank() float64 { return math.Log(k.u/(1<<53)) / k.weight }

// ---- Replay.

// candidate is a machine in the vote, by its number, with its rank among the homes of the service in hand.
type candidate struct {
	i    int32
	rank rankKey
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
		return p.order[list[0].i]
	}
	x := &p.index
	for n, c := range list {
		x.pick[c.i] = int32(n) + 1
	}
	touched := make([]bool, len(list))
	rs := x.replayed[:0]
	for _, b := range p.bindsOf(list) {
		n := x.pick[b.m.at] - 1
		k := p.cfg.Kinds[b.m.Kind]
		touched[n] = true
		alive := uint64(math.Ceil(p.alive(b) * (1 << 53)))
		rs = append(rs, replayed{n, b.cores / k.Cores, b.memory / k.Memory, alive})
	}
	idle := -1
	for n, c := range list {
		x.pick[c.i] = 0
		if !touched[n] && (idle < 0 || p.before(c, list[idle], x.others[c.i], x.others[list[idle].i]) < 0) {
			idle = n
		}
	}
	live, at := make([]candidate, 0, 16), make([]int32, len(list))
	for n, c := range list {
		if touched[n] || p.before(c, list[idle], x.others[c.i], x.others[list[idle].i]) == 0 {
			at[n] = int32(len(live))
			live = append(live, c)
		}
	}
	for i := range rs {
		rs[i].n = at[rs[i].n]
	}
	votes, loads := make([]float64, len(live)), make([]float64, len(live))
	cores, memory := make([]float64, len(live)), make([]float64, len(live))
	for range runs {
		clear(cores)
		clear(memory)
		for i := range rs {
			if r := &rs[i]; r.alive >= 1<<53 || p.src.Uint64()<<11>>11 < r.alive {
				cores[r.n] += r.cores
				memory[r.n] += r.memory
			}
		}
		for n, c := range live {
			loads[n] = x.others[c.i] + max(cores[n], memory[n])
		}
		votes[p.least(live, loads)]--
	}
	x.replayed = rs
	return p.order[live[p.least(live, votes)].i]
}

// others is what m bears beside our binds, as a share of its kind: what others have asked by the list's
// word, and what our tasks there lack of full service. It is an exception to the empty fleet of a run:
// with few own binds most would tie at none, and a bar gives way when most machines serve badly. It could
// hurt where one of our tasks is itself at fault.
func (p *Placer) others(m *machine) float64 {
	lack := 0.0
	if p.now < m.strained && !p.without[OverloadLoad] {
		lack = strainLoad * m.lack
	}
	if !p.cfg.ListsFreeCapacity {
		return lack
	}
	k := p.cfg.Kinds[m.Kind]
	cores := k.Cores - m.FreeCores - (m.cores - m.newCores)
	memory := k.Memory - m.FreeMemory - (m.memory - m.newMemory)
	return lack + max(0, cores/k.Cores, memory/k.Memory)
}

// alive is the chance that the life drawn for b has not ended: its hint where given, else exponential with
// its class's mean life. Drawing once against it is the same as drawing the life.
func (p *Placer) alive(b *bind) float64 {
	age := p.now - b.at
	if b.hint > 0 {
		if age < b.hint {
			return 1
		}
		return 0
	}
	return math.Exp(-float64(age) / float64(p.meanLife(b.class)))
}

// least returns the index of the least value. A tie goes to the better home, and at random where there are
// none: with few binds beside the machines most tie at none, and a draw would have every service started anew
// on each of its homes.
func (p *Placer) least(list []candidate, value []float64) int {
	best, ties := 0, 1
	for i := 1; i < len(list); i++ {
		d := p.before(list[i], list[best], value[i], value[best])
		switch {
		case d < 0:
			best, ties = i, 1
		case d == 0:
			if ties++; p.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// before is below 0 where candidate a with its value comes before b.
func (p *Placer) before(a, b candidate, va, vb float64) int {
	if va != vb {
		return cmp.Compare(va, vb)
	}
	return b.rank.compare(a.rank)
}

// ---- Answers.

// serve goes through the open tasks: it answers what is due and offers what has no attempt out.
//
// Those that can still start within their aim go first: when room is short, a start in time is worth most.
func (p *Placer) serve() {
	if !p.without[ObjectiveOrder] {
		p.sortOpen()
	}
	for _, t := range p.open {
		if t.settled {
			continue
		}
		if a := t.inFlight(); a != nil {
			if p.now >= p.answerBy(t) {
				p.answer(t)
			}
			continue
		}
		p.place(t)
	}
	p.open = slices.DeleteFunc(p.open, func(t *task) bool { return t.settled })
}

// rank is below ranks.
func (p *Placer) rank(t *task) int {
	rank := 0
	if p.now > t.taken+t.class.LatencyObjective {
		rank = 1
	}
	if p.overShare(t) {
		rank += 2
	}
	return rank
}

// overShare: what a tenant asks beyond its share is worth little. Acts on the order of waiting tasks only.
func (p *Placer) overShare(t *task) bool {
	if t.Tenant < 0 || t.Tenant >= len(p.cfg.Tenants) || p.cfg.OverQuotaWeight >= 1 {
		return false
	}
	quota := p.cfg.Tenants[t.Tenant].QuotaCores
	return quota > 0 && p.tenants[t.Tenant]*float64(p.cfg.Schedulers) > quota
}

// place offers t to a machine, holds it, or gives it up.
func (p *Placer) place(t *task) {
	if p.now >= p.offerBy(t) || p.cfg.MaxAttempts > 0 && len(t.attempts) >= p.cfg.MaxAttempts ||
		t.class == &p.unknown ||
		t.class.Idempotency == NonIdempotent && t.mayHaveRun() && !p.without[RetrySafetyConstraint] {
		p.answer(t)
		return
	}
	m := p.choose(t)
	if m == nil {
		// Nothing may take it now. Held a while, since an owner that is turned away comes again late.
		if t.mayHaveRun() && t.class.Idempotency == IdempotentByKey ||
			p.now-t.taken > max(t.class.LatencyObjective, 5*time.Second) {
			p.answer(t)
		}
		return
	}
	p.occupy(t, m)
	p.probe(&m.health)
	p.probe(m.record(t.Class))
	p.touch(m)
	if p.cold(m) {
		past := func(at Time) bool { return p.now-at > 2*p.cfg.OverloadWindow }
		m.offers = slices.DeleteFunc(m.offers, past)
		m.offers = append(m.offers, p.now)
	}
	p.do(Offer{Task: t.ID, Machine: m.ID, Timeout: p.timeout(t)})
}

// timeout leaves time for a further attempt where one would be allowed, and ends before the answer is due.
func (p *Placer) timeout(t *task) time.Duration {
	left := p.offerBy(t) - p.now
	if t.class.Idempotency == NonIdempotent || p.cfg.MaxAttempts > 0 && len(t.attempts) >= p.cfg.MaxAttempts {
		return left
	}
	usual := time.Duration((p.lag + 4*p.lagDev) * float64(time.Second))
	return min(left, max(usual, t.class.LatencyObjective/2, 50*time.Millisecond))
}

// answerBy is the last moment to give the final answer; an attempt's time-out comes a tick earlier.
func (p *Placer) answerBy(t *task) Time { return t.Deadline - p.margin() }
func (p *Placer) offerBy(t *task) Time  { return t.Deadline - 2*p.margin() }
func (p *Placer) margin() time.Duration {
	if p.without[AnswerDeadlineConstraint] {
		return -time.Second
	}
	return 2*p.cfg.Tick + time.Millisecond
}

// answer ends t: a refusal promises that a retry is safe, so it needs proof or a class that bears repeats.
func (p *Placer) answer(t *task) {
	t.settled = true
	p.blame(t)
	for i := range t.attempts {
		if t.attempts[i].live && p.cfg.CanCancel {
			p.do(Cancel{Task: t.ID, Attempt: i})
		}
	}
	c := t.class
	if !t.mayHaveRun() || c.Idempotency == Idempotent ||
		c.Idempotency == IdempotentByKey && c.KeyDomain == FleetDomain {
		p.do(Reject{Task: t.ID})
	} else {
		p.do(Fail{Task: t.ID})
	}
	p.drop(t)
}
