// Package admission decides which of the owners' connections a scheduler closes: when there are too many, when a connection
// stays idle, and when it exceeds its limits. It does no I/O, reads no clock, and does not depend on the contents of requests.
package admission

import (
	"container/list"
	"time"
)

// Time is a time on the caller's clock. It must not decrease from call to call.
type Time = time.Duration

// ID identifies a connection. It must not be reused for another one.
type ID uint64

// Limits has the limits on the connections and their use.
type Limits struct {
	MaxConnections          int           // most connections that stay open; for each further one, a connection is closed
	IdleTimeout             time.Duration // time after its opening at which a connection is closed if it is still unverified
	RecentUseGrace          time.Duration // time after its last use or ping within which a connection is not evicted
	MaxProtocolErrors       int           // malformed messages that are tolerated on a connection since its last use
	MaxPendingPerConnection int           // most pending requests on a connection
}

// connection is an open connection of a client, which may be an owner. It is unverified at first, pinged after a health check,
// which any client can send, and verified after a use that only owners make of a connection.
type connection struct {
	id             ID
	host           string
	openedAt       Time
	lastUsedAt     Time
	likelyOwner    bool
	pending        int           // number of pending requests
	protocolErrors int           // number of malformed messages since the last use
	list           *list.List    // the list of Control that contains the connection
	element        *list.Element // in list
}

// connectionOf returns the connection of an element of Control's lists.
func connectionOf(element *list.Element) *connection { return element.Value.(*connection) }

// Control decides which connections to close. It is not safe for concurrent use.
type Control struct {
	limits            Limits
	connections       map[ID]*connection
	unverified        list.List      // ordered by openedAt
	pinged            list.List      // least recently used first
	verified          list.List      // least recently used first
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
// connections that send nothing, or only one health check, must displace neither the owners' connections nor a new one that
// is about to be used. So unverified connections of hosts with several of them are closed first, then pinged ones, then
// verified ones, and last the oldest unverified one.
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

// unverifiedOfBusiestHost returns, of the host with the most unverified connections, the oldest unverified one without
// pending requests. It returns nil if each host has at most one, since a host with a single one may be an owner's.
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

// leastRecentlyUsed returns the least recently used connection of a list that has no pending requests. It returns nil if
// there is none, or if that connection was used within Limits.RecentUseGrace.
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

// RecordOwnerUse records a use that only owners make of a connection, which verifies it: a request on it was answered, or it
// carried a running task or the end of one. A request alone is not enough: misbehaving clients send hundreds of them and
// cancel them immediately.
func (c *Control) RecordOwnerUse(now Time, id ID) {
	if conn := c.connections[id]; conn != nil {
		c.use(now, conn, &c.verified)
	}
}

// RecordPing records a health check, which makes an unverified connection a pinged one but does not verify it.
func (c *Control) RecordPing(now Time, id ID) {
	conn := c.connections[id]
	if conn == nil {
		return
	}
	target := &c.pinged
	if conn.list == &c.verified {
		target = &c.verified
	}
	c.use(now, conn, target)
}

// use records a use of a connection, and moves it to the end of the target list.
func (c *Control) use(now Time, conn *connection, target *list.List) {
	conn.lastUsedAt = now
	conn.protocolErrors = 0
	if conn.list == target {
		target.MoveToBack(conn.element)
		return
	}
	c.removeFromList(conn)
	conn.list = target
	conn.element = target.PushBack(conn)
}

// MarkLikelyOwner records that a connection is likely to be an owner's, by evidence that is not sufficient to verify it.
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

// RecordProtocolError records a malformed message, and reports whether the connection now exceeds
// Limits.MaxProtocolErrors and must be closed.
func (c *Control) RecordProtocolError(id ID) bool {
	conn := c.connections[id]
	if conn == nil {
		return false
	}
	conn.protocolErrors++
	return conn.protocolErrors > c.limits.MaxProtocolErrors
}

// BeginRequest reports whether the connection may have one more pending request, and if so records it. It returns false for
// a connection that is not open.
func (c *Control) BeginRequest(id ID) bool {
	conn := c.connections[id]
	if conn == nil || conn.pending >= c.limits.MaxPendingPerConnection {
		return false
	}
	conn.pending++
	return true
}

// EndRequest records that a pending request was answered, or that it was canceled if answered is false.
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

// Closed records that a connection was closed.
func (c *Control) Closed(id ID) {
	conn := c.connections[id]
	if conn == nil {
		return
	}
	delete(c.connections, id)
	c.removeFromList(conn)
}

// idleRecheckDivisor determines when CloseIdle must be called again if it left an overdue connection open: at the latest after
// Limits.IdleTimeout divided by idleRecheckDivisor.
const idleRecheckDivisor = 8

// CloseIdle returns the connections to close because they are still unverified at Limits.IdleTimeout after they were opened.
// They count as closed. It also returns the time at which to call it again, or zero if that is not necessary before another
// connection opens. It does not close a connection with pending requests, nor that of a likely owner while no connection is
// verified: a scheduler that has just started would otherwise close all connections of its owners and could not notify them.
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
