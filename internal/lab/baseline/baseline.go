// Package baseline owns plain choosers to set beside the module in experiments: random, two choices, least asked. They
// keep the same rules by the same hard bars and know nothing else: no evidence, no replay, no homes. It must not be
// used by a daemon.
package baseline

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf"
)

// Names lists the choosers.
var Names = []string{"random", "two-choices", "least-asked"}

// Chooser is a baseline in the module's place. Not safe for concurrent use.
type Chooser struct {
	cfg      flaxshelf.Config
	rng      *rand.Rand
	how      string
	now      flaxshelf.Time
	born     flaxshelf.Time
	started  bool
	machines map[string]*machine
	order    []*machine
	tasks    map[string]*task
	open     []*task
	out      []flaxshelf.Action
	askAt    flaxshelf.Time
}

type machine struct {
	flaxshelf.Machine
	cores, memory float64 // asked by our attempts and tasks
	services      map[string]int
	offers        []flaxshelf.Time
	fullUntil     flaxshelf.Time
}

type attempt struct {
	m      *machine
	sent   flaxshelf.Time
	live   bool
	proved bool
	placed bool
}

type task struct {
	flaxshelf.Task
	class    *flaxshelf.Class
	attempts []attempt
	settled  bool
}

// New makes a chooser.
func New(how string, cfg flaxshelf.Config, seed uint64) (*Chooser, error) {
	if !slices.Contains(Names, how) {
		return nil, fmt.Errorf("baseline: no chooser %q, there are %v", how, Names)
	}
	return &Chooser{cfg: cfg, how: how, rng: rand.New(rand.NewPCG(seed, 0xba5e)), machines: map[string]*machine{},
		tasks: map[string]*task{}}, nil
}

// The plain values of a host without evidence.
const (
	askAgain  = 500 * time.Millisecond // the inventory, after a failure
	lookAgain = 40 * time.Millisecond  // at a task that no machine may take
	fullFor   = 500 * time.Millisecond // a machine that refused is left alone so long
)

// Step takes events and returns actions, as the module's.
func (c *Chooser) Step(now flaxshelf.Time, events []flaxshelf.Event) []flaxshelf.Action {
	if !c.started {
		c.started, c.born, c.askAt = true, now, now
	}
	c.now, c.out = now, nil
	for _, e := range events {
		c.take(e)
	}
	if c.askAt > 0 && now >= c.askAt {
		c.askAt = now + max(c.cfg.DiscoveryPollDeadline, time.Second)
		c.out = append(c.out, flaxshelf.Subscribe{})
	}
	c.serve()
	return c.out
}

func (c *Chooser) take(e flaxshelf.Event) {
	switch e := e.(type) {
	case flaxshelf.MachinesUpdated:
		c.listed(e)
	case flaxshelf.DiscoveryFailed:
		c.askAt = c.now + askAgain
	case flaxshelf.TaskSubmitted:
		t := &task{Task: e.Task, class: &c.cfg.Classes[e.Task.Class]}
		c.tasks[t.ID], c.open = t, append(c.open, t)
	case flaxshelf.TaskAdopted:
		t := &task{Task: e.Task, class: &c.cfg.Classes[e.Task.Class], settled: true}
		c.tasks[t.ID] = t
		c.occupy(t, c.machine(e.Machine))
		t.attempts[0].placed = true
	case flaxshelf.AttemptPlaced:
		if t := c.tasks[e.Task]; t != nil && e.Attempt < len(t.attempts) {
			t.settled, t.attempts[e.Attempt].placed = true, true
		}
	case flaxshelf.AttemptEnded:
		c.ended(e)
	case flaxshelf.TaskCanceled:
		if t := c.tasks[e.Task]; t != nil {
			t.settled = true
			c.drop(t)
		}
	}
}

