package requests

import "flaxshelf.example/flaxshelf"

// Limits on adoption. Misbehaving clients may report any number of tasks, even on nodes that do not exist.
const (
	// maxRunningForAdoption is the number of running tasks at which no more tasks are adopted.
	maxRunningForAdoption = 1 << 14
	// maxUnconfirmedUnlisted is the maximum number of adopted tasks that no node has confirmed, on nodes that no endpoint list
	// had contained when the tasks were adopted. Config.MaxUnconfirmedAdoptions limits those on listed nodes.
	maxUnconfirmedUnlisted = 1024
)

// adopt registers a running task that this scheduler did not place. A task that is already known is left unchanged. A task that
// is not adopted is reported to its owner as lost, since its end could not be notified.
func (c *Core) adopt(in Adopt) {
	if c.tasks[in.Task.ID] != nil || c.owners[in.Conn] == nil {
		return
	}
	if c.adoptTerminated(in) {
		return
	}
	known := c.nodes[in.Node]
	unlisted := known == nil || !known.listed
	pool := c.listedAdoptions
	if unlisted {
		pool = c.unlistedAdoptions
	}
	if !c.makeRoomForAdoption(pool, in.Conn) {
		c.stats.RejectedAdoptions++
		c.emit(Terminated{Conn: in.Conn, Task: in.Task.ID, Cause: CauseLost})
		return
	}
	if unlisted {
		c.stats.RunningUnlisted++
	} else {
		c.markLikelyOwner(in.Conn)
	}
	t := &task{id: in.Task.ID, spec: in.Task, conn: in.Conn, host: c.owners[in.Conn].host, attempts: 1, unconfirmedIn: pool}
	pool.add(t, c.credibilityOf(in.Conn))
	n := c.getOrAddNode(in.Node)
	t.attempt = &attempt{task: t, node: n, startedAt: c.now, phase: phaseRunning, unlisted: unlisted,
		unreadRelease: n.hasUnreadRelease(t.id, c.now)}
	c.tasks[t.id] = t
	n.attempts[t.id] = t.attempt
	c.stats.Running++
	c.stats.Adopted++
	c.notifyPlacer(flaxshelf.TaskAdopted{Task: t.spec, Machine: in.Node})
	c.ensureLink(n)
}

// makeRoomForAdoption reports whether one more task may be adopted from a connection. It may give up an adopted task that is
// less credible.
func (c *Core) makeRoomForAdoption(pool *adoptionPool, conn ConnID) bool {
	if c.stats.Running >= maxRunningForAdoption {
		return false
	}
	evicted, ok := pool.reserve(conn, c.credibilityOf(conn))
	if evicted != nil {
		c.giveUpAdoption(evicted)
	}
	return ok
}

// giveUpAdoption ends the management of an adopted task that no node has confirmed. If the connection from which it was adopted
// is still open, the task is reported there as lost.
func (c *Core) giveUpAdoption(t *task) {
	c.stats.EvictedAdoptions++
	if t.attempt.phase == phaseRunning && c.owners[t.conn] != nil {
		c.emit(Terminated{Conn: t.conn, Task: t.id, Cause: CauseLost})
	}
	c.endAttempt(t.attempt, flaxshelf.Canceled, flaxshelf.UnspecifiedReason)
}

// adoptionPools returns all pools of adopted tasks that no node has confirmed.
func (c *Core) adoptionPools() [2]*adoptionPool {
	return [...]*adoptionPool{c.listedAdoptions, c.unlistedAdoptions}
}

// credibilityOf returns the credibility of tasks that are adopted from an open connection.
func (c *Core) credibilityOf(conn ConnID) credibility {
	if o := c.owners[conn]; o != nil && o.confirmedSeq > 0 {
		return credibilityConfirmed
	}
	return credibilityUnconfirmed
}
