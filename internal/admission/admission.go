// Package admission decides which of the owners' connections a scheduler closes: when descriptors run short, when a
// connection stays idle, and when it asks for more than its share. It does no I/O, reads no clock, and does not know what
// owners request.
package admission

import (
	"container/list"
	"time"
)

// Time is the host's clock.
type Time = time.Duration

// ID identifies a connection. It is never used again.
type ID uint64

// Limits bound the connections.
type Limits struct {
	MaxConnections          int           // connections kept open; for one more, another is closed
	IdleTimeout             time.Duration // a connection that is still unverified so long after it opened is closed
	RecentUseGrace          time.Duration // a connection pinged or used within so long is not closed for another one
	MaxProtocolErrors       int           // malformed messages since its last use; at the next it is closed
	MaxPendingPerConnection int           // requests that may be pending on a connection
}

// connection is an owner's connection, or one that may be. It is unverified until it is used. A health check alone makes it a
// pinged one, which any client can be; it is verified once it is used as only owners use one.
type connection struct {
	id             ID
	host           string
	openedAt       Time
	lastUsedAt     Time
	likelyOwner    bool
	pending        int        // requests
	protocolErrors int        // since its last use
	list           *list.List // of Control, that it is in
	element        *list.Element
}

// connectionOf is the connection of an element of Control's lists.
func connectionOf(element *list.Element) *connection { return element.Value.(*connection) }

// Control decides which connections to close. It is not safe for concurrent use.
type Control struct {
	limits            Limits
	connections       map[ID]*connection
	unverified        list.List      // in the order of their opening
	pinged            list.List      // the least recently used first
	verified          list.List      // the least recently used first
	unverifiedPerHost map[string]int // how many of unverified each host has
}

// New makes a Control without connections.
func New(limits Limits) *Control {
	return &Control{
		limits:            limits,
		connections:       map[ID]*connection{},
		unverifiedPerHost: map[string]int{},
	}
}

// Len is how many connections are open.
func (c *Control) Len() int { return len(c.connections) }

// Opened registers a new connection and returns those to close for it. That may be the new one itself, where all others are
// in use. Those that it returns count as closed.
func (c *Control) Opened(now Time, id ID, host string) []ID {
	opened := &connection{id: id, host: host, openedAt: now, lastUsedAt: now, list: &c.unverified}
	c.connections[id] = opened
	opened.element = c.unverified.PushBack(opened)
	c.unverifiedPerHost[host]++
	var evicted []ID
	for len(c.connections) > c.limits.MaxConnections {
		candidate := c.evictionCandidate(now)
		if candidate == nil {
			candidate = opened
		}
		c.Closed(candidate.id)
		evicted = append(evicted, candidate.id)
	}
	return evicted
}

// evictionCandidate is the connection to close when descriptors run short; nil where all are in use. Hundreds of connections
// that are silent, or send one health check and stay, must push out neither the owners' connections nor a new one that is
// about to be used. So the hosts with several unverified connections lose theirs first, then pinged ones go, then verified,
// and last the oldest unverified one.
func (c *Control) evictionCandidate(now Time) *connection {
	if candidate := c.unverifiedOfBusiestHost(); candidate != nil {
		return candidate
	}
	for _, used := range []*list.List{&c.pinged, &c.verified} {
		if candidate := c.leastRecentlyUsed(now, used); candidate != nil {
			return candidate
		}
	}
	if oldest := c.unverified.Front(); oldest != nil && connectionOf(oldest).pending == 0 {
		return connectionOf(oldest)
	}
	return nil
}

// unverifiedOfBusiestHost is the oldest unverified connection without pending requests of the host that has most unverified
// ones. It is nil where no host has two: a host with a single one is as good as any owner.
func (c *Control) unverifiedOfBusiestHost() *connection {
	var candidate *connection
	maxPerHost := 1
	for element := c.unverified.Front(); element != nil; element = element.Next() {
		conn := connectionOf(element)
		if perHost := c.unverifiedPerHost[conn.host]; perHost > maxPerHost && conn.pending == 0 {
			candidate, maxPerHost = conn, perHost
		}
	}
	return candidate
}

