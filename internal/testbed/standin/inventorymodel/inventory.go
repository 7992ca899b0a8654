// Package inventorymodel models the stand-in inventory, from which schedulers discover nodes. It publishes changes after a
// delay, as a complete list or to watches, and fails when a fault is set. The model is deterministic: it does no I/O and
// reads no clock.
package inventorymodel

import (
	"cmp"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

// Time is the time since the Unix epoch.
type Time = time.Duration

// Config is the behaviour of an inventory.
type Config struct {
	// DiscoveryDelay is the time from the registration of a change to its publication.
	DiscoveryDelay time.Duration
	// RemovalDelay is the time from the loss of a node's connection to its removal, unless it registers again.
	RemovalDelay time.Duration
	// MaxEntriesPerFrame limits the entries in one frame of a complete list. Zero means 2,000.
	MaxEntriesPerFrame int
}

const defaultMaxEntriesPerFrame = 2000

// Fault is the faults of an inventory. The zero value means none.
type Fault struct {
	Unavailable bool // requests are answered with an error, and watches are closed
	Stale       bool // no change is published
}

// Send is a frame that the inventory sends.
type Envelope struct {
	To    string // name of the scheduler or the node
	Frame *nodepb.Frame
}

// Inventory is the model. Not safe for concurrent use.
//
// Each method that has a time as its argument also does what is due by then. A time before that of the last call counts as
// that of the last call.
type Inventory struct {
	cfg      Config
	now      Time
	outgoing []Envelope // frames of the call in progress
	fault    Fault

	registrations             map[string]*registration   // the latest of each node
	registrationsByConnection map[string][]*registration // by the connection that registered them, in order of registration
	removals                  timerqueue.Heap[*registration]

	published      map[string]*nodepb.Entry // by node, as schedulers see them
	revision       uint64                   // of the list
	pendingChanges []change                 // not published yet, in order of time
	watchers       []string
}

// registration is the last registration of a node.
type registration struct {
	entry      *nodepb.Entry
	connection string
	removal    timerqueue.Item[*registration] // queued while the connection is broken
}

// change is an entry that replaces the published one of its node at a given time.
type change struct {
	publishAt Time
	entry     *nodepb.Entry
}

// New returns an inventory without nodes.
func New(cfg Config) *Inventory {
	if cfg.MaxEntriesPerFrame <= 0 {
		cfg.MaxEntriesPerFrame = defaultMaxEntriesPerFrame
	}
	return &Inventory{
		cfg:                       cfg,
		registrations:             map[string]*registration{},
		registrationsByConnection: map[string][]*registration{},
		published:                 map[string]*nodepb.Entry{},
	}
}

// Register handles the registration of a node over the connection named from.
func (v *Inventory) Register(now Time, from string, e *nodepb.Entry) []Envelope {
	v.beginCall(now)
	v.register(from, e)
	v.advance()
	return v.outgoing
}

// Disconnect handles the end of a connection: its watch ends, and its nodes are removed after RemovalDelay.
func (v *Inventory) Disconnect(now Time, from string) []Envelope {
	v.beginCall(now)
	v.watchers = slices.DeleteFunc(v.watchers, func(w string) bool { return w == from })
	for _, r := range v.registrationsByConnection[from] {
		v.removals.Set(&r.removal, v.now+v.cfg.RemovalDelay)
	}
	v.advance()
	return v.outgoing
}

// Receive handles a frame of a scheduler or a node. Frames of kinds that an inventory does not expect are ignored.
func (v *Inventory) Receive(now Time, from string, f *nodepb.Frame) []Envelope {
	v.beginCall(now)
	switch b := f.Body.(type) {
	case *nodepb.Frame_Watch:
		v.watch(from, b.Watch.Changes)
	case *nodepb.Frame_Ping:
		v.send(from, &nodepb.Frame{Body: &nodepb.Frame_Pong{Pong: &nodepb.Pong{Token: b.Ping.Token}}})
	case *nodepb.Frame_Register:
		v.register(from, b.Register.Entry)
	}
	v.advance()
	return v.outgoing
}

// SetFault replaces the faults of the inventory, and closes all watches if requests fail from now on.
func (v *Inventory) SetFault(now Time, f Fault) []Envelope {
	v.beginCall(now)
	v.fault = f
	if f.Unavailable {
		for _, w := range v.watchers {
			v.sendError(w)
		}
		v.watchers = nil
	}
	v.advance()
	return v.outgoing
}

// Advance does what is due by now.
func (v *Inventory) Advance(now Time) []Envelope {
	v.beginCall(now)
	v.advance()
	return v.outgoing
}

// Next returns when something is due next; math.MaxInt64 if nothing is.
func (v *Inventory) NextDue() Time {
	next := Time(math.MaxInt64)
	if len(v.pendingChanges) > 0 && !v.fault.Stale {
		next = v.pendingChanges[0].publishAt
	}
	if at, ok := v.removals.Next(); ok {
		next = min(next, at)
	}
	return next
}

// Published returns the list as schedulers see it now, ordered by node.
func (v *Inventory) Published() []*nodepb.Entry {
	var all []*nodepb.Entry
	for _, e := range v.published {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *nodepb.Entry) int { return cmp.Compare(a.Node, b.Node) })
	return all
}

