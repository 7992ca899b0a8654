// Package admission owns the decision which of the owners' connections are closed: when descriptors run short, when one
// stays silent, and when one asks for more than its share. It is free of I/O and clocks, and must not know what owners
// ask for.
package admission

import (
	"container/list"
	"time"
)

// Time is the host's clock.
type Time = time.Duration

// ID names a connection. It is never used again.
type ID uint64

// Limits bound the connections.
type Limits struct {
	MaxConnections          int           // connections kept; for one more, another is closed
	IdleTimeout             time.Duration // one that has said nothing of use for so long after its coming is closed
	RecentUseGrace          time.Duration // one that was of use within so long is not closed for others
	MaxProtocolErrors       int           // messages of no use that one may send; at the next it is closed
	MaxPendingPerConnection int           // set-ups that may be open on one
}

// connection is a connection. It is in one of two lists: those that have not shown themselves to be of use, in order of their
// coming, and the others, in order of their last use.
type connection struct {
	id             ID
	host           string
	openedAt       Time
	lastUsedAt     Time
	verified       bool
	likelyOwner    bool
	pending        int
	protocolErrors int
	element        *list.Element
}

// Control decides. It is not safe for concurrent use.
type Control struct {
	limits            Limits
	connections       map[ID]*connection
	unverified        list.List      // in order of their coming
	verified          list.List      // the least lately used first
	unverifiedPerHost map[string]int // strangers of each host
}

// New makes a Control.
func New(l Limits) *Control {
	return &Control{limits: l, connections: map[ID]*connection{}, unverifiedPerHost: map[string]int{}}
}

// Len is how many connections are there.
func (d *Control) Len() int { return len(d.connections) }

// Opened books a new connection and returns those to close for it; it may be the new one itself, where all others are of
// use. What is returned counts as gone.
func (d *Control) Opened(now Time, id ID, host string) []ID {
	e := &connection{id: id, host: host, openedAt: now, lastUsedAt: now}
	d.connections[id] = e
	e.element = d.unverified.PushBack(e)
	d.unverifiedPerHost[host]++
	var out []ID
	for len(d.connections) > d.limits.MaxConnections {
		v := d.evictionCandidate(now)
		if v == nil {
			v = e
		}
		d.Closed(v.id)
		out = append(out, v.id)
	}
	return out
}

// evictionCandidate is who goes when descriptors run short: the oldest stranger of the host that has most of them, else the one
// with nothing open that was of use the longest ago. Risk covered: hundreds of connections that say nothing must not
// push out the owners, nor a newcomer that is about to speak.
func (d *Control) evictionCandidate(now Time) *connection {
	var best *connection
	most := 1 // a host with one stranger is as good as any owner
	for x := d.unverified.Front(); x != nil; x = x.Next() {
		if e := x.Value.(*connection); d.unverifiedPerHost[e.host] > most && e.pending == 0 {
			best, most = e, d.unverifiedPerHost[e.host]
		}
	}
	if best != nil {
		return best
	}
	for x := d.verified.Front(); x != nil; x = x.Next() {
		e := x.Value.(*connection)
		if now-e.lastUsedAt < d.limits.RecentUseGrace {
			break
		}
		if e.pending == 0 {
			return e
		}
	}
	if x := d.unverified.Front(); x != nil {
		if e := x.Value.(*connection); e.pending == 0 {
			return e
		}
	}
	return nil
}

// Touch books that a connection was of use: it carried a set-up that had its answer, a test, a task that stands or the end
// of one. A set-up alone is not enough: bad clients send hundreds and take them back at once.
func (d *Control) Touch(now Time, id ID) {
	e := d.connections[id]
	if e == nil {
		return
	}
	e.lastUsedAt, e.protocolErrors = now, 0
	if e.verified {
		d.verified.MoveToBack(e.element)
		return
	}
	e.verified = true
	d.removeUnverified(e)
	e.element = d.verified.PushBack(e)
}

// MarkLikelyOwner books that a connection carried what owners carry, though it proves none.
func (d *Control) MarkLikelyOwner(id ID) {
	if e := d.connections[id]; e != nil {
		e.likelyOwner = true
	}
}

// removeUnverified takes e from the strangers.
func (d *Control) removeUnverified(e *connection) {
	d.unverified.Remove(e.element)
	if d.unverifiedPerHost[e.host]--; d.unverifiedPerHost[e.host] == 0 {
		delete(d.unverifiedPerHost, e.host)
	}
}

// ProtocolError books a message that was of no use; true: the connection is to be closed.
func (d *Control) ProtocolError(id ID) bool {
	e := d.connections[id]
	if e == nil {
		return false
	}
	e.protocolErrors++
	return e.protocolErrors > d.limits.MaxProtocolErrors
}

// BeginRequest books a set-up; false: it is one too many there.
func (d *Control) BeginRequest(id ID) bool {
	e := d.connections[id]
	if e == nil || e.pending >= d.limits.MaxPendingPerConnection {
		return false
	}
	e.pending++
	return true
}

// EndRequest books that a set-up has its answer, or was given up.
func (d *Control) EndRequest(now Time, id ID, answered bool) {
	if e := d.connections[id]; e != nil && e.pending > 0 {
		e.pending--
		if answered {
			d.Touch(now, id)
		}
	}
}

// Closed books that a connection has ended.
func (d *Control) Closed(id ID) {
	e := d.connections[id]
	if e == nil {
		return
	}
	delete(d.connections, id)
	if e.verified {
		d.verified.Remove(e.element)
	} else {
		d.removeUnverified(e)
	}
}

// CloseIdle returns the connections that have said nothing of use for too long, and when to ask next; 0: not before one
// comes. What is returned counts as gone. A vouched one stays while none is known to be of use. Risk covered: a scheduler
// started anew would close all that its owners have, and then have nobody to tell of an end.
func (d *Control) CloseIdle(now Time) (out []ID, next Time) {
	waits := false // one stays for now, and is looked at again
	for x := d.unverified.Front(); x != nil; {
		e := x.Value.(*connection)
		x = x.Next()
		if due := e.openedAt + d.limits.IdleTimeout; now < due {
			next = due
			break
		}
		if e.pending > 0 || e.likelyOwner && d.verified.Len() == 0 {
			waits = true
			continue
		}
		d.Closed(e.id)
		out = append(out, e.id)
	}
	if again := now + d.limits.IdleTimeout/8; waits && (next == 0 || again < next) {
		next = again
	}
	return out, next
}
