package baseline

import (
	"cmp"
	"slices"

	"flaxshelf.example/flaxshelf"
)

// handle handles an event. It ignores events that the strategies don't use.
func (c *Placer) handle(e flaxshelf.Event) {
	switch e := e.(type) {
	case flaxshelf.MachinesUpdated:
		c.updateMachines(e)
	case flaxshelf.DiscoveryFailed:
		c.nextPoll = c.now + discoveryRetryDelay
	case flaxshelf.TaskSubmitted:
		c.pending = append(c.pending, c.addTask(e.Task))
	case flaxshelf.TaskAdopted:
		c.adoptTask(e)
	case flaxshelf.AttemptPlaced:
		c.markPlaced(e)
	case flaxshelf.AttemptEnded:
		c.endAttempt(e)
	case flaxshelf.TaskCanceled:
		c.cancelTask(e.Task)
	}
}

func (c *Placer) updateMachines(e flaxshelf.MachinesUpdated) {
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

// machine returns the machine with the given ID. A machine that the inventory has not listed counts as removed.
func (c *Placer) machine(id string) *machine {
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

func (c *Placer) addTask(spec flaxshelf.Task) *task {
	t := &task{Task: spec, class: &c.cfg.Classes[spec.Class]}
	c.tasks[t.ID] = t
	return t
}

func (c *Placer) adoptTask(e flaxshelf.TaskAdopted) {
	t := c.addTask(e.Task)
	t.answered = true
	c.startAttempt(t, c.machine(e.Machine))
	t.attempts[0].placed = true
}

func (c *Placer) markPlaced(e flaxshelf.AttemptPlaced) {
	if t := c.tasks[e.Task]; t != nil && e.Attempt < len(t.attempts) {
		t.answered, t.attempts[e.Attempt].placed = true, true
	}
}

func (c *Placer) endAttempt(e flaxshelf.AttemptEnded) {
	t := c.tasks[e.Task]
	if t == nil || e.Attempt >= len(t.attempts) || !t.attempts[e.Attempt].open {
		return
	}
	a := &t.attempts[e.Attempt]
	a.open = false
	a.neverRan = e.Outcome == flaxshelf.Rejected || e.Outcome == flaxshelf.Unreachable || e.Outcome == flaxshelf.NotSent
	if a.neverRan {
		a.machine.backoffUntil = c.now + rejectionBackoff
	}
	a.machine.requestedCores -= t.Cores
	a.machine.requestedMemory -= t.Memory
	a.machine.tasksByService[t.Service]--
	t.answered = t.answered || e.Final || a.placed
	c.forgetIfDone(t)
}

func (c *Placer) cancelTask(id string) {
	if t := c.tasks[id]; t != nil {
		t.answered = true
		c.forgetIfDone(t)
	}
}

// forgetIfDone removes a task that is answered and has no open attempt.
func (c *Placer) forgetIfDone(t *task) {
	if t.answered && !t.hasOpenAttempt() {
		delete(c.tasks, t.ID)
	}
}
