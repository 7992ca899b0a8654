package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"flaxshelf.example/flaxshelf"
)

// node is what the core keeps of a machine: the link to it and our attempts there.
type node struct {
	entry   flaxshelf.Machine
	up      bool
	heard   bool // has told what it holds in this life of ours
	asked   bool // the host keeps a connection
	started Time // by the node's own word
	fresh   Time // the same, where it said that it may be cold
	live    map[string]*attempt
	downAt  Time
}

func (n *node) out() bool { return n.entry.State == flaxshelf.Removed }

// sorted lists the attempts in a fixed order, since maps have none.
func (n *node) sorted() []*attempt {
	all := make([]*attempt, 0, len(n.live))
	for _, a := range n.live {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b *attempt) int { return cmp.Compare(a.serial, b.serial) })
	return all
}

func (c *Core) node(name string) *node {
	n := c.nodes[name]
	if n == nil {
		n = &node{entry: flaxshelf.Machine{ID: name, Kind: -1, State: flaxshelf.Removed}, live: map[string]*attempt{}}
		c.nodes[name] = n
		i, _ := slices.BinarySearchFunc(c.order, name,
			func(n *node, name string) int { return cmp.Compare(n.entry.ID, name) })
		c.order = slices.Insert(c.order, i, n)
	}
	return n
}

func (c *Core) listed(in NodesUpdated) {
	defer func() { c.tell(flaxshelf.MachinesUpdated{Machines: in.Machines, Complete: in.Complete}) }()
	named := map[string]bool{}
	for i, m := range in.Machines {
		named[m.ID] = true
		n := c.node(m.ID)
		if m.Started < n.fresh { // the list is behind the node's own word
			m.Started = n.fresh
			in.Machines[i] = m
		}
		n.entry = m
		c.standing(n)
	}
	if in.Complete {
		for _, n := range c.order {
			if !named[n.entry.ID] && !n.out() {
				n.entry.State = flaxshelf.Removed
				c.standing(n)
			}
		}
		if r := &c.recovery; !r.listed {
			r.listed, r.deadline = true, c.now+c.cfg.Limits.SettleTime
			c.timers.Schedule(r.deadline, func() {})
		}
	}
}

// standing acts on what the list says of n. Offers that still wait for a connection are given up when the
// node drains: the word has come before the send.
func (c *Core) standing(n *node) {
	if n.entry.State != flaxshelf.Active {
		for _, a := range n.sorted() {
			if a.phase == connecting {
				c.end(a, flaxshelf.NotSent, flaxshelf.UnspecifiedReason, flaxshelf.LoadReport{})
			}
		}
	}
	switch {
	case !n.out() && !n.asked:
		n.asked = true
		c.emit(Connect{n.entry.ID})
	case n.out() && n.asked:
		c.timers.Schedule(c.now+c.cfg.Limits.SettleTime, func() { c.checkGone(n) })
	}
}

// checkGone gives up what ran on a node that has been out of the list and out of reach for Settle.
func (c *Core) checkGone(n *node) {
	if !n.out() || n.up {
		return
	}
	for _, a := range n.sorted() {
		c.lose(a)
	}
	if n.asked {
		n.asked = false
		c.emit(Disconnect{n.entry.ID})
	}
}

// nodeUp reconciles what the node holds of ours with what we know, see docs/scheduler.md, "Handover".
func (c *Core) nodeUp(in NodeUp) {
	n := c.node(in.Node)
	restarted := n.heard && n.started != in.Started
	n.up, n.heard, n.started = true, true, in.Started
	news := in.MayBeCold && in.Started > n.entry.Started
	if news {
		// Risk covered: the list is late or its inventory fails, and a node that has just come up would be sent
		// what its former life could bear.
		n.fresh, n.entry.Started = in.Started, in.Started
		if !n.out() {
			c.tell(flaxshelf.MachinesUpdated{Machines: []flaxshelf.Machine{n.entry}})
		}
	}
	for _, e := range in.Ended {
		e.Node = in.Node
		c.ended(e)
	}
	held := map[string]bool{}
	for _, h := range in.Running {
		held[h.Attempt] = true
		c.handed(n, h)
	}
	for _, a := range n.sorted() {
		switch {
		case a.phase == connecting && news: // chosen for what the former life could bear
			c.end(a, flaxshelf.NotSent, flaxshelf.UnspecifiedReason, flaxshelf.LoadReport{})
		case a.phase == connecting:
			c.send(a)
		case !held[a.id] || restarted:
			c.lose(a) // the node is alive and does not have it
		case a.job.stopping || a.job.moving || a.job.state.Ended():
			c.stop(a)
		case a.job.sub == SubUnreachable:
			a.job.sub = a.phase.sub()
			c.changed(a.job)
		}
	}
}

