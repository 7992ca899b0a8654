package flaxshelf

// The event handlers update the records of machines, tasks and attempts. What an event shows about a machine is evaluated
// in evidence.go.

// handle calls the handler for the type of an event. TimerFired has none, because every Step does what is due.
// GossipReceived is ignored.
func (p *Placer) handle(e Event) {
	switch e := e.(type) {
	case MachinesUpdated:
		p.handleMachinesUpdated(e)
	case DiscoveryFailed:
		p.handleDiscoveryFailed()
	case TaskSubmitted:
		p.handleTaskSubmitted(e)
	case TaskAdopted:
		p.handleTaskAdopted(e)
	case TaskCanceled:
		p.handleTaskCanceled(e)
	case AttemptPlaced:
		p.handleAttemptPlaced(e)
	case AttemptEnded:
		p.handleAttemptEnded(e)
	case UsageReport:
		p.handleUsageReport(e)
	case HealthChecked:
		p.handleHealthChecked(e)
	}
}

// handleMachinesUpdated applies an update of the machine list. An update that is not stale also counts as the answer to a
// pending subscription.
func (p *Placer) handleMachinesUpdated(e MachinesUpdated) {
	for _, entry := range e.Machines {
		p.updateMachine(entry)
	}
	if e.Complete {
		p.removeUnlisted(e.Machines)
	}
	if !e.Stale {
		p.subscribeAt, p.discoveryFailures = 0, 0
	}
}

// updateMachine applies one entry of the machine list. A later start time means that the machine has restarted.
func (p *Placer) updateMachine(entry Machine) {
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
	p.recordListing(m)
	p.index.SetLocation(m.entry, m.Zone, m.Cell)
	p.invalidate(m)
}

// removeUnlisted marks the machines as removed that are not among the entries of a complete list.
func (p *Placer) removeUnlisted(entries []Machine) {
	listedIDs := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listedIDs[entry.ID] = true
	}
	for _, m := range p.sortedMachines {
		if !listedIDs[m.ID] && m.State != Removed {
			m.State = Removed
			p.markRemoved(m)
			p.invalidate(m)
		}
	}
}

// markRemoved records that m is removed now. The caller sets its state.
func (p *Placer) markRemoved(m *machine) {
	m.removedAt = p.now
	p.removedMachines = append(p.removedMachines, m)
	p.forgetMachinePlacements(m)
}

// handleTaskSubmitted adds an open task. A task whose ID is in use is ignored.
func (p *Placer) handleTaskSubmitted(e TaskSubmitted) {
	if p.tasks[e.Task.ID] == nil {
		p.openTasks = append(p.openTasks, p.addTask(e.Task))
	}
}

// handleTaskAdopted adds a task that already runs. It counts for spread limits, and in the history as if it were placed now.
func (p *Placer) handleTaskAdopted(e TaskAdopted) {
	if p.tasks[e.Task.ID] != nil {
		return
	}
	t := p.addTask(e.Task)
	t.settled = true
	p.recordAttempt(t, p.findOrAddMachine(e.Machine))
	p.markPlaced(t, &t.attempts[0])
}

// handleTaskCanceled settles a task. If it has an active attempt, that is tracked until it ends.
func (p *Placer) handleTaskCanceled(e TaskCanceled) {
	if t := p.tasks[e.Task]; t != nil {
		t.settled = true
		p.deleteIfSettled(t)
	}
}

// handleAttemptPlaced settles a task that its machine has accepted.
func (p *Placer) handleAttemptPlaced(e AttemptPlaced) {
	t, a := p.findAttempt(e.Task, e.Attempt)
	if a == nil || !a.active {
		return
	}
	p.recordLatency(e.Latency)
	t.settled = true
	p.markPlaced(t, a)
	p.recordAcceptance(t, a.machine)
	p.invalidate(a.machine)
}

// handleAttemptEnded releases what an attempt requested of its machine and records the outcome as evidence.
func (p *Placer) handleAttemptEnded(e AttemptEnded) {
	if m := p.machines[e.Machine]; m != nil {
		p.recordLoadReport(m, e.Load)
	}
	t, a := p.findAttempt(e.Task, e.Attempt)
	if a == nil || !a.active {
		return
	}
	a.active = false
	a.neverRan = provesNeverRan(e.Outcome)
	if a.neverRan {
		p.forgetUnstartedPlacement(a)
	}
	p.releaseAttempt(t, a.machine)
	if !a.placed {
		a.machine.pendingOffers--
	}
	p.recordLifetime(t, a, e.Outcome)
	p.classifyOutcome(t, a, e)
	p.invalidate(a.machine)
	if e.Final || a.placed {
		t.settled = true
	}
	p.deleteIfSettled(t)
}

// handleHealthChecked records the load report of a health check.
func (p *Placer) handleHealthChecked(e HealthChecked) {
	if m := p.machines[e.Machine]; m != nil {
		p.recordLoadReport(m, e.Load)
	}
}
