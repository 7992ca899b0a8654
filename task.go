package flaxshelf

import (
	"cmp"
	"slices"
)

// task is a submitted or adopted task with its attempts.
type task struct {
	Task
	class       *Class
	submittedAt Time
	attempts    []attempt
	settled     bool // it has its final answer, or needs none
	placed      bool // by one of its attempts
	queueRank   int  // among the open tasks of this step, see queueRankOf

	// Machines that answered it with an error which is not attributed to machine or task yet.
	unattributedFailures []*machine
}

// attempt is one offer of a task to a machine.
type attempt struct {
	machine   *machine
	placement *placement
	sentAt    Time
	active    bool // it has not ended
	placed    bool
	neverRan  bool // its outcome proves that the task was not started
	migrating bool // Migrate was emitted for it

	// When poor service was last reported, and since when nothing better was. See migrateIfUnderserved.
	poorServiceAt    Time
	poorServiceSince Time
}

func (p *Placer) addTask(spec Task) *task {
	t := &task{Task: spec, class: &p.unknownClass, submittedAt: p.now}
	if spec.Class >= 0 && spec.Class < len(p.cfg.Classes) {
		t.class = &p.cfg.Classes[spec.Class]
	}
	p.tasks[spec.ID] = t
	return t
}

// findAttempt finds an attempt by its task's ID and its number. Either result is nil where it is unknown.
func (p *Placer) findAttempt(taskID string, number int) (*task, *attempt) {
	t := p.tasks[taskID]
	if t == nil || number < 0 || number >= len(t.attempts) {
		return t, nil
	}
	return t, &t.attempts[number]
}

// recordPlacement records a new attempt of t on m.
func (p *Placer) recordPlacement(t *task, m *machine) {
	placed := &placement{
		machine:         m,
		offeredAt:       p.now,
		class:           t.Class,
		cores:           t.Cores,
		memory:          t.Memory,
		expectedRuntime: t.ExpectedRuntime,
	}
	p.history = append(p.history, placed)
	p.indexPlacement(placed)
	t.attempts = append(t.attempts, attempt{machine: m, sentAt: p.now, active: true, placement: placed})
	p.addResidency(t.Service, m)
	m.ownCores += t.Cores
	m.ownMemory += t.Memory
	m.coresSinceListed += t.Cores
	m.memorySinceListed += t.Memory
	p.addUnshown(m, t)
	m.pendingOffers++
	p.requestReview(m)
	p.tenantCores[t.Tenant] += t.Cores
}

// releasePlacement reverses the counts of recordPlacement when the attempt has ended.
func (p *Placer) releasePlacement(t *task, m *machine) {
	p.removeResidency(t.Service, m)
	p.requestReview(m)
	m.ownCores -= t.Cores
	m.ownMemory -= t.Memory
	p.tenantCores[t.Tenant] -= t.Cores
}

// markPlaced records that a machine accepted an attempt, or runs it.
func (p *Placer) markPlaced(t *task, a *attempt) {
	a.placed, t.placed = true, true
	a.machine.pendingOffers--
	if stats := p.lifetimesOf(t.Class); stats != nil {
		stats.running++
		stats.startSum += a.sentAt
	}
}

// forgetIfSettled drops a task that is settled and has no active attempt.
func (p *Placer) forgetIfSettled(t *task) {
	if t.settled && t.activeAttempt() == nil {
		delete(p.tasks, t.ID)
	}
}

// activeAttempt is the first attempt that has not ended, or nil.
func (t *task) activeAttempt() *attempt {
	for i := range t.attempts {
		if t.attempts[i].active {
			return &t.attempts[i]
		}
	}
	return nil
}

// mayHaveRun reports whether an attempt lacks proof that the task was not started.
func (t *task) mayHaveRun() bool {
	return slices.ContainsFunc(t.attempts, func(a attempt) bool { return !a.neverRan })
}

// sortOpenTasks sorts the open tasks by queue rank; those of one rank keep their order. A counting sort, since
// thousands may wait in each step.
func (p *Placer) sortOpenTasks() {
	var next [queueRanks]int // counts, then positions
	sorted, last := true, 0
	for _, t := range p.openTasks {
		t.queueRank = p.queueRankOf(t)
		next[t.queueRank]++
		sorted, last = sorted && t.queueRank >= last, t.queueRank
	}
	if p.disabled[ArrivalOrder] {
		slices.SortStableFunc(p.openTasks, func(a, b *task) int {
			return cmp.Or(cmp.Compare(a.queueRank, b.queueRank), cmp.Compare(b.submittedAt, a.submittedAt))
		})
		return
	}
	if sorted {
		return
	}
	for rank, position := 0, 0; rank < queueRanks; rank++ {
		next[rank], position = position, position+next[rank]
	}
	p.sortBuffer = append(p.sortBuffer[:0], p.openTasks...)
	for _, t := range p.sortBuffer {
		p.openTasks[next[t.queueRank]] = t
		next[t.queueRank]++
	}
	clear(p.sortBuffer)
}
