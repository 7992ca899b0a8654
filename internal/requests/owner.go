package requests

import (
	"cmp"
	"slices"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/admission"
)

// owner is a connection of owners.
type owner struct {
	conn  Conn
	tasks map[string]*task // that wait for their answer on it; nil before the first
	shown uint64           // when it last proved to be an owner's, counted; 0: never
	gave  int              // tasks handed over on it
}

func (o *owner) add(t *task) {
	if o.tasks == nil {
		o.tasks = map[string]*task{}
	}
	o.tasks[t.id] = t
}

// sorted lists the tasks in a fixed order, since maps have none.
func (o *owner) sorted() []*task {
	all := make([]*task, 0, len(o.tasks))
	for _, t := range o.tasks {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *task) int { return cmp.Compare(a.id, b.id) })
	return all
}

// task is a set-up that waits for its answer, or what stands after it.
type task struct {
	id       string
	spec     flaxshelf.Task
	class    string
	idem     string
	detail   string
	conn     Conn
	open     bool // its owner is owed an answer
	attempts int
	live     *attempt
	handed   bool // it came by Held, and its node has not spoken of it
	// left has the link of the last attempt at a node that ended without the node's word: such word may still come.
	left map[*node]Link
}

func (t *task) leave(n *node, l Link) {
	if t.left == nil {
		t.left = map[*node]Link{}
	}
	t.left[n] = max(l, t.left[n])
}

// setUp begins a request. One whose id is open already is not begun: the first keeps its one answer.
func (c *Core) setUp(in Submit) {
	o := c.owners[in.Conn]
	if o == nil {
		return // it has ended: nobody waits
	}
	if old := c.tasks[in.Task.ID]; old != nil {
		if !old.open || old.conn != in.Conn {
			c.emit(Terminated{in.Conn, in.Task.ID, CauseLost, false})
		}
		return
	}
	if c.figures.Pending >= c.cfg.MaxPending || !c.admission.BeginRequest(admission.ID(in.Conn)) {
		c.figures.RejectedAtLimit++
		c.emit(Terminated{in.Conn, in.Task.ID, CauseRejected, false}) // nothing of it has run
		return
	}
	t := &task{id: in.Task.ID, spec: in.Task, class: in.Class, idem: in.IdempotencyKey, detail: in.Description, conn: in.Conn,
		open: true}
	c.tasks[t.id] = t
	o.add(t)
	c.figures.Pending++
	c.tell(flaxshelf.TaskSubmitted{Task: t.spec})
}

// held takes a task over that a node holds. What the scheduler has already stays as it is.
func (c *Core) held(in Adopt) {
	if c.tasks[in.Task.ID] != nil {
		return
	}
	if c.owners[in.Conn] == nil || c.endedEarly(in) {
		return
	}
	// Risk covered: bad clients may hand over tasks without end, and name nodes that are none.
	if c.figures.Running >= maxStanding || c.figures.RunningUnlisted >= maxUnlisted {
		return
	}
	unlisted := false
	if n := c.nodes[in.Node]; n == nil || !n.listed {
		unlisted = true
	} else {
		c.gave(in.Conn)
	}
	t := &task{id: in.Task.ID, spec: in.Task, conn: in.Conn, attempts: 1, handed: true}
	n := c.node(in.Node)
	t.live = &attempt{task: t, node: n, sent: c.now, phase: standing, unlisted: unlisted}
	if unlisted {
		c.figures.RunningUnlisted++
	}
	c.tasks[t.id] = t
	n.live[t.id] = t.live
	c.figures.Running++
	c.figures.Adopted++
	c.tell(flaxshelf.TaskAdopted{Task: t.spec, Machine: in.Node})
	c.keepLink(n)
}

const (
	// maxUnlisted bounds the tasks handed over that stand on nodes that no list had named then; more are not taken over.
	maxUnlisted = 1024
	// maxStanding bounds what stands before no more is taken over.
	maxStanding = 1 << 14
)

// answer gives the final answer that the module has decided, at once.
func (c *Core) answer(id string, cause int) {
	t := c.tasks[id]
	if t == nil || !t.open {
		return
	}
	c.shut(t, true)
	if cause == CauseRejected {
		c.figures.Rejected++
	} else {
		c.figures.Failed++
	}
	c.emit(Terminated{t.conn, t.id, cause, false})
	c.forget(t)
}

// shut books that t's owner is owed no answer any more: it has one, or gave the set-up up.
func (c *Core) shut(t *task, answered bool) {
	if !t.open {
		return
	}
	t.open = false
	c.figures.Pending--
	if o := c.owners[t.conn]; o != nil {
		delete(o.tasks, t.id)
	}
	c.admission.EndRequest(c.now, admission.ID(t.conn), answered)
}

