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
	strainLoad  = 3.0
	memoryLack  = 0.3
	shortMemory = 0.92 // share of a machine's memory in use beyond which it is short
	overMean    = 0.3  // a reported load so far over the mean of its peers contradicts the replay
	reportFresh = 3 * time.Second
	holdStep    = 40 * time.Millisecond // how often a held task is looked at again
	askRetry    = 250 * time.Millisecond
	keepUnseen  = time.Minute // a machine that is gone is remembered this long
)

// New makes the Placer of one scheduler. Equal settings, seeds and events give equal actions.
func New(cfg flaxshelf.Config, seed uint64) (*Placer, error) {
	if _, err := flaxshelf.New(cfg, seed); err != nil {
		return nil, err
	}
	cfg.Schedulers = max(cfg.Schedulers, 1)
	p := &Placer{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		machines: map[string]*machine{}, tasks: map[string]*task{},
		lives:   make([]lifetime, len(cfg.Classes)),
		tenants: map[int]float64{},
		unknown: flaxshelf.Class{Idempotency: flaxshelf.NonIdempotent, Kind: -1},
	}
	return p, nil
}

// ---- Lifecycle.

// Step takes what has happened since the last one, in order, and returns what to do now.
func (p *Placer) Step(now flaxshelf.Time, events []flaxshelf.Event) []flaxshelf.Action {
	if !p.started {
		p.started, p.born = true, now
		if p.cfg.DiscoveryOnRequest {
			p.askAt = now
		}
	}
	p.now, p.out = max(now, p.now), nil
	p.steps++
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

func (p *Placer) do(a flaxshelf.Action) { p.out = append(p.out, a) }

func (p *Placer) take(e flaxshelf.Event) {
	switch e := e.(type) {
	case flaxshelf.MachinesUpdated:
		p.listed(e)
	case flaxshelf.DiscoveryFailed:
		p.listFailed()
	case flaxshelf.TaskSubmitted:
		if p.tasks[e.Task.ID] == nil {
			t := p.newTask(e.Task)
			p.open = append(p.open, t)
		}
	case flaxshelf.TaskAdopted:
		p.running(e)
	case flaxshelf.AttemptPlaced:
		p.placed(e)
	case flaxshelf.AttemptEnded:
		p.ended(e)
	case flaxshelf.UsageReport:
		p.note(e)
	case flaxshelf.HealthChecked:
		if m := p.machines[e.Machine]; m != nil {
			p.report(m, e.Load)
		}
	case flaxshelf.TaskCanceled:
		if t := p.tasks[e.Task]; t != nil {
			t.settled = true
			p.drop(t)
		}
	}
}

// running takes over a task that runs: it counts for spread and joins the history as from now.
func (p *Placer) running(e flaxshelf.TaskAdopted) {
	if p.tasks[e.Task.ID] != nil {
		return
	}
	t := p.newTask(e.Task)
	t.settled = true
	p.occupy(t, p.machine(e.Machine))
	p.seat(t, &t.attempts[0])
}

func (p *Placer) listed(e flaxshelf.MachinesUpdated) {
	named := make(map[string]bool, len(e.Machines))
	for _, entry := range e.Machines {
		named[entry.ID] = true
		m := p.machine(entry.ID)
		if entry.Kind < 0 || entry.Kind >= len(p.cfg.Kinds) {
			entry.Kind = -1
		}
		if m.listed && entry.Started > m.Started {
			p.restarted(m)
		}
		if entry.State == flaxshelf.Removed && m.State != flaxshelf.Removed {
			m.goneAt = p.now
			p.forgetBinds(m, p.now)
		}
		m.Machine, m.listed = entry, true
		m.newCores, m.newMemory, m.viewAt = 0, 0, p.now
	}
	if e.Complete {
		for _, m := range p.order {
			if !named[m.ID] && m.State != flaxshelf.Removed {
				m.State, m.goneAt = flaxshelf.Removed, p.now
				p.forgetBinds(m, p.now)
			}
		}
	}
	if !e.Stale {
		p.askAt, p.askFails = 0, 0
	}
}

// restarted clears what was known of a machine's former life.
func (p *Placer) restarted(m *machine) {
	m.health, m.strained, m.fullBar, m.load = health{}, 0, 0, flaxshelf.LoadReport{}
	clear(m.classes)
	p.forgetBinds(m, p.now)
}

// forgetBinds is an exception to the plain replay: a lost machine keeps its replayed tasks, which would make
// its next life look full. Acts when discovery says that the machine is gone or has started anew.
func (p *Placer) forgetBinds(m *machine, before flaxshelf.Time) {
	for _, b := range p.history {
		if b.m == m && b.at < before {
			b.off = true
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
	p.do(flaxshelf.Subscribe{})
	p.askAt = p.now + max(p.cfg.DiscoveryPollDeadline, time.Second)
}

func (p *Placer) placed(e flaxshelf.AttemptPlaced) {
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
}

func (p *Placer) ended(e flaxshelf.AttemptEnded) {
	if m := p.machines[e.Machine]; m != nil {
		p.report(m, e.Load)
	}
	t, a := p.attempt(e.Task, e.Attempt)
	if a == nil || !a.live {
		return
	}
	a.live, a.done = false, true
	a.proved = e.Outcome == flaxshelf.Rejected || e.Outcome == flaxshelf.Unreachable || e.Outcome == flaxshelf.NotSent
	if a.proved {
		a.history.off = true // it never ran, so it leaves the history
	}
	p.release(t, a.m)
	if a.placed {
		a.m.fullSize += p.size(t, a.m) // room came free
	} else {
		a.m.waiting--
	}
	p.learnLife(t, a, e.Outcome)
	p.judge(t, a, e)
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
	p.history = append(p.history[:0], p.history[cut:]...)
	p.history = slices.DeleteFunc(p.history, func(b *bind) bool { return b.off })
	p.order = slices.DeleteFunc(p.order, func(m *machine) bool {
		if m.State == flaxshelf.Removed && len(m.services) == 0 && p.now-m.goneAt > keepUnseen {
			delete(p.machines, m.ID)
			return true
		}
		return false
	})
}

// sleep asks to be woken when something falls due.
func (p *Placer) sleep() {
	next := flaxshelf.Time(math.MaxInt64)
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
	p.do(flaxshelf.SetTimer{After: p.wakes - p.now})
}

// ---- Evidence: what outcomes, reports and notes say of a machine, each with an expiry.

// strike bars what failed us; each further failure within forget doubles the time. The bar lasts until we
// would come by again at least: one with few binds beside the machines would never feel a shorter bar.
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
	if h.strikes > 0 {
		h.bar = max(h.bar, p.now+baseBar)
	}
}

func (p *Placer) served(h *health) {
	h.servedAt, h.bar = p.now, 0
	if p.now-h.failedAt > forget {
		h.strikes = 0
	}
}

// failed tells a class's cause from a machine's: an error or silence belongs to the machine and class alone
// where another class was served there lately, else to the machine too.
func (p *Placer) failed(t *task, m *machine) {
	p.strike(m.record(t.Class))
	for class := range m.classes {
		if h := m.record(class); class != t.Class && h.servedAt > 0 && p.now-h.servedAt < forget {
			return
		}
	}
	p.strike(&m.health)
}

// blame strikes the machines that answered t with an error, as the module's does.
func (p *Placer) blame(t *task) {
	for _, m := range t.errors {
		if t.placed || len(t.errors) < several {
			p.failed(t, m)
		}
	}
	t.errors = nil
}

// judge reads an outcome as evidence about its machine.
func (p *Placer) judge(t *task, a *attempt, e flaxshelf.AttemptEnded) {
	m := a.m
	switch e.Outcome {
	case flaxshelf.Failed: // later than the text: see blame in the module
		if at := m.record(t.Class).servedAt; at > 0 && p.now-at < forget && t.class.Idempotency != flaxshelf.NonIdempotent {
			t.errors = append(t.errors, m)
			return
		}
		p.failed(t, m)
	case flaxshelf.TimedOut:
		p.failed(t, m)
	case flaxshelf.Unreachable:
		p.strike(&m.health)
	case flaxshelf.Lost:
		switch e.Reason {
		case flaxshelf.Evicted, flaxshelf.Preempted:
			p.strain(m, 2*strainBar, memoryLack)
		case flaxshelf.DrainedAway:
		default:
			p.strike(&m.health)
		}
	case flaxshelf.Rejected:
		m.window = 1
		size := p.size(t, m)
		if p.now >= m.fullBar || size < m.fullSize {
			m.fullSize = size
		}
		switch e.Reason {
		case flaxshelf.QueueFull:
			m.fullSize = 0
			m.fullBar = max(m.fullBar, p.now+queueBar)
		case flaxshelf.UnsupportedTask:
			m.fullSize = 0
			m.fullBar = max(m.fullBar, p.now+fullBar)
		default:
			m.fullBar = max(m.fullBar, p.now+fullBar<<m.fulls)
			m.fulls = min(m.fulls+1, 3)
		}
	}
}

func (p *Placer) note(e flaxshelf.UsageReport) {
	t, a := p.attempt(e.Task, e.Attempt)
	if a == nil || !a.live {
		return
	}
	if e.Kind == flaxshelf.ServiceLevel {
		p.relocate(t, a, 1-e.Amount)
	}
	switch {
	case e.Kind == flaxshelf.ServiceLevel && e.Amount < 0.95:
		p.strain(a.m, strainBar, 1-e.Amount)
	case e.Kind == flaxshelf.MemoryPressure && e.Amount > shortMemory:
		p.strain(a.m, strainBar, memoryLack)
	}
}

// relocate is later than the text: see the module's.
func (p *Placer) relocate(t *task, a *attempt, lack float64) {
	if lack < 0.5 {
		a.badAt = 0
		return
	}
	if p.now-a.badAt > strainBar {
		a.badSince = p.now
	}
	a.badAt = p.now
	life, c := p.meanLife(t.Class), t.class
	gain := time.Duration((lack - p.cfg.Prices.Migration) * float64(life))
	cost := 2*c.LatencyObjective + time.Duration(p.cfg.Prices.Migration*c.StartValueSeconds*float64(time.Second))
	if p.now-a.badSince < strainBar/2 || gain < cost || a.moving || c == &p.unknown {
		return
	}
	all, good := 0, 0
	for _, m := range p.order {
		if p.now < m.record(t.Class).bar || p.now < m.fullBar {
			return
		}
		if !m.listed || m.State != flaxshelf.Active || m.Kind < 0 || c.Kind >= 0 && c.Kind != m.Kind || !p.fits(t, m) {
			continue
		}
		all++
		if p.now >= m.strained && p.now >= m.bar && !p.cold(m) && len(m.services) > 0 {
			good++
		}
	}
	if good >= max(several, all/2) {
		a.moving = true
		p.do(flaxshelf.Migrate{Task: t.ID})
	}
}

// strain is later than the text: see the module's.
func (p *Placer) strain(m *machine, lasts time.Duration, lack float64) {
	m.strained, m.lack = max(m.strained, p.now+lasts), lack
}

func (p *Placer) report(m *machine, l flaxshelf.LoadReport) {
	if l.Present {
		m.load, m.loadAt = l, p.now
	}
}

// learnLife ends a life of t's class; one cut short by its machine counts as not ended.
func (p *Placer) learnLife(t *task, a *attempt, v flaxshelf.Outcome) {
	if l := p.life(t.Class); a.placed && l != nil {
		l.seen += p.now - a.sent
		l.running, l.since = l.running-1, l.since-a.sent
		if v == flaxshelf.Completed || v == flaxshelf.Canceled {
			l.ended++
		}
	}
}

// meanLife is the mean of a class's exponential lives with those still running counted as censored: time
// seen running over endings. Endings alone would be biased short while most tasks still run.
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

// size is the share of machine m that task t asks for: the larger of cores and memory.
func (p *Placer) size(t *task, m *machine) float64 {
	if m.Kind < 0 {
		return 0
	}
	k := p.cfg.Kinds[m.Kind]
	return max(t.Cores/k.Cores, t.Memory/k.Memory)
}

// ---- Bars.

// choose picks a machine for t: hard bars, soft bars, vote. Nil where the hard bars leave none.
func (p *Placer) choose(t *task) *machine {
	var left []*machine
	for _, m := range p.order {
		if p.allowed(t, m) {
			left = append(left, m)
		}
	}
	if len(left) == 0 {
		return nil
	}
	return p.vote(p.prefer(t, left))
}

// allowed is the hard bars.
func (p *Placer) allowed(t *task, m *machine) bool {
	c := t.class
	return m.listed && m.State == flaxshelf.Active && m.Kind >= 0 &&
		(c.Kind < 0 || c.Kind == m.Kind) &&
		p.fits(t, m) && p.inGroup(t, m) && p.spreadLeft(t, m) && p.coldLeft(m)
}

// fits tells whether an empty machine of this kind would take the task.
func (p *Placer) fits(t *task, m *machine) bool {
	k := p.cfg.Kinds[m.Kind]
	return t.Cores <= k.Cores*max(p.cfg.CoreOvercommit, 1) && t.Memory <= k.Memory*max(p.cfg.MemoryOvercommit, 1)
}

// inGroup keeps the second rule: once an attempt may have run, the next must be harmless.
func (p *Placer) inGroup(t *task, m *machine) bool {
	for i := range t.attempts {
		a := &t.attempts[i]
		if a.proved || t.class.Idempotency == flaxshelf.Idempotent {
			continue
		}
		late := p.now+p.cfg.Tick >= a.sent+t.class.KeyTTL
		if t.class.Idempotency != flaxshelf.IdempotentByKey || !same(t.class.KeyDomain, a.m, m) || late {
			return false
		}
	}
	return true
}

func (p *Placer) spreadLeft(t *task, m *machine) bool {
	if t.class.SpreadDomain == flaxshelf.NoDomain {
		return true
	}
	n := 0
	for _, o := range p.order {
		if same(t.class.SpreadDomain, o, m) {
			n += o.services[t.Service]
		}
	}
	return n < t.class.MaxPerDomain
}

// coldLeft keeps the fourth rule with this scheduler's share of the offers that a cold machine always bears.
// The window is widened because offers sent apart may arrive together. Risk: after its own start a scheduler
// can't know what it has sent, so what its former life might have used is taken as spent.
//
// What shares of whole offers leave over, all of it where the share is below one, is offered in turns.
func (p *Placer) coldLeft(m *machine) bool {
	if !p.cold(m) {
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

// turn tells whether it is this scheduler's turn for one offer more to a cold machine: turns begin one step apart, in an order
// that all schedulers derive alike, and stay open for a window, so that no window holds more than budget.
func (p *Placer) turn(m *machine, budget float64) bool {
	step := time.Duration(float64(2*p.cfg.OverloadWindow)/budget) + 1
	n := uint64(p.cfg.Schedulers)
	place := (m.hash%n + uint64(p.cfg.Index)) % n
	since := p.now - m.Started - time.Duration(place)*step
	return since >= 0 && since%(time.Duration(n)*step) < p.cfg.OverloadWindow
}

func (p *Placer) cold(m *machine) bool {
	return m.Started > 0 && p.cfg.OverloadWindow > 0 && p.now < m.Started+p.cfg.SlowStartDuration+p.cfg.OverloadWindow
}

// prefer is the soft bars, strongest first. One that would leave fewer than its least is skipped, so bad
// evidence never stops placing; that is the fixed order in which they give way, last to first.
func (p *Placer) prefer(t *task, left []*machine) []*machine {
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
	keep(1, func(m *machine) bool { return !t.tried(m) })
	// Failing, lost or out of reach. When over half are, the cause is not a machine.
	keep(max(several, len(left)/2), func(m *machine) bool { return p.now >= m.bar })
	// Failing this class. That may be most machines: those that serve it are kept.
	keep(several, func(m *machine) bool { return p.now >= m.record(t.Class).bar })
	// Full as far as told. A refused offer is priced and uses up an attempt, so a task is held while no
	// machine has room; late in its time it is tried once all the same, in case the evidence is wrong.
	least := 0
	if p.now >= t.taken+(t.Deadline-t.taken)*3/4 && len(t.attempts) == 0 {
		least = 1
	}
	keep(least, func(m *machine) bool { return !p.full(t, m) })
	if len(left) == 0 {
		return nil
	}
	if p.cfg.Prices.Fleet > 0 && p.cfg.ListsFreeCapacity {
		used := p.inUse(left)
		keep(several, func(m *machine) bool { return used[m] })
	}
	mean := 0.0
	for _, m := range left {
		mean += p.told(m) / float64(len(left))
	}
	keep(several, func(m *machine) bool { return p.told(m) < mean+overMean })
	home := p.homes(t, left)
	keep(several, func(m *machine) bool { return home[m] })
	return left
}

// full: it lately refused such a size, or enough offers are out since to find out, or the list tells no room.
// After a refusal one offer may be out, after each acceptance one more: else all tasks that were held go to
// the first machine that takes one (incident i959772).
func (p *Placer) full(t *task, m *machine) bool {
	rushed := m.window > 0 && m.waiting >= m.window
	return p.now < m.fullBar && p.size(t, m) >= m.fullSize || rushed || !p.room(t, m)
}

// told is the load that a machine's last report tells; 0 without a fresh one.
func (p *Placer) told(m *machine) float64 {
	if !m.load.Present || p.now-m.loadAt > reportFresh || m.Kind < 0 {
		return 0
	}
	k, load := p.cfg.Kinds[m.Kind], 0.0
	if m.load.HasCores {
		load = max(load, 1-m.load.FreeCores/k.Cores)
	}
	if m.load.HasMemory {
		load = max(load, 1-m.load.FreeMemory/k.Memory)
	}
	return load
}

// room tells whether the list's free cores and memory leave room for t; true where it tells none.
//
// The list is late, so what we asked of the machine since listLate before its word counts as asked too,
// against a rush of ours onto room that is gone. Guessing the others' binds held too many tasks back.
func (p *Placer) room(t *task, m *machine) bool {
	if !p.cfg.ListsFreeCapacity {
		return true
	}
	k := p.cfg.Kinds[m.Kind]
	cores := m.FreeCores + (p.cfg.CoreOvercommit-1)*k.Cores
	memory := m.FreeMemory + (p.cfg.MemoryOvercommit-1)*k.Memory
	if m.lateIn != p.steps { // once a step, since thousands may wait; occupy adds to it
		m.lateIn, m.lateCores, m.lateMemory = p.steps, 0, 0
		for _, b := range slices.Backward(p.recent()) {
			if b.at < m.viewAt-listLate {
				break
			}
			if b.m == m && !b.off {
				m.lateCores += b.cores
				m.lateMemory += b.memory
			}
		}
	}
	return cores-m.lateCores >= t.Cores && memory-m.lateMemory >= t.Memory
}

// inUse names the machines that suffice for what the whole fleet is asked for now, filled to fleetFill, the
// fullest by the list's word first: all schedulers share that order, and those left out empty the soonest.
// The others drain, where the settings price machines in use. Could hurt where the fullest are the crowded
// ones: the bars on strained and contradicted machines come after it for that.
func (p *Placer) inUse(left []*machine) map[*machine]bool {
	var cores, memory float64
	for _, m := range p.order {
		if m.listed && m.State != flaxshelf.Removed && m.Kind >= 0 {
			k := p.cfg.Kinds[m.Kind]
			cores += k.Cores - m.FreeCores + m.newCores
			memory += k.Memory - m.FreeMemory + m.newMemory
		}
	}
	used := map[*machine]bool{}
	order := slices.Clone(left)
	slices.SortStableFunc(order, func(a, b *machine) int { return cmp.Compare(p.asked(b), p.asked(a)) })
	for _, m := range order {
		if cores <= 0 && memory <= 0 && len(used) > several {
			break
		}
		k := p.cfg.Kinds[m.Kind]
		used[m] = true
		cores -= k.Cores * fleetFill
		memory -= k.Memory * fleetFill
	}
	return used
}

// homes names the machines where a service's program is likely held: those that have our tasks of it, and
// its first home. A hash of both ranks homes, so all schedulers name the same ones without a word,
// and when one is barred only its own services move. The next ranks fill up to several, since a vote among
// one is none. It could hurt where a flush empties the homes: the bar then only narrows the vote.
//
// A machine is home to services in proportion to its size (weighted rendezvous hashing), since schedulers
// with few binds of their own follow the homes far more than the replay.
func (p *Placer) homes(t *task, left []*machine) map[*machine]bool {
	home := map[*machine]bool{}
	for _, m := range left {
		if m.services[t.Service] > 0 {
			home[m] = true
		}
	}
	service := hash(t.Service)
	ranks := slices.Clone(left)
	for _, m := range ranks {
		m.rank = math.Log(float64(mix(m.hash^service)>>11+1)/(1<<53)) / p.weight(m)
	}
	slices.SortFunc(ranks, func(a, b *machine) int { return cmp.Compare(b.rank, a.rank) })
	home[ranks[0]] = true
	for _, m := range ranks {
		if len(home) < several {
			home[m] = true
		}
	}
	if n := 0; p.size(t, ranks[0]) > 0.15 { // later than the text: see homes in the module
		for _, m := range ranks {
			if p.now >= m.strained && n < 2 {
				home[m] = true
				n++
			}
		}
	}
	return home
}

// weight is a machine's size among the kinds: the smaller of its shares of the largest cores and memory.
func (p *Placer) weight(m *machine) float64 {
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
		index[m], others[i] = i, p.others(m)
	}
	type replayed struct {
		i             int
		cores, memory float64
		alive         float64 // chance that the drawn life reaches to now
	}
	var rs []replayed
	for _, b := range p.recent() {
		i, ok := index[b.m]
		if !ok || b.off || b.m.Kind < 0 {
			continue
		}
		k := p.cfg.Kinds[b.m.Kind]
		rs = append(rs, replayed{i, b.cores / k.Cores, b.memory / k.Memory, p.alive(b)})
	}
	votes := make([]int, len(left))
	cores, memory := make([]float64, len(left)), make([]float64, len(left))
	for range runs {
		clear(cores)
		clear(memory)
		for _, r := range rs {
			if r.alive >= 1 || p.rng.Float64() < r.alive {
				cores[r.i] += r.cores
				memory[r.i] += r.memory
			}
		}
		votes[p.least(left, func(i int) float64 { return others[i] + max(cores[i], memory[i]) })]++
	}
	return left[p.least(left, func(i int) float64 { return -float64(votes[i]) })]
}

// others is what other schedulers have asked of m by the list's word, as a share of its kind; 0 where the
// list tells no room. It is an exception to the empty fleet from which a run starts: with few own binds
// beside the machines most would tie at none.
func (p *Placer) others(m *machine) float64 {
	lack := 0.0
	if p.now < m.strained {
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

// asked is the share of m that all schedulers together have asked for, by the list's word.
func (p *Placer) asked(m *machine) float64 {
	k := p.cfg.Kinds[m.Kind]
	return max((k.Cores-m.FreeCores)/k.Cores, (k.Memory-m.FreeMemory)/k.Memory)
}

// recent is the history that counts: at most maxHistory binds, also within a step that brings thousands.
func (p *Placer) recent() []*bind { return p.history[max(0, len(p.history)-maxHistory):] }

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
func (p *Placer) least(left []*machine, value func(int) float64) int {
	best, ties := 0, 1
	for i := 1; i < len(left); i++ {
		d := cmp.Or(cmp.Compare(value(i), value(best)), cmp.Compare(left[best].rank, left[i].rank))
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

// ---- Answers.

// serve goes through the open tasks: it answers what is due and offers what has no attempt out.
//
// Those that can still start within their aim go first: when room is short, a start in time is worth most.
func (p *Placer) serve() {
	slices.SortStableFunc(p.open, func(a, b *task) int { return cmp.Compare(p.rank(a), p.rank(b)) })
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

// overShare: what a tenant asks beyond its share is worth little. This scheduler's part of the traffic is
// taken for the rest's. Acts only on the order of tasks that wait, so never on the ordinary path.
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
		t.class == &p.unknown || t.class.Idempotency == flaxshelf.NonIdempotent && t.mayHaveRun() {
		p.answer(t)
		return
	}
	m := p.choose(t)
	if m == nil {
		// Nothing may take it now. Held a while, since an owner that is turned away comes again late.
		if t.mayHaveRun() && t.class.Idempotency == flaxshelf.IdempotentByKey ||
			p.now-t.taken > max(t.class.LatencyObjective, 5*time.Second) {
			p.answer(t)
		}
		return
	}
	p.occupy(t, m)
	p.probe(&m.health)
	p.probe(m.record(t.Class))
	if p.cold(m) {
		m.offers = slices.DeleteFunc(m.offers, func(at flaxshelf.Time) bool { return p.now-at > 2*p.cfg.OverloadWindow })
		m.offers = append(m.offers, p.now)
	}
	p.do(flaxshelf.Offer{Task: t.ID, Machine: m.ID, Timeout: p.timeout(t)})
}

// timeout leaves time for a further attempt where one would be allowed, and ends before the answer is due.
func (p *Placer) timeout(t *task) time.Duration {
	left := p.offerBy(t) - p.now
	if t.class.Idempotency == flaxshelf.NonIdempotent || p.cfg.MaxAttempts > 0 && len(t.attempts) >= p.cfg.MaxAttempts {
		return left
	}
	usual := time.Duration((p.lag + 4*p.lagDev) * float64(time.Second))
	return min(left, max(usual, t.class.LatencyObjective/2, 50*time.Millisecond))
}

// answerBy is the last moment to give the final answer; an attempt's time-out comes a tick earlier.
func (p *Placer) answerBy(t *task) flaxshelf.Time { return t.Deadline - p.margin() }
func (p *Placer) offerBy(t *task) flaxshelf.Time  { return t.Deadline - 2*p.margin() }
func (p *Placer) margin() time.Duration           { return 2*p.cfg.Tick + time.Millisecond }

// answer ends t: a refusal promises that a retry is safe, so it needs proof or a class that bears repeats.
func (p *Placer) answer(t *task) {
	t.settled = true
	p.blame(t)
	for i := range t.attempts {
		if t.attempts[i].live && p.cfg.CanCancel {
			p.do(flaxshelf.Cancel{Task: t.ID, Attempt: i})
		}
	}
	c := t.class
	if !t.mayHaveRun() || c.Idempotency == flaxshelf.Idempotent ||
		c.Idempotency == flaxshelf.IdempotentByKey && c.KeyDomain == flaxshelf.FleetDomain {
		p.do(flaxshelf.Reject{Task: t.ID})
	} else {
		p.do(flaxshelf.Fail{Task: t.ID})
	}
	p.drop(t)
}
