package requests

import (
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

// attemptPhase is the progress of an attempt. The phases are ordered, and comparisons rely on it: in phaseRunning and
// phaseReleasing, the task has run. Each phase may be followed by phaseEnded.
type attemptPhase int

const (
	phaseConnecting attemptPhase = iota // waiting for a link
	phaseOffered                        // the offer was sent, and its response is pending
	phaseRunning                        // the node has accepted the task, or the task was adopted
	phaseReleasing                      // the scheduler has released the running task
	phaseEnded
)

// String returns the name of the phase.
func (p attemptPhase) String() string {
	switch p {
	case phaseConnecting:
		return "connecting"
	case phaseOffered:
		return "offered"
	case phaseRunning:
		return "running"
	case phaseReleasing:
		return "releasing"
	case phaseEnded:
		return "ended"
	}
	return "unknown"
}

// attempt is one offer of a task to a node and, once the node has accepted it, the running task. An adopted task has an attempt
// without an offer.
type attempt struct {
	task              *task
	number            int // among the attempts of the task, from 0
	node              *node
	link              *link // on which the offer was sent; nil before that, and if the task was adopted
	phase             attemptPhase
	startedAt         Time
	timeout           time.Duration     // time from startedAt until the attempt times out
	timer             *timerqueue.Timer // for the timeout of the current phase
	unlisted          bool              // the task was adopted on a node that no endpoint list had contained
	unreadRelease     bool              // the task was adopted, and its node may still read the release of a former attempt
	releaseLink       *link             // on which the release was last sent; nil: never
	releasedAt        Time              // when the release was last sent
	releasedOnNewLink bool              // the release was last sent on a link that had just been established
}

// minConnectTimeout is the minimum time that an attempt waits for a link, even if the configured connect timeout is shorter, so
// that a link can be established at all.
const minConnectTimeout = time.Millisecond

// offer starts an attempt at the node that the placer has chosen.
func (c *Core) offer(action flaxshelf.Offer) {
	t := c.tasks[action.Task]
	if t == nil || !t.pending || t.attempt != nil {
		return // unexpected: the placer offers only pending tasks, and one attempt of a task at a time
	}
	a := c.newAttempt(t, c.getOrAddNode(action.Machine), action.Timeout)
	if a.timeout <= 0 || a.node.machine.State != flaxshelf.Active {
		c.endAttempt(a, flaxshelf.NotSent, flaxshelf.UnspecifiedReason)
		return
	}
	n := a.node
	// A late message about an earlier attempt of the task at this node contains only the task's ID, and would be mistaken for
	// one about this attempt. A new link tells the two apart.
	if n.currentLink != nil && !n.currentLink.suspected && n.currentLink.id <= t.unansweredLinks[n] {
		c.suspectLink(n.currentLink)
	}
	if n.currentLink != nil && n.currentLink.up && !n.currentLink.suspected {
		c.sendOffer(a, n.currentLink)
		return
	}
	c.awaitLink(a)
}

// newAttempt registers an attempt of t at n, which times out after timeout but not later than the request's deadline. If
// timeout is zero, only the deadline applies.
func (c *Core) newAttempt(t *task, n *node, timeout time.Duration) *attempt {
	a := &attempt{task: t, number: t.attempts, node: n, startedAt: c.now, timeout: timeout}
	t.attempts++
	t.attempt = a
	n.attempts[t.id] = a
	c.stats.Offers++
	untilDeadline := t.spec.Deadline - c.now
	if a.timeout <= 0 || a.timeout > untilDeadline {
		a.timeout = untilDeadline
	}
	return a
}

// awaitLink lets an attempt wait for a link to its node, and dials the node at once, without the redial backoff.
func (c *Core) awaitLink(a *attempt) {
	wait := min(a.timeout, max(c.config.Placer.ConnectTimeout, minConnectTimeout))
	a.timer = c.timers.Schedule(c.now+wait, func() {
		c.endAttempt(a, flaxshelf.Unreachable, flaxshelf.UnspecifiedReason)
	})
	c.timers.Cancel(a.node.redialTimer)
	c.ensureLink(a.node)
}

// sendOffer sends the offer of an attempt on an established link.
func (c *Core) sendOffer(a *attempt, l *link) {
	c.timers.Cancel(a.timer)
	timeLeft := a.startedAt + a.timeout - c.now
	if timeLeft <= 0 {
		c.endAttempt(a, flaxshelf.NotSent, flaxshelf.UnspecifiedReason)
		return
	}
	t := a.task
	a.phase = phaseOffered
	a.link = l
	l.lastUsedAt = c.now
	l.pendingOffers++
	c.emit(Offer{
		Link:           l.id,
		Attempt:        a.number,
		Owner:          t.conn,
		Node:           a.node.machine.ID,
		Task:           t.id,
		Class:          t.class,
		Key:            t.spec.Key,
		IdempotencyKey: t.idempotencyKey,
		Description:    t.description,
		TimeLeft:       timeLeft,
	})
	a.timer = c.timers.Schedule(c.now+timeLeft, func() { c.timeOutOffer(a) })
}

// sendFailed ends the attempt whose offer was not sent.
func (c *Core) sendFailed(in SendFailed) {
	a := c.findAttempt(in.Link, in.Task)
	if a == nil || a.phase != phaseOffered || a.number != in.Attempt {
		return
	}
	c.endAttempt(a, flaxshelf.NotSent, flaxshelf.UnspecifiedReason)
}

// timeOutOffer ends an attempt whose offer got no response in time. If the link has received nothing since the attempt
// started, it is suspected: this is the only sign of a machine that is cut off from the network, or of a peer that can no
// longer parse the stream.
func (c *Core) timeOutOffer(a *attempt) {
	c.releaseOffer(a)
	if a.link.lastReceivedAt < a.startedAt {
		c.suspectLink(a.link)
	}
	c.endAttempt(a, flaxshelf.TimedOut, flaxshelf.UnspecifiedReason)
}

// cancelAttempt executes the placer's cancellation of an attempt that has no response yet.
func (c *Core) cancelAttempt(action flaxshelf.Cancel) {
	t := c.tasks[action.Task]
	if t == nil || t.attempt == nil || t.attempt.number != action.Attempt {
		return
	}
	c.withdrawOffer(t.attempt)
}

// withdrawOffer ends an attempt that has no response yet. An attempt in a later phase is left unchanged.
func (c *Core) withdrawOffer(a *attempt) {
	switch a.phase {
	case phaseConnecting:
		c.endAttempt(a, flaxshelf.NotSent, flaxshelf.UnspecifiedReason)
	case phaseOffered:
		c.releaseOffer(a)
		c.endAttempt(a, flaxshelf.Canceled, flaxshelf.UnspecifiedReason)
	}
}

// endLostAttempt ends an attempt with the outcome Lost, and notifies the owner if the task was running.
func (c *Core) endLostAttempt(a *attempt) {
	if a.phase == phaseRunning {
		c.notifyTerminated(a.task, CauseLost)
	}
	c.endAttempt(a, flaxshelf.Lost, flaxshelf.UnspecifiedReason)
}

// endConnecting ends the attempts at n that are waiting for a link.
func (c *Core) endConnecting(n *node, outcome flaxshelf.Outcome) {
	for _, a := range n.sortedAttempts() {
		if a.phase == phaseConnecting {
			c.endAttempt(a, outcome, flaxshelf.UnspecifiedReason)
		}
	}
}

// endAttempt ends an attempt and reports its outcome to the placer. It does nothing if the attempt has already ended.
func (c *Core) endAttempt(a *attempt, outcome flaxshelf.Outcome, reason flaxshelf.Reason) {
	if a.phase == phaseEnded {
		return
	}
	t := a.task
	hadRun := a.phase >= phaseRunning
	c.timers.Cancel(a.timer)
	if a.phase == phaseOffered {
		c.endOffer(a, outcome)
	}
	a.phase = phaseEnded
	if a.unlisted {
		c.stats.RunningUnlisted--
	}
	if hadRun {
		c.stats.Running--
		c.stats.Ended++
	}
	if outcome == flaxshelf.Unreachable {
		c.stats.UnreachableOffers++
	}
	delete(a.node.attempts, t.id)
	t.leaveAdoptionPool()
	t.attempt = nil
	c.notifyPlacer(flaxshelf.AttemptEnded{
		Task:    t.id,
		Machine: a.node.machine.ID,
		Attempt: a.number,
		Outcome: outcome,
		Reason:  reason,
		Final:   hadRun,
		Latency: c.now - a.startedAt,
	})
	c.deleteIfDone(t)
	c.discardIfUnused(a.node)
}

// endOffer records the outcome of an offer that was sent and not accepted.
func (c *Core) endOffer(a *attempt, outcome flaxshelf.Outcome) {
	a.link.pendingOffers--
	c.stats.countFailedOffer(outcome)
	nodeMayRespond := outcome == flaxshelf.TimedOut || outcome == flaxshelf.Lost
	if a.task.pending && nodeMayRespond {
		a.task.recordUnanswered(a.node, a.link.id)
	}
}