// opened takes an owner's connection in. Others may have to go for it.
func (c *Core) opened(in OwnerConnected) {
	c.owners[in.Conn] = &owner{conn: in.Conn}
	for _, id := range c.admission.Opened(c.now, admission.ID(in.Conn), in.Host) {
		c.closeOwner(Conn(id))
	}
	if c.silence == nil || !c.silence.Queued() {
		c.silent()
	}
}

// silent closes the connections that say nothing.
func (c *Core) silent() {
	gone, next := c.admission.CloseIdle(c.now)
	for _, id := range gone {
		c.closeOwner(Conn(id))
	}
	if next > 0 {
		c.silence = c.timers.Schedule(next, c.silent)
	}
}

// closeOwner closes an owner's connection. Set-ups that are open on it are given up: its close tells the owner so.
func (c *Core) closeOwner(conn Conn) {
	c.figures.OwnersClosed++
	c.closed(conn)
	c.emit(CloseOwner{conn})
}

// released is an owner's release: before the answer the set-up is given up, after it the task ends.
func (c *Core) released(conn Conn, id string) {
	t := c.tasks[id]
	if t != nil && !t.open {
		c.admission.Touch(c.now, admission.ID(conn))
	}
	switch {
	case t == nil:
	case t.open:
		c.giveUp(t)
	case t.live != nil && t.live.phase == standing:
		c.endByOwner(t)
	}
}

func (c *Core) giveUp(t *task) {
	c.shut(t, false)
	c.figures.Canceled++
	c.tell(flaxshelf.TaskCanceled{Task: t.id})
	if t.live != nil {
		c.withdraw(t.live)
	}
	c.forget(t)
}

// forget drops a task that is owed nothing and has nothing out.
func (c *Core) forget(t *task) {
	if !t.open && t.live == nil {
		delete(c.tasks, t.id)
	}
}

// closed: set-ups open on a connection that has ended are given up. Standing tasks belong to none.
func (c *Core) closed(conn Conn) {
	o := c.owners[conn]
	if o == nil {
		return
	}
	delete(c.owners, conn)
	c.admission.Closed(admission.ID(conn))
	for _, t := range o.sorted() {
		c.giveUp(t)
	}
}

// say tells an owner that its standing task is over: on the connection of its set-up, else on another one that is surely
// an owner's, else on the next one that shows itself to be.
func (c *Core) say(t *task, cause int) { c.sayOver(t, Terminated{Task: t.id, Cause: cause}) }

func (c *Core) sayOver(t *task, e Terminated) {
	o := c.owners[t.conn]
	if o == nil {
		o = c.other()
	}
	if o != nil {
		e.Conn = o.conn
		c.emit(e)
		return
	}
	if len(c.unsaid) < maxUnsaid {
		c.unsaid = append(c.unsaid, &e)
	}
}

// maxUnsaid bounds the ends for which no connection is there.
const maxUnsaid = 4096

// other is the owner's connection that proved the last to be one; where none did, the one on which most tasks were handed
// over, the first of them. Risk covered: bad clients connect from the addresses of owners and hand over what no node holds,
// and an end that is told to one of them is lost.
func (c *Core) other() *owner {
	var best *owner
	for _, o := range c.owners {
		if (o.shown > 0 || o.gave > 0) && (best == nil || cmp.Or(cmp.Compare(o.shown, best.shown),
			cmp.Compare(o.gave, best.gave), cmp.Compare(best.conn, o.conn)) > 0) {
			best = o
		}
	}
	return best
}

// showed is for a connection on which a task was placed, or handed over that its node has spoken of: it takes along the ends
// that found none.
func (c *Core) showed(conn Conn) {
	if o := c.owners[conn]; o != nil {
		c.shows++
		o.shown = c.shows
		c.sayUnsaid(conn)
	}
}

// gave is for a connection on which a task was handed over. That proves no owner, so it stays a stranger to admission, until
// the node speaks of the task; ends go there where no better one is.
func (c *Core) gave(conn Conn) {
	if o := c.owners[conn]; o != nil {
		o.gave++
		c.admission.MarkLikelyOwner(admission.ID(conn))
		c.sayUnsaid(conn)
	}
}

// provedBy is a node's word of a task that was handed over: who handed it over is an owner.
func (c *Core) provedBy(t *task) {
	if t.handed {
		t.handed = false
		c.admission.Touch(c.now, admission.ID(t.conn))
		c.showed(t.conn)
	}
}

func (c *Core) sayUnsaid(conn Conn) {
	for _, e := range c.unsaid {
		e.Conn = conn
		c.emit(*e)
	}
	c.unsaid = c.unsaid[:0]
}
