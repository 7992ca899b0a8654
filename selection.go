package flaxshelf

// A machine for a task is chosen in three steps: hard constraints, which are never relaxed, soft constraints, of which the
// later ones are skipped where they would leave too few machines, and the replay vote among the remaining candidates.

// equivalenceClass is what determines, before a task's first offer, whether any machine may take it. Tasks with equal
// fields share the answer within a step, so a property of tasks that a hard constraint or capacity reads must be a field.
type equivalenceClass struct {
	taskClass    int
	service      string // only where spread is bounded
	cores        float64
	memory       float64
	nearDeadline bool
}

// chooseMachine returns the machine to offer t to; nil where none may take it now.
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

// filterAndVote applies the constraints and holds the vote.
func (p *Placer) filterAndVote(t *task) *machine {
	eligible := p.applyHardConstraints(t)
	p.observer.afterHardConstraints(t, eligible)
	candidates := p.applySoftConstraints(t, eligible)
	p.observer.afterSoftConstraints(t, candidates)
	return p.vote(candidates)
}