func (c *Chooser) machine(id string) *machine {
	m := c.machines[id]
	if m == nil {
		m = &machine{Machine: flaxshelf.Machine{ID: id, Kind: -1, State: flaxshelf.Removed}, services: map[string]int{}}
		c.machines[id] = m
		i, _ := slices.BinarySearchFunc(c.order, id, func(m *machine, id string) int { return cmp.Compare(m.ID, id) })
		c.order = slices.Insert(c.order, i, m)
	}
	return m
}

func (c *Chooser) listed(e flaxshelf.MachinesUpdated) {
	named := map[string]bool{}
	for _, x := range e.Machines {
		named[x.ID] = true
		c.machine(x.ID).Machine = x
	}
	for _, m := range c.order {
		if e.Complete && !named[m.ID] {
			m.State = flaxshelf.Removed
		}
	}
	c.askAt = 0
}

func (c *Chooser) ended(e flaxshelf.AttemptEnded) {
	t := c.tasks[e.Task]
	if t == nil || e.Attempt >= len(t.attempts) || !t.attempts[e.Attempt].live {
		return
	}
	a := &t.attempts[e.Attempt]
	a.live = false
	a.proved = e.Outcome == flaxshelf.Rejected || e.Outcome == flaxshelf.Unreachable || e.Outcome == flaxshelf.NotSent
	if a.proved {
		a.m.fullUntil = c.now + fullFor
	}
	a.m.cores -= t.Cores
	a.m.memory -= t.Memory
	a.m.services[t.Service]--
	t.settled = t.settled || e.Final || a.placed
	c.drop(t)
}

func (c *Chooser) drop(t *task) {
	if t.settled && !slices.ContainsFunc(t.attempts, func(a attempt) bool { return a.live }) {
		delete(c.tasks, t.ID)
	}
}

func (c *Chooser) occupy(t *task, m *machine) {
	t.attempts = append(t.attempts, attempt{m: m, sent: c.now, live: true})
	m.cores += t.Cores
	m.memory += t.Memory
	m.services[t.Service]++
}

func (c *Chooser) serve() {
	wake := time.Duration(0)
	due := func(d time.Duration) {
		if d = max(d, 1); wake == 0 || d < wake {
			wake = d
		}
	}
	margin := 2*c.cfg.Tick + time.Millisecond
	for _, t := range c.open {
		if t.settled {
			continue
		}
		answerBy := t.Deadline - margin
		if slices.ContainsFunc(t.attempts, func(a attempt) bool { return a.live }) {
			if c.now >= answerBy {
				c.answer(t)
			} else {
				due(answerBy - c.now)
			}
			continue
		}
		tries := c.cfg.MaxAttempts > 0 && len(t.attempts) >= c.cfg.MaxAttempts
		if c.now >= answerBy-margin || tries || t.class.Idempotency == flaxshelf.NonIdempotent && t.mayHaveRun() {
			c.answer(t)
			continue
		}
		m := c.choose(t)
		if m == nil {
			if t.mayHaveRun() && t.class.Idempotency == flaxshelf.IdempotentByKey {
				c.answer(t)
			} else {
				due(lookAgain)
			}
			continue
		}
		c.occupy(t, m)
		if c.cold(m) {
			m.offers = append(m.offers, c.now)
		}
		left := answerBy - margin - c.now
		if t.class.Idempotency != flaxshelf.NonIdempotent && len(t.attempts) < c.cfg.MaxAttempts {
			left = min(left, max(t.class.LatencyObjective/2, 50*time.Millisecond))
		}
		c.out = append(c.out, flaxshelf.Offer{Task: t.ID, Machine: m.ID, Timeout: left})
		due(answerBy - c.now)
	}
	c.open = slices.DeleteFunc(c.open, func(t *task) bool { return t.settled })
	if c.askAt > 0 {
		due(c.askAt - c.now)
	}
	if wake > 0 {
		c.out = append(c.out, flaxshelf.SetTimer{After: wake})
	}
}

