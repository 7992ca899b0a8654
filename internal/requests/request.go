package requests

import (
	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/admission"
)

// task is a submitted or adopted task. It is kept until its request is no longer pending and its attempt has ended.
type task struct {
	id             string
	spec           flaxshelf.Task
	class          string
	idempotencyKey string
	description    string   // empty once the request is no longer pending
	pendingBytes   int      // reserved in Core.pendingBytes while the request is pending
	conn           ConnID   // connection on which it was submitted or adopted
	host           string   // address of that connection's peer
	pending        bool     // whether its owner waits for the response
	attempts       int      // number of attempts so far
	attempt        *attempt // the current one, or nil
	// unconfirmedIn is the pool that contains the task if it was adopted and no node has sent a message about it; otherwise nil.
	unconfirmedIn *adoptionPool
	// unansweredLinks maps a node to the newest link on which an attempt there ended without a response. The response may
	// still arrive on that link.
	unansweredLinks map[*node]LinkID
}

// unconfirmed reports whether the task was adopted and its node has not yet sent a message about it.
func (t *task) unconfirmed() bool { return t.unconfirmedIn != nil }

// leaveAdoptionPool removes the task from its pool of unconfirmed adoptions, if it is in one.
func (t *task) leaveAdoptionPool() {
	if t.unconfirmedIn != nil {
		t.unconfirmedIn.remove(t)
		t.unconfirmedIn = nil
	}
}

// recordUnanswered records the link of an attempt that ended without a response of its node.
func (t *task) recordUnanswered(n *node, id LinkID) {
	if t.unansweredLinks == nil {
		t.unansweredLinks = map[*node]LinkID{}
	}
	t.unansweredLinks[n] = max(id, t.unansweredLinks[n])
}

// submit starts a request. If the task ID is already in use, the earlier task is unaffected, and the request is
// not started: it is ignored if it repeats a pending request of the same connection, and fails in all other cases. A request
// whose time is over is rejected; nothing was offered.
func (c *Core) submit(in Submit) {
	o := c.owners[in.Conn]
	if o == nil {
		return // the connection has ended, so no response can be sent
	}
	if old := c.tasks[in.Task.ID]; old != nil {
		if !old.pending || old.conn != in.Conn {
			c.emit(Terminated{Conn: in.Conn, Task: in.Task.ID, Cause: CauseLost})
		}
		return
	}
	if in.Task.Deadline <= c.now {
		c.stats.Rejected++
		c.emit(Terminated{Conn: in.Conn, Task: in.Task.ID, Cause: CauseRejected})
		return
	}
	if !c.beginRequest(&in) {
		c.stats.RejectedAtLimit++
		c.emit(Terminated{Conn: in.Conn, Task: in.Task.ID, Cause: CauseRejected}) // a retry is safe: no offer was made
		return
	}
	t := &task{
		id:             in.Task.ID,
		spec:           in.Task,
		class:          in.Class,
		idempotencyKey: in.IdempotencyKey,
		description:    in.Description,
		conn:           in.Conn,
		host:           o.host,
		pending:        true,
		pendingBytes:   in.size(),
	}
	c.tasks[t.id] = t
	o.addPending(t)
	c.stats.Pending++
	c.notifyPlacer(flaxshelf.TaskSubmitted{Task: t.spec})
}

// requestOverhead is the size in bytes of what the core and the placer hold for a pending request beside its texts.
const requestOverhead = 1536

// size returns the size of a request in bytes while it is pending.
func (in *Submit) size() int {
	size := requestOverhead
	for _, text := range []string{in.Task.ID, in.Task.Key, in.Task.Service, in.Class, in.IdempotencyKey, in.Description} {
		size += len(text)
	}
	return size
}

// beginRequest reserves what a pending request needs. It returns false if a limit on pending requests is reached.
func (c *Core) beginRequest(in *Submit) bool {
	if c.stats.Pending >= c.config.MaxPending || !c.pendingBytes.Reserve(in.Conn, in.size()) {
		return false
	}
	if !c.admission.BeginRequest(admission.ID(in.Conn)) {
		c.pendingBytes.Release(in.Conn, in.size())
		return false
	}
	return true
}

// respondTerminated sends the final response to a request that the placer has rejected or failed.
func (c *Core) respondTerminated(id string, cause Cause) {
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
	c.emit(Terminated{Conn: t.conn, Task: t.id, Cause: cause})
	if o := c.owners[t.conn]; o != nil {
		o.hadResponse = true
		c.notifyIfPossibleOwner()
	}
	c.deleteIfDone(t)
}

// finishRequest records that a request has been responded to or, if answered is false, canceled.
func (c *Core) finishRequest(t *task, answered bool) {
	if !t.pending {
		return
	}
	t.pending = false
	t.description, t.idempotencyKey = "", "" // only offers need them
	c.pendingBytes.Release(t.conn, t.pendingBytes)
	c.stats.Pending--
	if o := c.owners[t.conn]; o != nil {
		delete(o.pending, t.id)
	}
	c.admission.EndRequest(c.now, admission.ID(t.conn), answered)
}

// releaseByOwner handles an owner's release: it cancels a pending request, and ends a running task.
func (c *Core) releaseByOwner(conn ConnID, id string) {
	t := c.tasks[id]
	if t == nil {
		return
	}
	if t.pending {
		c.cancelRequest(t)
		return
	}
	c.recordOwnerUse(conn)
	if t.attempt != nil && t.attempt.phase == phaseRunning {
		c.releaseRunning(t)
	}
}

// cancelRequest cancels a pending request, together with its attempt.
func (c *Core) cancelRequest(t *task) {
	c.finishRequest(t, false)
	c.stats.Canceled++
	c.notifyPlacer(flaxshelf.TaskCanceled{Task: t.id})
	if t.attempt != nil {
		c.withdrawOffer(t.attempt)
	}
	c.deleteIfDone(t)
}

// migrate ends a running task that the placer has chosen to migrate. The owner is notified of a migration instead of a release:
// after a release, it would count the task as lost and wait before it submits the task again.
func (c *Core) migrate(action flaxshelf.Migrate) {
	t := c.tasks[action.Task]
	if t == nil || t.attempt == nil || t.attempt.phase != phaseRunning {
		return
	}
	c.notifyMigration(t)
	c.releaseRunning(t)
}

// deleteIfDone deletes a task that has neither a pending response nor an attempt.
func (c *Core) deleteIfDone(t *task) {
	if !t.pending && t.attempt == nil {
		delete(c.tasks, t.id)
	}
}
