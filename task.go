package flaxshelf

import "flaxshelf.example/flaxshelf/internal/machineindex"

// task is the record of a submitted or adopted task.
type task struct {
	Task
	class       *TaskClass
	submittedAt Time
	attempts    []attempt
	settled     bool // it has its final answer or needs none
	placed      bool // one of its attempts was placed
	queueRank   int  // in the step in progress, see queueRankOf

	// Machines that answered with an error for which it is not decided yet whether the machine or the task is at fault, see
	// attributeFailures.
	unattributedFailures []*machine
}

// attempt is one offer of a task to a machine.
type attempt struct {
	machine            *machine
	placement          *machineindex.Placement
	offeredAt          Time
	active             bool // it has not ended
	placed             bool // a machine accepted it or already runs it
	neverRan           bool // its outcome proves that the task was not started
	migrationRequested bool // Migrate was emitted for it

	// lastPoorServiceAt is the time of the last report on the service level, or zero if that was not of poor service.
	// poorServiceSince is the time of the first in the present series of reports of poor service. See migrateIfUnderserved.
	lastPoorServiceAt Time
	poorServiceSince  Time
}

// addTask adds the record of a task that is submitted or adopted now.
func (p *Placer) addTask(spec Task) *task {
	t := &task{Task: spec, class: &p.unknownClass, submittedAt: p.now}
	if spec.Class >= 0 && spec.Class < len(p.cfg.Classes) {
		t.class = &p.cfg.Classes[spec.Class]
	}
	p.tasks[spec.ID] = t
	return t
}

// findAttempt returns a task by its ID and one of its attempts by number. Each is nil if unknown.
func (p *Placer) findAttempt(taskID string, number int) (*task, *attempt) {
	t := p.tasks[taskID]
	if t == nil || number < 0 || number >= len(t.attempts) {
		return t, nil
	}
	return t, &t.attempts[number]
}

// recordAttempt adds an attempt of t on m: to the history, and to what this scheduler requests of m and for the tenant.
func (p *Placer) recordAttempt(t *task, m *machine) {
	placed := &machineindex.Placement{
		Machine:         m.entry,
		OfferedAt:       p.now,
		Class:           t.Class,
		Cores:           t.Cores,
		Memory:          t.Memory,
		ExpectedRuntime: t.ExpectedRuntime,
	}
	p.index.AddPlacement(placed)
	t.attempts = append(t.attempts, attempt{machine: m, offeredAt: p.now, active: true, placement: placed})
	p.index.AddAttempt(t.Service, m.entry)
	m.ownCores += t.Cores
	m.ownMemory += t.Memory
	m.coresSinceListed += t.Cores
	m.memorySinceListed += t.Memory
	m.pendingOffers++
	p.invalidate(m)
	p.tenantCores[t.Tenant] += t.Cores
}

// releaseAttempt subtracts an ended attempt from what this scheduler requests of m and for the tenant. coresSinceListed
// and memorySinceListed still include it.
func (p *Placer) releaseAttempt(t *task, m *machine) {
	p.index.RemoveAttempt(t.Service, m.entry)
	p.invalidate(m)
	m.ownCores -= t.Cores
	m.ownMemory -= t.Memory
	p.tenantCores[t.Tenant] -= t.Cores
}

// markPlaced records that a machine accepted an attempt or already runs it.
func (p *Placer) markPlaced(t *task, a *attempt) {
	a.placed, t.placed = true, true
	a.machine.pendingOffers--
	p.recordStart(t, a)
}

// deleteIfSettled deletes a task that is settled and has no active attempt.
func (p *Placer) deleteIfSettled(t *task) {
	if t.settled && t.activeAttempt() == nil {
		delete(p.tasks, t.ID)
	}
}

// activeAttempt returns the first attempt that has not ended, or nil.
func (t *task) activeAttempt() *attempt {
	for i := range t.attempts {
		if t.attempts[i].active {
			return &t.attempts[i]
		}
	}
	return nil
}
