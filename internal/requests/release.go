package requests

import (
	"slices"
	"time"

	"flaxshelf.example/flaxshelf"
)

// Nodes need not confirm a release. A release that was sent on a link which is about to fail may never be read, and the task
// then runs on beside its next copy. So a running task counts as ended only once there is evidence that the node has received
// the release, and a release is sent again if a newer link is established or the node shows that the task still runs.
const (
	// releaseConfirmationTimeout is how long to wait for a node's confirmation of a release before the task may count as ended
	// without it.
	releaseConfirmationTimeout = time.Second
	// releaseCrossingTime is the time after a release within which a usage report of the task may have crossed it.
	releaseCrossingTime = 200 * time.Millisecond
	// releaseRepeatWindow is how long the release of an ended attempt may be sent again. The owner of a failed request hands
	// the task to a scheduler if it runs nevertheless, not earlier than 3 s after the failure, and it must not be released then.
	releaseRepeatWindow = 2 * time.Second
	// releaseMemory is how long after a release its node may read it, as after it has hung. If the task was handed over
	// meanwhile, the release ends it, and its owner must be notified.
	releaseMemory = 30 * time.Second
	// maxRecentReleases is the maximum number of recent releases that are kept for one node. New ones replace the oldest.
	maxRecentReleases = 256
)

// recentRelease is a release of an attempt that has ended, although its node has not confirmed the release.
type recentRelease struct {
	taskID string
	cause  Cause
	sentAt Time
	// repeated reports whether a link was established after the release was sent, so that it is not sent again.
	repeated bool
}

// mayBeRepeated reports whether the release may be sent again.
func (r *recentRelease) mayBeRepeated(now Time) bool {
	return !r.repeated && now-r.sentAt < releaseRepeatWindow
}

// releaseRunning releases a running task at its node, and schedules the check for the node's confirmation.
func (c *Core) releaseRunning(t *task) {
	a := t.attempt
	a.phase = phaseReleasing
	if l := c.mostRecentlyHeardLink(a.node); l != nil {
		c.sendRelease(a, l)
	}
	c.awaitReleaseConfirmation(a)
}

// mostRecentlyHeardLink returns the established link to a node that has most recently received a message, which is the one most
// likely to work. Of several such links it returns the newest. It returns nil if no link is established.
func (c *Core) mostRecentlyHeardLink(n *node) *link {
	var best *link
	for _, l := range c.links {
		if l.node != n || !l.up || l.finishing {
			continue
		}
		if best == nil || l.lastReceivedAt > best.lastReceivedAt || l.lastReceivedAt == best.lastReceivedAt && l.id > best.id {
			best = l
		}
	}
	return best
}

// writableLink returns l or, if nothing can be sent on it any more, the link to its node that is most likely to work. It returns
// nil if there is none.
func (c *Core) writableLink(l *link) *link {
	if !l.finishing {
		return l
	}
	return c.mostRecentlyHeardLink(l.node)
}

// releaseAtNode sends the release of a task that is not known to run at a node, in response to a message on l.
func (c *Core) releaseAtNode(l *link, taskID string, cause Cause) {
	if l = c.writableLink(l); l != nil {
		c.emit(SendRelease{Link: l.id, Task: taskID, Cause: cause})
	}
}

// sendRelease sends the release of a running task on an established link.
func (c *Core) sendRelease(a *attempt, l *link) {
	if a.releaseLink != nil {
		c.stats.RepeatedReleases++
	}
	a.releaseLink, a.releasedAt = l, c.now
	a.releasedOnNewLink = false
	c.emit(SendRelease{Link: l.id, Task: a.task.id, Cause: CauseCanceled})
}

// awaitReleaseConfirmation schedules checkUnconfirmedRelease for when the confirmation is overdue.
func (c *Core) awaitReleaseConfirmation(a *attempt) {
	a.timer = c.timers.Schedule(c.now+releaseConfirmationTimeout, func() { c.checkUnconfirmedRelease(a) })
}

// checkUnconfirmedRelease counts a released task as ended if its node has received the release as far as can be known. A
// partitioned node does not receive the release and continues to run the task. The task therefore counts as running until a
// link is established or the node counts as unreachable.
func (c *Core) checkUnconfirmedRelease(a *attempt) {
	if !a.releaseProbablyReceived() {
		c.awaitReleaseConfirmation(a)
		return
	}
	c.recordRecentRelease(a, CauseCanceled)
	c.endAttempt(a, flaxshelf.Canceled, flaxshelf.UnspecifiedReason)
}

