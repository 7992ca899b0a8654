package flaxshelf

// A machine for a task is chosen in three steps: hard constraints, which are never relaxed, soft constraints,
// which give way in a fixed order, and the replay vote among the machines that are left.

// equivalenceClass is what decides, before a task's first offer, whether any machine is left for it. Tasks with equal
// fields share the answer within a step.
type equivalenceClass struct {
	class        int
	service      string // only where spread is bounded
	cores        float64
	memory       float64
	nearDeadline bool
}

// chooseMachine picks a machine for t; nil where none may take it now.
func (p *Placer) chooseMachine(t *task) *machine {
	p.refresh()
	request := equivalenceClass{
		class: t.Class, cores: t.Cores, memory: t.Memory, nearDeadline: p.nearDeadline(t),
	}
	if t.class.SpreadDomain != NoDomain {
		request.service = t.Service
	}
	first := len(t.attempts) == 0
	if first && p.infeasible[request] {
		return nil
	}
	m := p.vote(p.applySoftConstraints(t, p.applyHardConstraints(t)))
	if m == nil && first {
		p.infeasible[request] = true
	}
	return m
}
