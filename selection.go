package flaxshelf

// The machine for a task is chosen in three steps. The hard constraints are never relaxed. Then the soft constraints apply,
// each of which is skipped if it would leave too few machines. Among the remaining candidates, the replay vote decides.

// equivalenceClass holds what determines, before a task's first offer, whether any machine may take the task. If one task
// is infeasible, others with equal fields are not tried in the same step. So each property of tasks that a hard constraint
// or the check of capacity reads must be a field.
type equivalenceClass struct {
	taskClass    int
	service      string // only if the class has a spread limit
	cores        float64
	memory       float64
	nearDeadline bool
}

// chooseMachine returns the machine to offer t to, or nil if none may take it now.
func (p *Placer) chooseMachine(t *task) *machine {
	p.refreshIndex()
	request := equivalenceClass{
		taskClass: t.Class, cores: t.Cores, memory: t.Memory, nearDeadline: p.nearDeadline(t),
	}
	if t.class.SpreadDomain != NoDomain {
		request.service = t.Service
	}
	first := len(t.attempts) == 0
	var m *machine
	if !first || !p.infeasible[request] {
		m = p.filterAndVote(t)
	}
	if m == nil && first {
		p.infeasible[request] = true
	}
	p.observer.afterChoice(t, m)
	return m
}

// filterAndVote applies the constraints and returns the winner of the vote, or nil if no candidate remains.
func (p *Placer) filterAndVote(t *task) *machine {
	eligible := p.applyHardConstraints(t)
	p.observer.afterHardConstraints(t, eligible)
	candidates := p.applySoftConstraints(t, eligible)
	p.observer.afterSoftConstraints(t, candidates)
	return p.vote(candidates)
}