// releaseProbablyReceived reports whether the link of the last release is still up, and either was new when the release was sent
// on it or has received a message since. A message on another link proves nothing about this one.
func (a *attempt) releaseProbablyReceived() bool {
	l := a.releaseLink
	return l != nil && l.up && (a.releasedOnNewLink || l.lastReceivedAt > a.releasedAt)
}

// releaseAgainIfRunning sends the release of a task again, on the link of a usage report of the task, if the report shows that
// the node has not received the release.
func (c *Core) releaseAgainIfRunning(a *attempt, l *link) {
	if l = c.writableLink(l); l == nil {
		return
	}
	if a.releaseLink == nil || a.releaseLink.id < l.id || c.now-a.releasedAt > releaseCrossingTime {
		c.sendRelease(a, l)
	}
}

// releaseOffer sends the release of an offer that has no response. It follows the offer on the offer's link, and is sent on the
// current link as well if that is a newer one.
func (c *Core) releaseOffer(a *attempt) {
	if !a.link.finishing {
		c.emit(SendRelease{Link: a.link.id, Task: a.task.id, Cause: CauseNormal})
	}
	if current := a.node.currentLink; current != nil && current != a.link && current.up {
		c.emit(SendRelease{Link: current.id, Task: a.task.id, Cause: CauseNormal})
	}
	c.recordRecentRelease(a, CauseNormal)
}

// recordRecentRelease records the release of an attempt that ends without a confirmation of its node.
func (c *Core) recordRecentRelease(a *attempt, cause Cause) {
	n := a.node
	n.forgetRelease(a.task.id)
	n.evictRecentReleases(c.now)
	n.recentReleases = append(n.recentReleases, recentRelease{taskID: a.task.id, cause: cause, sentAt: c.now})
}

// hasUnreadRelease reports whether the node may still read the release of an ended attempt of a task.
func (n *node) hasUnreadRelease(taskID string, now Time) bool {
	return slices.ContainsFunc(n.recentReleases, func(r recentRelease) bool {
		return r.taskID == taskID && now-r.sentAt < releaseMemory
	})
}

// evictRecentReleases removes the releases that their node has certainly read and, if the limit is reached, the oldest one.
func (n *node) evictRecentReleases(now Time) {
	kept := slices.IndexFunc(n.recentReleases, func(r recentRelease) bool { return now-r.sentAt < releaseMemory })
	if kept < 0 {
		kept = len(n.recentReleases)
	}
	kept = max(kept, len(n.recentReleases)-maxRecentReleases+1)
	n.recentReleases = n.recentReleases[max(kept, 0):]
}

// forgetRelease removes the recent release of a task, if there is one.
func (n *node) forgetRelease(taskID string) {
	n.recentReleases = slices.DeleteFunc(n.recentReleases, func(r recentRelease) bool { return r.taskID == taskID })
}

// repeatRecentReleases sends the recent releases of a node again on a link that was just established. The former link may have
// failed before it transmitted them. A task that has another attempt at the node by now is left alone.
func (c *Core) repeatRecentReleases(n *node, l *link) {
	n.evictRecentReleases(c.now)
	for i := range n.recentReleases {
		r := &n.recentReleases[i]
		if r.mayBeRepeated(c.now) && n.attempts[r.taskID] == nil {
			c.repeatRelease(r, l)
		}
		r.repeated = true
	}
}

// releaseReportedTask sends the recent release of a task again, on the link of a usage report that shows that the task runs. It
// does nothing if the task has no recent release, or the report may have crossed it.
func (c *Core) releaseReportedTask(l *link, taskID string) {
	for i := range l.node.recentReleases {
		r := &l.node.recentReleases[i]
		age := c.now - r.sentAt
		if r.taskID == taskID && age > releaseCrossingTime && r.mayBeRepeated(c.now) {
			c.repeatRelease(r, l)
		}
	}
}

func (c *Core) repeatRelease(r *recentRelease, l *link) {
	c.stats.RepeatedReleases++
	c.releaseAtNode(l, r.taskID, r.cause)
}
