// Package admission decides which of the owners' connections a scheduler closes: when there are too many, when a connection
// stays idle, and when it exceeds its limits. It does no I/O, reads no clock, and does not know what owners request.
package admission

import (
	"container/list"
	"time"
)

// Time is the host's clock.
type Time = time.Duration

// ID identifies a connection. It is never used again.
type ID uint64

// Limits are the limits on the connections.
type Limits struct {
	MaxConnections          int           // connections that stay open; for one more, another is closed
	IdleTimeout             time.Duration // time after its opening at which an unverified connection is closed
	RecentUseGrace          time.Duration // time after a ping or use in which a connection is not evicted
	MaxProtocolErrors       int           // malformed messages that a connection may send after its last use
	MaxPendingPerConnection int           // pending requests of a connection
}

// connection is a client's connection, which may be an owner's. It is unverified until it is used. A health check, which any
// client can send, makes it a pinged one; it is verified once it is used in a way that only owners use one.
type connection struct {
	id             ID
	host           string
	openedAt       Time
	lastUsedAt     Time
	likelyOwner    bool
	pending        int        // requests
	protocolErrors int        // since its last use
	list           *list.List // the list of Control that contains it
	element        *list.Element
}

// connectionOf returns the connection of an element of Control's lists.
func connectionOf(element *list.Element) *connection { return element.Value.(*connection) }

// Control decides which connections to close. It is not safe for concurrent use.
type Control struct {
	limits            Limits
	connections       map[ID]*connection
	unverified        list.List      // ordered by openedAt
	pinged            list.List      // the least recently used first
	verified          list.List      // the least recently used first
	unverifiedPerHost map[string]int // number of unverified connections by host
}

// New returns a Control without connections.
func New(limits Limits) *Control {
	return &Control{
		limits:            limits,
		connections:       map[ID]*connection{},
		unverifiedPerHost: map[string]int{},
	}
}

// Len returns the number of open connections.
func (c *Control) Len() int { return len(c.connections) }

// Opened registers a new connection and returns those to close for it, which may include the new one if all others are in
// use. The returned connections count as closed.
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

// evictionCandidate returns the connection to close when there are too many, or nil if all are in use. Hundreds of
// connections that are silent, or send one health check and stay, must displace neither the owners' connections nor a new
// one that is about to be used. So unverified connections of hosts with several of them are closed first, then pinged ones,
// then verified ones, and last the oldest unverified one.
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

// unverifiedOfBusiestHost returns the oldest unverified connection without pending requests of the host with the most
// unverified ones. It returns nil if no host has two: a host with a single one may be an owner.
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

// leastRecentlyUsed returns the least recently used connection of a list without pending requests, or nil if all were used
// within Limits.RecentUseGrace.
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

// RecordPing records a health check, which turns an unverified connection into a pinged one and does not verify it.
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

// use records a use of a connection, and moves it to the end of the list to.
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

// removeFromList removes a connection from its list.
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

// ProtocolError records a malformed message, and reports whether the connection exceeds the limit and must be closed.
func (c *Control) ProtocolError(id ID) bool {
	conn := c.connections[id]
	if conn == nil {
		return false
	}
	conn.protocolErrors++
	return conn.protocolErrors > c.limits.MaxProtocolErrors
}

// BeginRequest reports whether the connection may have one more pending request, and if so records it. It reports false for
// a connection that is not open.
func (c *Control) BeginRequest(id ID) bool {
	conn := c.connections[id]
	if conn == nil || conn.pending >= c.limits.MaxPendingPerConnection {
		return false
	}
	conn.pending++
	return true
}

// EndRequest records that a request has its response, if answered is true, or was canceled.
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

// idleRecheckDivisor divides Limits.IdleTimeout into the time after which an idle connection that may stay is checked again.
const idleRecheckDivisor = 8

// CloseIdle returns the connections that were unverified for longer than Limits.IdleTimeout, and the time of its next call;
// zero means not before the next connection opens. The returned connections count as closed. A connection with pending
// requests is not closed; neither is a likely owner's while no connection is verified, because a scheduler that has just
// started would otherwise close all connections of its owners and could not notify them.
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
