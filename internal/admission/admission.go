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

// entry is a connection. It is in one of three lists: those that have not shown themselves to be of use, in order of their
// coming, those that have only been tested, and the others, both in order of their last use.
type entry struct {
	id      ID
	host    string
	came    Time
	used    Time
	vouched bool
	open    int
	wrong   int
	in      *list.List
	element *list.Element
}

// Control decides. It is not safe for concurrent use.
type Control struct {
	limits  Limits
	all     map[ID]*entry
	strange list.List      // in order of their coming
	tested  list.List      // the least lately used first
	known   list.List      // the least lately used first
	hosts   map[string]int // strangers of each host
}

// New makes a Control.
func New(l Limits) *Control {
	return &Control{limits: l, all: map[ID]*entry{}, hosts: map[string]int{}}
}

// Len is how many connections are there.
func (d *Control) Len() int { return len(d.all) }

// Opened books a new connection and returns those to close for it; it may be the new one itself, where all others are of
// use. What is returned counts as gone.
func (d *Control) Opened(now Time, id ID, host string) []ID {
	e := &entry{id: id, host: host, came: now, used: now, in: &d.strange}
	d.all[id] = e
	e.element = d.strange.PushBack(e)
	d.hosts[host]++
	var out []ID
	for len(d.all) > d.limits.MaxConnections {
		v := d.victim(now)
		if v == nil {
			v = e
		}
		d.Closed(v.id)
		out = append(out, v.id)
	}
	return out
}

// victim is who goes when descriptors run short: the oldest stranger of the host that has most of them, else the one
// with nothing open that was of use the longest ago, where one that was only tested goes before one that carried tasks. Risk
// covered: hundreds of connections that say nothing, or send one test and stay, must not push out the owners, nor a newcomer
// that is about to speak.
func (d *Control) victim(now Time) *entry {
	var best *entry
	most := 1 // a host with one stranger is as good as any owner
	for x := d.strange.Front(); x != nil; x = x.Next() {
		if e := x.Value.(*entry); d.hosts[e.host] > most && e.open == 0 {
			best, most = e, d.hosts[e.host]
		}
	}
	if best != nil {
		return best
	}
	for _, of := range []*list.List{&d.tested, &d.known} {
		if e := d.unused(now, of); e != nil {
			return e
		}
	}
	if x := d.strange.Front(); x != nil {
		if e := x.Value.(*entry); e.open == 0 {
			return e
		}
	}
	return nil
}

// unused is the connection of a list with nothing open that was of use the longest ago, Spare at least; nil: there is none.
func (d *Control) unused(now Time, of *list.List) *entry {
	for x := of.Front(); x != nil; x = x.Next() {
		e := x.Value.(*entry)
		if now-e.used < d.limits.RecentUseGrace {
			break
		}
		if e.open == 0 {
			return e
		}
	}
	return nil
}

// Touch books that a connection was of use: it carried a set-up that had its answer, a task that stands or the end of one. A
// set-up alone is not enough: bad clients send hundreds and take them back at once.
func (d *Control) Touch(now Time, id ID) {
	if e := d.all[id]; e != nil {
		d.use(now, e, &d.known)
	}
}

// Pinged books that a connection carried a test. It is no stranger then, but nothing shows that it is an owner's.
func (d *Control) Pinged(now Time, id ID) {
	e := d.all[id]
	switch {
	case e == nil:
	case e.in == &d.known:
		d.use(now, e, &d.known)
	default:
		d.use(now, e, &d.tested)
	}
}

// use books a use of e, which belongs into a list from now on.
func (d *Control) use(now Time, e *entry, to *list.List) {
	e.used, e.wrong = now, 0
	d.remove(e)
	e.in, e.element = to, to.PushBack(e)
}

// MarkLikelyOwner books that a connection carried what owners carry, though it proves none.
func (d *Control) MarkLikelyOwner(id ID) {
	if e := d.all[id]; e != nil {
		e.vouched = true
	}
}

// remove takes e from its list.
func (d *Control) remove(e *entry) {
	e.in.Remove(e.element)
	if e.in != &d.strange {
		return
	}
	if d.hosts[e.host]--; d.hosts[e.host] == 0 {
		delete(d.hosts, e.host)
	}
}

// ProtocolError books a message that was of no use; true: the connection is to be closed.
func (d *Control) ProtocolError(id ID) bool {
	e := d.all[id]
	if e == nil {
		return false
	}
	e.wrong++
	return e.wrong > d.limits.MaxProtocolErrors
}

// BeginRequest books a set-up; false: it is one too many there.
func (d *Control) BeginRequest(id ID) bool {
	e := d.all[id]
	if e == nil || e.open >= d.limits.MaxPendingPerConnection {
		return false
	}
	e.open++
	return true
}

// EndRequest books that a set-up has its answer, or was given up.
func (d *Control) EndRequest(now Time, id ID, answered bool) {
	if e := d.all[id]; e != nil && e.open > 0 {
		e.open--
		if answered {
			d.Touch(now, id)
		}
	}
}

// Closed books that a connection has ended.
func (d *Control) Closed(id ID) {
	e := d.all[id]
	if e == nil {
		return
	}
	delete(d.all, id)
	d.remove(e)
}

// CloseIdle returns the connections that have said nothing of use for too long, and when to ask next; 0: not before one
// comes. What is returned counts as gone. A vouched one stays while none has carried a task. Risk covered: a scheduler
// started anew would close all that its owners have, and then have nobody to tell of an end.
func (d *Control) CloseIdle(now Time) (out []ID, next Time) {
	waits := false // one stays for now, and is looked at again
	for x := d.strange.Front(); x != nil; {
		e := x.Value.(*entry)
		x = x.Next()
		if due := e.came + d.limits.IdleTimeout; now < due {
			next = due
			break
		}
		if e.open > 0 || e.vouched && d.known.Len() == 0 {
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