func (v *Inventory) beginCall(now Time) { v.now, v.outgoing = max(now, v.now), nil }

// register records a registration. A node belongs to the last connection that registered it.
func (v *Inventory) register(from string, e *nodepb.Entry) {
	if e == nil || e.Node == "" {
		return
	}
	r := v.registrations[e.Node]
	if r == nil {
		r = &registration{}
		r.removal.Value = r
		v.registrations[e.Node] = r
	}
	v.removals.Remove(&r.removal)
	if r.connection != from || r.entry == nil {
		v.detach(r)
		r.connection = from
		v.registrationsByConnection[from] = append(v.registrationsByConnection[from], r)
	}
	r.entry = e
	v.schedulePublication(v.now, e)
}

// detach removes a registration from those of its connection.
func (v *Inventory) detach(r *registration) {
	rest := slices.DeleteFunc(v.registrationsByConnection[r.connection], func(o *registration) bool { return o == r })
	if len(rest) == 0 {
		delete(v.registrationsByConnection, r.connection)
	} else {
		v.registrationsByConnection[r.connection] = rest
	}
}

// publishLater schedules the publication of an entry, DiscoveryDelay after its change.
func (v *Inventory) schedulePublication(changed Time, e *nodepb.Entry) {
	at := changed + v.cfg.DiscoveryDelay
	i := len(v.pendingChanges)
	for i > 0 && v.pendingChanges[i-1].publishAt > at {
		i--
	}
	v.pendingChanges = slices.Insert(v.pendingChanges, i, change{at, e})
}

// advance does what is due at v.now.
func (v *Inventory) advance() {
	v.removeDisconnected()
	if v.fault.Stale {
		return
	}
	changes := v.publishDue()
	if len(changes) == 0 {
		return
	}
	for _, w := range v.watchers {
		v.send(w, newListingFrame(v.revision, false, changes))
	}
}

// removeDisconnected removes the nodes whose connections broke RemovalDelay ago.
func (v *Inventory) removeDisconnected() {
	for due := v.removals.PopDue(v.now); due != nil; due = v.removals.PopDue(v.now) {
		removed := proto.Clone(due.Value.entry).(*nodepb.Entry)
		removed.Standing = nodepb.Standing_OUT
		delete(v.registrations, removed.Node)
		v.detach(due.Value)
		v.schedulePublication(due.At(), removed)
	}
}

// publishDue publishes the pending changes that are due and returns those that differ from what was published.
func (v *Inventory) publishDue() []*nodepb.Entry {
	var changes []*nodepb.Entry
	for len(v.pendingChanges) > 0 && v.pendingChanges[0].publishAt <= v.now {
		e := v.pendingChanges[0].entry
		v.pendingChanges = v.pendingChanges[1:]
		old := v.published[e.Node]
		if old != nil && (old == e || proto.Equal(old, e)) {
			continue
		}
		v.revision++
		if e.Standing == nodepb.Standing_OUT {
			delete(v.published, e.Node)
		} else {
			v.published[e.Node] = e
		}
		changes = append(changes, e)
	}
	return changes
}

// watch answers a request for the list. With changes, each later change is sent to the scheduler as well.
func (v *Inventory) watch(from string, changes bool) {
	if v.fault.Unavailable {
		v.sendError(from)
		return
	}
	v.sendSnapshot(from)
	if changes && !slices.Contains(v.watchers, from) {
		v.watchers = append(v.watchers, from)
	}
}

// sendSnapshot sends the complete list, in at least one frame.
func (v *Inventory) sendSnapshot(to string) {
	rest := v.Published()
	for first := true; first || len(rest) > 0; first = false {
		count := min(len(rest), v.cfg.MaxEntriesPerFrame)
		frame := newListingFrame(v.revision, first, rest[:count])
		rest = rest[count:]
		frame.GetListing().More = len(rest) > 0
		v.send(to, frame)
	}
}

func newListingFrame(revision uint64, complete bool, entries []*nodepb.Entry) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Listing{Listing: &nodepb.Listing{Revision: revision, Whole: complete,
		Entries: entries}}}
}

func (v *Inventory) sendError(to string) {
	v.send(to, &nodepb.Frame{Body: &nodepb.Frame_ListError{ListError: &nodepb.ListError{
		Message: "the inventory does not answer now"}}})
}

func (v *Inventory) send(to string, f *nodepb.Frame) {
	v.outgoing = append(v.outgoing, Envelope{to, f})
}
