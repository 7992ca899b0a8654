package baseline

import (
	"cmp"
	"slices"

	"flaxshelf.example/flaxshelf"
)

// handle handles an event. Events that the strategies have no use for are ignored.
func (c *Chooser) handle(e flaxshelf.Event) {
	switch e := e.(type) {
	case flaxshelf.MachinesUpdated:
		c.updateMachines(e)
	case flaxshelf.DiscoveryFailed:
		c.nextPoll = c.now + discoveryRetryDelay
	case flaxshelf.TaskSubmitted:
		c.pending = append(c.pending, c.add(e.Task))
	case flaxshelf.TaskAdopted:
		c.adopt(e)
	case flaxshelf.AttemptPlaced:
		c.markPlaced(e)
	case flaxshelf.AttemptEnded:
		c.endAttempt(e)
	case flaxshelf.TaskCanceled:
		c.cancel(e.Task)
	}
}

func (c *Chooser) updateMachines(e flaxshelf.MachinesUpdated) {
	listed := map[string]bool{}
	for _, m := range e.Machines {
		listed[m.ID] = true
		c.machine(m.ID).Machine = m
	}
	for _, m := range c.machineOrder {
		if e.Complete && !listed[m.ID] {
			m.State = flaxshelf.Removed
		}
	}
	c.nextPoll = 0
}

// machine returns a machine by its identifier. One that the inventory has not listed counts as removed.
func (c *Chooser) machine(id string) *machine {
	m := c.machines[id]
	if m == nil {
		m = &machine{
			Machine:        flaxshelf.Machine{ID: id, Kind: -1, State: flaxshelf.Removed},
			tasksByService: map[string]int{},
		}
		c.machines[id] = m
		i, _ := slices.BinarySearchFunc(c.machineOrder, id, func(m *machine, id string) int { return cmp.Compare(m.ID, id) })
		c.machineOrder = slices.Insert(c.machineOrder, i, m)
	}
	return m
}

func (c *Chooser) add(spec flaxshelf.Task) *task {
	t := &task{Task: spec, class: &c.cfg.Classes[spec.Class]}
	c.tasks[t.ID] = t
	return t
}

func (c *Chooser) adopt(e flaxshelf.TaskAdopted) {
	t := c.add(e.Task)
	t.answered = true
	c.startAttempt(t, c.machine(e.Machine))
	t.attempts[0].placed = true
}

func (c *Chooser) markPlaced(e flaxshelf.AttemptPlaced) {
	if t := c.tasks[e.Task]; t != nil && e.Attempt < len(t.attempts) {
		t.answered, t.attempts[e.Attempt].placed = true, true
	}
}

func (c *Chooser) endAttempt(e flaxshelf.AttemptEnded) {
	t := c.tasks[e.Task]
	if t == nil || e.Attempt >= len(t.attempts) || !t.attempts[e.Attempt].live {
		return
	}
	a := &t.attempts[e.Attempt]
	a.live = false
	a.neverRan = e.Outcome == flaxshelf.Rejected || e.Outcome == flaxshelf.Unreachable || e.Outcome == flaxshelf.NotSent
	if a.neverRan {
		a.machine.backsOffUntil = c.now + rejectionBackoff
	}
	a.machine.cores -= t.Cores
	a.machine.memory -= t.Memory
	a.machine.tasksByService[t.Service]--
	t.answered = t.answered || e.Final || a.placed
	c.forgetIfDone(t)
}

func (c *Chooser) cancel(id string) {
	if t := c.tasks[id]; t != nil {
		t.answered = true
		c.forgetIfDone(t)
	}
}

// forgetIfDone forgets a task that is answered and has no live attempt.
func (c *Chooser) forgetIfDone(t *task) {
	if t.answered && !t.hasLiveAttempt() {
		delete(c.tasks, t.ID)
	}
}
