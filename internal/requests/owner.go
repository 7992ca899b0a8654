package requests

import (
	"cmp"
	"slices"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/admission"
)

// owner is a connection of owners.
type owner struct {
	conn         Conn
	tasks        map[string]*task // that wait for their answer on it; nil before the first
	activeSerial uint64           // when it last proved to be an owner's, counted; 0: never
	adoptions    int              // tasks handed over on it
}

func (o *owner) add(t *task) {
	if o.tasks == nil {
		o.tasks = map[string]*task{}
	}
	o.tasks[t.id] = t
}

// sortedTasks lists the tasks in a fixed order, since maps have none.
func (o *owner) sortedTasks() []*task {
	all := make([]*task, 0, len(o.tasks))
	for _, t := range o.tasks {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *task) int { return cmp.Compare(a.id, b.id) })
	return all
}

// task is a set-up that waits for its answer, or what stands after it.
type task struct {
	id             string
	spec           flaxshelf.Task
	class          string
	idempotencyKey string
	description    string
	conn           Conn
	pending        bool // its owner is owed an answer
	attempts       int
	attempt        *attempt
	unverified     bool // it came by Held, and its node has not spoken of it
	// unansweredLinks has the link of the last attempt at a node that ended without the node's word: such word may still come.
	unansweredLinks map[*node]Link
}

func (t *task) noteUnanswered(n *node, l Link) {
	if t.unansweredLinks == nil {
		t.unansweredLinks = map[*node]Link{}
	}
	t.unansweredLinks[n] = max(l, t.unansweredLinks[n])
}

// submit begins a request. One whose id is open already is not begun: the first keeps its one answer.
func (c *Core) submit(in Submit) {
	o := c.owners[in.Conn]
	if o == nil {
		return // it has ended: nobody waits
	}
	if old := c.tasks[in.Task.ID]; old != nil {
		if !old.pending || old.conn != in.Conn {
			c.emit(Terminated{in.Conn, in.Task.ID, CauseLost, false})
		}
		return
	}
	if c.stats.Pending >= c.config.MaxPending || !c.admission.BeginRequest(admission.ID(in.Conn)) {
		c.stats.RejectedAtLimit++
		c.emit(Terminated{in.Conn, in.Task.ID, CauseRejected, false}) // nothing of it has run
		return
	}
	t := &task{id: in.Task.ID, spec: in.Task, class: in.Class, idempotencyKey: in.IdempotencyKey, description: in.Description, conn: in.Conn,
		pending: true}
	c.tasks[t.id] = t
	o.add(t)
	c.stats.Pending++
	c.notifyModule(flaxshelf.TaskSubmitted{Task: t.spec})
}

// adopt takes a task over that a node holds. What the scheduler has already stays as it is.
func (c *Core) adopt(in Adopt) {
	if c.tasks[in.Task.ID] != nil {
		return
	}
	if c.owners[in.Conn] == nil || c.adoptTerminated(in) {
		return
	}
	// Risk covered: bad clients may hand over tasks without end, and name nodes that are none.
	if c.stats.Running >= maxRunningForAdoption || c.stats.RunningUnlisted >= maxRunningUnlisted {
		return
	}
	unlisted := false
	if n := c.nodes[in.Node]; n == nil || !n.listed {
		unlisted = true
	} else {
		c.markLikelyOwner(in.Conn)
	}
	t := &task{id: in.Task.ID, spec: in.Task, conn: in.Conn, attempts: 1, unverified: true}
	n := c.nodeFor(in.Node)
	t.attempt = &attempt{task: t, node: n, startedAt: c.now, phase: running, unlisted: unlisted}
	if unlisted {
		c.stats.RunningUnlisted++
	}
	c.tasks[t.id] = t
	n.attempts[t.id] = t.attempt
	c.stats.Running++
	c.stats.Adopted++
	c.notifyModule(flaxshelf.TaskAdopted{Task: t.spec, Machine: in.Node})
	c.ensureLink(n)
}

const (
	// maxRunningUnlisted bounds the tasks handed over that stand on nodes that no list had named then; more are not taken over.
	maxRunningUnlisted = 1024
	// maxRunningForAdoption bounds what stands before no more is taken over.
	maxRunningForAdoption = 1 << 14
)

// failRequest gives the final answer that the module has decided, at once.
func (c *Core) failRequest(id string, cause int) {
	t := c.tasks[id]
	if t == nil || !t.pending {
		return
	}
	c.finishRequest(t, true)
	if cause == CauseRejected {
		c.stats.Rejected++
	} else {
		c.stats.Failed++
	}
	c.emit(Terminated{t.conn, t.id, cause, false})
	c.forgetIfDone(t)
}

// finishRequest books that t's owner is owed no answer any more: it has one, or gave the set-up up.
func (c *Core) finishRequest(t *task, answered bool) {
	if !t.pending {
		return
	}
	t.pending = false
	c.stats.Pending--
	if o := c.owners[t.conn]; o != nil {
		delete(o.tasks, t.id)
	}
	c.admission.EndRequest(c.now, admission.ID(t.conn), answered)
}