func (t *task) mayHaveRun() bool {
	return slices.ContainsFunc(t.attempts, func(a attempt) bool { return !a.proved })
}

// answer promises that a retry is safe only on proof, or where the class bears repeats.
func (c *Chooser) answer(t *task) {
	t.settled = true
	if !t.mayHaveRun() || t.class.Idempotency == flaxshelf.Idempotent || t.class.Idempotency == flaxshelf.IdempotentByKey &&
		t.class.KeyDomain == flaxshelf.FleetDomain {
		c.out = append(c.out, flaxshelf.Reject{Task: t.ID})
	} else {
		c.out = append(c.out, flaxshelf.Fail{Task: t.ID})
	}
	c.drop(t)
}

// choose picks among the machines that the rules allow.
func (c *Chooser) choose(t *task) *machine {
	var left []*machine
	for _, m := range c.order {
		if c.allowed(t, m) {
			left = append(left, m)
		}
	}
	if len(left) == 0 {
		return nil
	}
	load := func(m *machine) float64 {
		k := c.cfg.Kinds[m.Kind]
		return max(m.cores/k.Cores, m.memory/k.Memory)
	}
	one := left[c.rng.IntN(len(left))]
	switch c.how {
	case "two-choices":
		if other := left[c.rng.IntN(len(left))]; load(other) < load(one) {
			return other
		}
	case "least-asked":
		for _, m := range left { // a tie stays with the one drawn
			if load(m) < load(one) {
				one = m
			}
		}
	}
	return one
}

func (c *Chooser) allowed(t *task, m *machine) bool {
	if m.State != flaxshelf.Active || m.Kind < 0 || c.now < m.fullUntil || t.class.Kind >= 0 && t.class.Kind != m.Kind {
		return false
	}
	k := c.cfg.Kinds[m.Kind]
	if t.Cores > k.Cores*max(c.cfg.CoreOvercommit, 1) || t.Memory > k.Memory*max(c.cfg.MemoryOvercommit, 1) {
		return false
	}
	for i := range t.attempts {
		a := &t.attempts[i]
		if a.proved || t.class.Idempotency == flaxshelf.Idempotent {
			continue
		}
		if t.class.Idempotency != flaxshelf.IdempotentByKey || !same(t.class.KeyDomain, a.m, m) ||
			c.now+c.cfg.Tick >= a.sent+t.class.KeyTTL {
			return false
		}
	}
	if t.class.SpreadDomain != flaxshelf.NoDomain {
		n := 0
		for _, o := range c.order {
			if same(t.class.SpreadDomain, o, m) {
				n += o.services[t.Service]
			}
		}
		if n >= t.class.MaxPerDomain {
			return false
		}
	}
	return c.coldLeft(m)
}

func (c *Chooser) cold(m *machine) bool {
	return m.Started > 0 && c.cfg.OverloadWindow > 0 && c.now < m.Started+c.cfg.SlowStartDuration+c.cfg.OverloadWindow
}

// coldLeft keeps to this scheduler's share of what a cold machine always bears. Where the share is under one offer it
// sends nothing.
func (c *Chooser) coldLeft(m *machine) bool {
	if !c.cold(m) {
		return true
	}
	from := c.now - c.cfg.OverloadWindow*3/2
	if c.born > from && c.born > m.Started {
		return false
	}
	m.offers = slices.DeleteFunc(m.offers, func(at flaxshelf.Time) bool { return at < from })
	return len(m.offers) < int(c.cfg.SlowStartBudget/float64(max(c.cfg.Schedulers, 1)))
}

func same(at flaxshelf.TopologyDomain, a, b *machine) bool {
	switch at {
	case flaxshelf.MachineDomain:
		return a == b
	case flaxshelf.CellDomain:
		return a.Cell == b.Cell
	case flaxshelf.ZoneDomain:
		return a.Zone == b.Zone
	}
	return at == flaxshelf.FleetDomain
}