// handed takes over one attempt that the node holds. The job may be known, may have been asked for anew by
// its owner under the same key, or may be unknown because a former life of ours took it.
func (c *Core) handed(n *node, h RunningAttempt) {
	if a := c.attempts[h.Attempt]; a != nil && a.node == n {
		if a.phase == offered {
			c.accept(a, flaxshelf.LoadReport{}) // the reply was cut off
		}
		if h.Running {
			c.start(a)
		}
		return
	}
	j := c.jobs[h.Job]
	if j == nil && h.Spec.Key != "" {
		if j = c.keys[h.Spec.Key]; j != nil && !j.state.Ended() {
			c.jobs[h.Job] = j
			j.aliases = append(j.aliases, h.Job)
		} else {
			j = nil
		}
	}
	if j != nil && j.live != nil && j.live.phase == connecting { // nothing has been sent: what runs goes before
		c.end(j.live, flaxshelf.NotSent, flaxshelf.UnspecifiedReason, flaxshelf.LoadReport{})
	}
	switch {
	case h.Spec.Class < 0 || h.Spec.Class >= len(c.cfg.Module.Classes):
		c.emit(SendStop{n.entry.ID, h.Attempt}) // of a class that the settings no longer name
	case j == nil && strings.HasPrefix(h.Job, c.prefix):
		c.emit(SendStop{n.entry.ID, h.Attempt}) // this life took it, gave its outcome and has forgotten it
	case j == nil:
		c.adopt(n, h)
	case j.state.Ended() || j.live != nil || j.stopping || j.held():
		c.emit(SendStop{n.entry.ID, h.Attempt})
	default:
		c.attach(j, n, h)
	}
}

// adopt makes a job of what a former life of ours started.
func (c *Core) adopt(n *node, h RunningAttempt) {
	spec := h.Spec
	j := &job{id: h.Job, spec: &spec, taken: h.Submitted, ask: max(h.Request, 1), state: Queued, sub: SubAccepted}
	c.jobs[j.id] = j
	c.remember(j)
	c.nLive++
	if spec.Session != "" && c.sessions[spec.Session] == nil {
		c.sessions[spec.Session] = &session{name: spec.Session}
	}
	c.attach(j, n, h)
}

// attach makes the held attempt the job's own: the ask that was open, if any, has its outcome by it.
func (c *Core) attach(j *job, n *node, h RunningAttempt) {
	if j.open {
		c.tell(flaxshelf.TaskCanceled{Task: j.askID()})
		delete(c.asks, j.askID())
	} else {
		c.nOpen++ // closeAsk takes it off
		j.open = true
	}
	c.serial++
	j.askName = fmt.Sprintf("%s#%d.%d", j.id, j.ask, c.serial) // the module must not know it
	c.asks[j.askID()] = j
	a := &attempt{id: h.Attempt, task: j.askID(), job: j, node: n, serial: c.serial, sent: c.now, phase: accepted}
	c.attempts[a.id], n.live[a.id], j.live = a, a, a
	c.tell(flaxshelf.TaskAdopted{Task: c.task(j), Machine: n.entry.ID})
	j.node, j.state, j.sub, j.askedAt, j.attempts = n.entry.ID, Queued, SubAccepted, c.now, 1
	c.closeAsk(j, OutcomePlaced, a.id)
	if h.Running {
		c.start(a)
	}
}

// nodeDown: offers without an answer may have been accepted; what runs there runs on.
func (c *Core) nodeDown(in NodeDown) {
	n := c.nodes[in.Node]
	if n == nil {
		return
	}
	n.up, n.downAt = false, c.now
	c.fence.nodeLost(in.Node)
	for _, a := range n.sorted() {
		a.stop = false // it may not have arrived
		switch a.phase {
		case connecting:
			c.end(a, flaxshelf.Unreachable, flaxshelf.UnspecifiedReason, flaxshelf.LoadReport{})
		case offered:
			c.end(a, flaxshelf.Lost, flaxshelf.UnspecifiedReason, flaxshelf.LoadReport{})
		default:
			a.job.sub = SubUnreachable
			c.changed(a.job)
		}
	}
	c.timers.Schedule(c.now+c.cfg.Limits.SettleTime, func() { c.checkGone(n) })
}

func (c *Core) probe(a flaxshelf.HealthCheck) {
	if n := c.nodes[a.Machine]; n != nil && n.up {
		c.emit(SendHealthCheck{a.Machine})
		return
	}
	c.tell(flaxshelf.HealthChecked{Machine: a.Machine, Outcome: flaxshelf.Unreachable})
}

func (c *Core) probed(in HealthChecked) {
	e := flaxshelf.HealthChecked{Machine: in.Node, Load: in.Load}
	if in.Lost {
		e.Outcome = flaxshelf.Lost
	}
	c.tell(e)
}

func (c *Core) machines(in Machines) {
	all := make([]MachineInfo, 0, len(c.order))
	for _, n := range c.order {
		all = append(all, MachineInfo{Machine: n.entry, Connected: n.up, Jobs: len(n.live)})
	}
	c.answer(in.Req, Answer{Machines: all})
}