// connectOwner takes an owner's connection in. Others may have to go for it.
func (c *Core) connectOwner(in OwnerConnected) {
	c.owners[in.Conn] = &owner{conn: in.Conn}
	for _, id := range c.admission.Opened(c.now, admission.ID(in.Conn), in.Host) {
		c.closeOwner(Conn(id))
	}
	if c.idleTimer == nil || !c.idleTimer.Queued() {
		c.closeIdleOwners()
	}
}

// closeIdleOwners closes the connections that say nothing.
func (c *Core) closeIdleOwners() {
	gone, next := c.admission.CloseIdle(c.now)
	for _, id := range gone {
		c.closeOwner(Conn(id))
	}
	if next > 0 {
		c.idleTimer = c.timers.Schedule(next, c.closeIdleOwners)
	}
}

// closeOwner closes an owner's connection. Set-ups that are open on it are given up: its close tells the owner so.
func (c *Core) closeOwner(conn Conn) {
	c.stats.OwnersClosed++
	c.disconnectOwner(conn)
	c.emit(CloseOwner{conn})
}

// releaseByOwner is an owner's release: before the answer the set-up is given up, after it the task ends.
func (c *Core) releaseByOwner(conn Conn, id string) {
	t := c.tasks[id]
	if t != nil && !t.pending {
		c.admission.Touch(c.now, admission.ID(conn))
	}
	switch {
	case t == nil:
	case t.pending:
		c.cancelRequest(t)
	case t.attempt != nil && t.attempt.phase == running:
		c.releaseRunning(t)
	}
}

func (c *Core) cancelRequest(t *task) {
	c.finishRequest(t, false)
	c.stats.Canceled++
	c.notifyModule(flaxshelf.TaskCanceled{Task: t.id})
	if t.attempt != nil {
		c.withdrawOffer(t.attempt)
	}
	c.forgetIfDone(t)
}

// forgetIfDone drops a task that is owed nothing and has nothing out.
func (c *Core) forgetIfDone(t *task) {
	if !t.pending && t.attempt == nil {
		delete(c.tasks, t.id)
	}
}

// disconnectOwner: set-ups open on a connection that has ended are given up. Standing tasks belong to none.
func (c *Core) disconnectOwner(conn Conn) {
	o := c.owners[conn]
	if o == nil {
		return
	}
	delete(c.owners, conn)
	c.admission.Closed(admission.ID(conn))
	for _, t := range o.sortedTasks() {
		c.cancelRequest(t)
	}
}

// notifyTerminatedWith tells an owner that its standing task is over: on the connection of its set-up, else on another one that is surely
// an owner's, else on the next one that shows itself to be.
func (c *Core) notifyTerminatedWith(t *task, cause int) {
	c.notifyTerminated(t, Terminated{Task: t.id, Cause: cause})
}

func (c *Core) notifyTerminated(t *task, e Terminated) {
	o := c.owners[t.conn]
	if o == nil {
		o = c.likelyOwner()
	}
	if o != nil {
		e.Conn = o.conn
		c.emit(e)
		return
	}
	if len(c.undelivered) < maxUndelivered {
		c.undelivered = append(c.undelivered, &e)
	}
}

// maxUndelivered bounds the ends for which no connection is there.
const maxUndelivered = 4096

// likelyOwner is the owner's connection that proved the last to be one; where none did, the one on which most tasks were handed
// over, the first of them. Risk covered: bad clients connect from the addresses of owners and hand over what no node holds,
// and an end that is told to one of them is lost.
func (c *Core) likelyOwner() *owner {
	var best *owner
	for _, o := range c.owners {
		if (o.activeSerial > 0 || o.adoptions > 0) && (best == nil || cmp.Or(cmp.Compare(o.activeSerial, best.activeSerial),
			cmp.Compare(o.adoptions, best.adoptions), cmp.Compare(best.conn, o.conn)) > 0) {
			best = o
		}
	}
	return best
}

// markActive is for a connection on which a task was placed, or handed over that its node has spoken of: it takes along the ends
// that found none.
func (c *Core) markActive(conn Conn) {
	if o := c.owners[conn]; o != nil {
		c.activityCount++
		o.activeSerial = c.activityCount
		c.deliverPending(conn)
	}
}

// markLikelyOwner is for a connection on which a task was handed over. That proves no owner, so it stays a stranger to admission, until
// the node speaks of the task; ends go there where no better one is.
func (c *Core) markLikelyOwner(conn Conn) {
	if o := c.owners[conn]; o != nil {
		o.adoptions++
		c.admission.MarkLikelyOwner(admission.ID(conn))
		c.deliverPending(conn)
	}
}

// verifyOwnerOf is a node's word of a task that was handed over: who handed it over is an owner.
func (c *Core) verifyOwnerOf(t *task) {
	if t.unverified {
		t.unverified = false
		c.admission.Touch(c.now, admission.ID(t.conn))
		c.markActive(t.conn)
	}
}

func (c *Core) deliverPending(conn Conn) {
	for _, e := range c.undelivered {
		e.Conn = conn
		c.emit(*e)
	}
	c.undelivered = c.undelivered[:0]
}
