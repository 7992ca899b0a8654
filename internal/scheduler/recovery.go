package scheduler

import "flaxshelf.example/flaxshelf"

// recovery holds work back at the start of a life. Risk covered: a scheduler that was killed comes back, an
// owner asks again, and the job is started anew while a node that has not yet been heard runs it.
type recovery struct {
	on       bool
	listed   bool
	deadline Time
	waiting  []*job
}

// holdsBack tells whether j must wait. A first ask for a class that bears repeats need not, unless its spread is
// bounded: what a former life placed counts.
func (c *Core) holdsBack(j *job) bool {
	return c.recovery.on && (j.spec.Retry || !c.bearsRepeats(j) || c.class(j).SpreadDomain != flaxshelf.NoDomain)
}

// checkRecovery ends the waiting when every listed node has told what it runs, or has had Settle to do so.
// Where an owner asks again for work that must never start twice, a silent node is waited for without end:
// the ask then fails at its own time.
func (c *Core) checkRecovery() {
	r := &c.recovery
	if !r.on || !r.listed {
		return
	}
	all := true
	for _, n := range c.order {
		all = all && (n.heard || n.out())
	}
	if !all && c.now < r.deadline {
		return
	}
	var kept []*job
	for _, j := range r.waiting {
		switch {
		case j.sub != SubRecovering: // it was found running, held or ended
		case !all && j.spec.Retry && c.neverTwice(j):
			kept = append(kept, j)
		default:
			c.place(j)
		}
	}
	r.waiting = kept
	r.on = !all && len(kept) > 0 || !all && c.now < r.deadline
}
