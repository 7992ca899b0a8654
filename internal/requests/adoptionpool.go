package requests

import (
	"cmp"
	"slices"
)

// credibility orders connections by how likely the tasks that were adopted from them run.
type credibility int

const (
	credibilityDisconnected credibility = iota // the connection has ended and was never confirmed
	credibilityUnconfirmed                     // nothing proves that the connection belongs to an owner
	credibilityConfirmed                       // the connection was confirmed as an owner's, although it may have ended since
)

// adoptionPool holds the adopted tasks that no node has confirmed yet, up to a limit. Misbehaving clients report any number of
// tasks that no node runs. At the limit, the pool gives up a task from the connection that is least credible or, of several such,
// has the most tasks in the pool, so that such clients do not keep the tasks of owners from being adopted.
type adoptionPool struct {
	limit  int
	size   int
	byConn map[ConnID]*adoptingConnection // those with tasks in the pool
}

// adoptingConnection is a connection from which tasks in the pool were adopted. It may have ended.
type adoptingConnection struct {
	conn        ConnID
	credibility credibility
	tasks       []*task // in the order of their adoption
}

func newAdoptionPool(limit int) *adoptionPool {
	return &adoptionPool{limit: limit, byConn: map[ConnID]*adoptingConnection{}}
}

// reserve makes room for a task from a connection. It returns false if there is none. If evicted is not nil, the caller must
// give up that task, which is no longer in the pool.
func (p *adoptionPool) reserve(conn ConnID, of credibility) (evicted *task, ok bool) {
	if p.size < p.limit {
		return nil, true
	}
	victim := p.leastCredible()
	if victim == nil || victim.conn == conn {
		return nil, false
	}
	held := 0
	if own := p.byConn[conn]; own != nil {
		held = len(own.tasks)
	}
	if cmp.Or(cmp.Compare(victim.credibility, of), cmp.Compare(held, len(victim.tasks))) >= 0 {
		return nil, false
	}
	evicted = victim.tasks[len(victim.tasks)-1]
	p.remove(evicted)
	return evicted, true
}

// leastCredible returns the connection from which a task is to be given up, or nil if the pool is empty.
func (p *adoptionPool) leastCredible() *adoptingConnection {
	var victim *adoptingConnection
	for _, candidate := range p.byConn {
		if victim == nil || compareCredibility(candidate, victim) < 0 {
			victim = candidate
		}
	}
	return victim
}

// compareCredibility returns a negative number if tasks of a are to be given up before those of b.
func compareCredibility(a, b *adoptingConnection) int {
	return cmp.Or(
		cmp.Compare(a.credibility, b.credibility),
		cmp.Compare(len(b.tasks), len(a.tasks)),
		cmp.Compare(b.conn, a.conn),
	)
}

// add adds a task, for which reserve has made room.
func (p *adoptionPool) add(t *task, of credibility) {
	adopting := p.byConn[t.conn]
	if adopting == nil {
		adopting = &adoptingConnection{conn: t.conn, credibility: of}
		p.byConn[t.conn] = adopting
	}
	adopting.tasks = append(adopting.tasks, t)
	p.size++
}

// remove removes a task, if it is in the pool.
func (p *adoptionPool) remove(t *task) {
	adopting := p.byConn[t.conn]
	if adopting == nil {
		return
	}
	i := slices.Index(adopting.tasks, t)
	if i < 0 {
		return
	}
	adopting.tasks = slices.Delete(adopting.tasks, i, i+1)
	p.size--
	if len(adopting.tasks) == 0 {
		delete(p.byConn, t.conn)
	}
}

// connectionConfirmed records that a connection was confirmed as an owner's.
func (p *adoptionPool) connectionConfirmed(conn ConnID) {
	if adopting := p.byConn[conn]; adopting != nil {
		adopting.credibility = credibilityConfirmed
	}
}

// connectionEnded records that a connection has ended. A confirmed one stays credible.
func (p *adoptionPool) connectionEnded(conn ConnID) {
	if adopting := p.byConn[conn]; adopting != nil && adopting.credibility == credibilityUnconfirmed {
		adopting.credibility = credibilityDisconnected
	}
}
