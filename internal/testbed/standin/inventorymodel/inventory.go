// Package inventorymodel models the inventory of a stand-in cluster, with which nodes register and from which schedulers
// discover them. Schedulers request the complete list or watch its changes, which are published after a delay. Faults make
// the inventory stale or unavailable. The model is deterministic: it does no I/O and reads no clock.
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

// Time is a point in time as the duration since the Unix epoch.
type Time = time.Duration

// Config configures the delays and the frame size of an inventory.
type Config struct {
	// DiscoveryDelay is the time from the registration of a change to its publication.
	DiscoveryDelay time.Duration
	// RemovalDelay is the time from the loss of a node's connection to the removal of the node, unless it registers again. The
	// removal is published after DiscoveryDelay, as any change.
	RemovalDelay time.Duration
	// MaxEntriesPerFrame limits the entries of each frame of a complete list. Zero means 2,000.
	MaxEntriesPerFrame int
}

const defaultMaxEntriesPerFrame = 2000

// Fault describes the injected faults of an inventory. The zero value means none.
type Fault struct {
	Unavailable bool // requests get an error, and all watches are closed
	Stale       bool // changes are held back until the fault is cleared
}

// Envelope is a frame that the inventory sends, with its recipient.
type Envelope struct {
	To    string // name of the scheduler or node
	Frame *nodepb.Frame
}

// Inventory is the model of the inventory. It is not safe for concurrent use. Connections are identified by the name of the
// scheduler or node that opened them.
//
// Methods with a now parameter also process the events that are due by then, and return the frames that the inventory sends
// during the call. If now is before that of an earlier call, the earlier call's is used.
type Inventory struct {
	cfg      Config
	now      Time
	outgoing []Envelope // frames that the current call returns
	fault    Fault

	registrations             map[string]*registration   // by node
	registrationsByConnection map[string][]*registration // in order of registration
	removals                  timerqueue.Heap[*registration]

	published      map[string]*nodepb.Entry // by node; the list that schedulers see
	revision       uint64                   // of the published list; each published change increments it
	pendingChanges []change                 // not published yet, ordered by publishAt
	watchers       []string                 // connections of schedulers that watch the list
}

// registration is the latest registration of a node.
type registration struct {
	entry      *nodepb.Entry
	connection string
	removal    timerqueue.Item[*registration] // queued while the connection is closed
}

// change is an entry that will replace the published entry of its node.
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

// Register handles the registration of a node over connection from.
func (v *Inventory) Register(now Time, from string, e *nodepb.Entry) []Envelope {
	v.beginCall(now)
	v.register(from, e)
	v.advance()
	return v.outgoing
}

// Disconnect handles the end of connection from: its watch ends, and its nodes are removed after RemovalDelay.
func (v *Inventory) Disconnect(now Time, from string) []Envelope {
	v.beginCall(now)
	v.watchers = slices.DeleteFunc(v.watchers, func(w string) bool { return w == from })
	for _, r := range v.registrationsByConnection[from] {
		v.removals.Set(&r.removal, v.now+v.cfg.RemovalDelay)
	}
	v.advance()
	return v.outgoing
}

// Receive handles a frame from a scheduler or node. Frames of types that an inventory does not handle are ignored.
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

// SetFault replaces the injected faults of the inventory. If the inventory becomes unavailable, all watches get an error and end.
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

// Advance processes the events that are due by now.
func (v *Inventory) Advance(now Time) []Envelope {
	v.beginCall(now)
	v.advance()
	return v.outgoing
}

// NextDue returns the time of the next event, or math.MaxInt64 if there is none.
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

// Published returns the list that schedulers see, ordered by node.
func (v *Inventory) Published() []*nodepb.Entry {
	var all []*nodepb.Entry
	for _, e := range v.published {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *nodepb.Entry) int { return cmp.Compare(a.Node, b.Node) })
	return all
}

// beginCall starts a method with a now parameter: it sets the time and clears the outgoing frames.
func (v *Inventory) beginCall(now Time) { v.now, v.outgoing = max(now, v.now), nil }

// register records the registration of a node, which belongs to the latest connection that registered it.
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

// detach removes a registration from its connection in registrationsByConnection.
func (v *Inventory) detach(r *registration) {
	rest := slices.DeleteFunc(v.registrationsByConnection[r.connection], func(o *registration) bool { return o == r })
	if len(rest) == 0 {
		delete(v.registrationsByConnection, r.connection)
	} else {
		v.registrationsByConnection[r.connection] = rest
	}
}

// schedulePublication schedules the publication of an entry for DiscoveryDelay after its change.
func (v *Inventory) schedulePublication(changed Time, e *nodepb.Entry) {
	at := changed + v.cfg.DiscoveryDelay
	i := len(v.pendingChanges)
	for i > 0 && v.pendingChanges[i-1].publishAt > at {
		i--
	}
	v.pendingChanges = slices.Insert(v.pendingChanges, i, change{at, e})
}

// advance removes nodes and publishes changes that are due at v.now.
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

// removeDisconnected removes the nodes whose connections closed at least RemovalDelay ago.
func (v *Inventory) removeDisconnected() {
	for due := v.removals.PopDue(v.now); due != nil; due = v.removals.PopDue(v.now) {
		removed := proto.Clone(due.Value.entry).(*nodepb.Entry)
		removed.Standing = nodepb.Standing_OUT
		delete(v.registrations, removed.Node)
		v.detach(due.Value)
		v.schedulePublication(due.At(), removed)
	}
}

// publishDue publishes the pending changes that are due. It returns those that differ from the published entry of their node.
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

// watch answers a request for the list. If changes is set, the scheduler also gets all later changes.
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

// sendSnapshot sends the complete list, in one or more frames of at most MaxEntriesPerFrame entries.
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

// newListingFrame returns a frame with entries of the list. complete marks the first frame of a complete list; the entries of
// other frames are changes or continue the list.
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