// leastRecentlyUsed is the connection of a list without pending requests that was used the longest ago; nil where all were
// used within the grace.
func (c *Control) leastRecentlyUsed(now Time, used *list.List) *connection {
	for element := used.Front(); element != nil; element = element.Next() {
		conn := connectionOf(element)
		if now-conn.lastUsedAt < c.limits.RecentUseGrace {
			return nil
		}
		if conn.pending == 0 {
			return conn
		}
	}
	return nil
}

// RecordOwnerUse records a use that only owners make of a connection: it carried a request that has its response, a running
// task or the end of one. A request alone is not enough: misbehaving clients send hundreds and cancel them at once.
func (c *Control) RecordOwnerUse(now Time, id ID) {
	if conn := c.connections[id]; conn != nil {
		c.use(now, conn, &c.verified)
	}
}

// RecordPing records a health check. The connection is unverified no more, but it is not verified by that either.
func (c *Control) RecordPing(now Time, id ID) {
	conn := c.connections[id]
	if conn == nil {
		return
	}
	to := &c.pinged
	if conn.list == &c.verified {
		to = &c.verified
	}
	c.use(now, conn, to)
}

// use records a use of a connection, which is the last of a list from now on.
func (c *Control) use(now Time, conn *connection, to *list.List) {
	conn.lastUsedAt = now
	conn.protocolErrors = 0
	if conn.list == to {
		to.MoveToBack(conn.element)
		return
	}
	c.removeFromList(conn)
	conn.list = to
	conn.element = to.PushBack(conn)
}

// MarkLikelyOwner records that a connection carried what owners send, though that does not verify it.
func (c *Control) MarkLikelyOwner(id ID) {
	if conn := c.connections[id]; conn != nil {
		conn.likelyOwner = true
	}
}

// removeFromList takes a connection out of its list.
func (c *Control) removeFromList(conn *connection) {
	conn.list.Remove(conn.element)
	if conn.list != &c.unverified {
		return
	}
	c.unverifiedPerHost[conn.host]--
	if c.unverifiedPerHost[conn.host] == 0 {
		delete(c.unverifiedPerHost, conn.host)
	}
}

// ProtocolError records a malformed message, and reports whether the connection is to be closed for it.
func (c *Control) ProtocolError(id ID) bool {
	conn := c.connections[id]
	if conn == nil {
		return false
	}
	conn.protocolErrors++
	return conn.protocolErrors > c.limits.MaxProtocolErrors
}

// BeginRequest records a pending request. It reports false, and records nothing, where the connection has too many or is
// not open.
func (c *Control) BeginRequest(id ID) bool {
	conn := c.connections[id]
	if conn == nil || conn.pending >= c.limits.MaxPendingPerConnection {
		return false
	}
	conn.pending++
	return true
}

// EndRequest records that a request has its response, or was canceled.
func (c *Control) EndRequest(now Time, id ID, answered bool) {
	conn := c.connections[id]
	if conn == nil || conn.pending == 0 {
		return
	}
	conn.pending--
	if answered {
		c.RecordOwnerUse(now, id)
	}
}

// Closed records that a connection has ended.
func (c *Control) Closed(id ID) {
	conn := c.connections[id]
	if conn == nil {
		return
	}
	delete(c.connections, id)
	c.removeFromList(conn)
}

// idleRecheckDivisor sets after which part of Limits.IdleTimeout an overdue connection that may stay is checked again.
const idleRecheckDivisor = 8

// CloseIdle returns the connections that stayed unverified for too long, and when to call it next; 0: not before a connection
// opens. Those that it returns count as closed. A connection with pending requests stays for now; so does a likely owner's
// while none is verified: a scheduler that has just started would otherwise close all that its owners have, and be left with
// nobody to notify.
func (c *Control) CloseIdle(now Time) (idle []ID, next Time) {
	recheck := false
	for element := c.unverified.Front(); element != nil; {
		conn := connectionOf(element)
		element = element.Next()
		if due := conn.openedAt + c.limits.IdleTimeout; now < due {
			next = due
			break
		}
		if conn.pending > 0 || conn.likelyOwner && c.verified.Len() == 0 {
			recheck = true
			continue
		}
		c.Closed(conn.id)
		idle = append(idle, conn.id)
	}
	if recheckAt := now + c.limits.IdleTimeout/idleRecheckDivisor; recheck && (next == 0 || recheckAt < next) {
		next = recheckAt
	}
	return idle, next
}
