// Package inventorymodel owns how the stand-in inventory behaves: it lists nodes, late, whole or as a watch on
// changes, and fails when told to. It must not do I/O or read a clock.
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

// Time is Unix nanoseconds.
type Time = time.Duration

// Config is what an inventory is made of.
type Config struct {
	DiscoveryDelay time.Duration // a change is seen so long after it was registered
	RemovalDelay   time.Duration // a node whose connection broke is Out after so long
	PerFrame       int           // entries of one listing
}

// Fault is a trouble put upon the inventory.
type Fault struct {
	Fails bool // asks are answered with an error and watches are dropped
	Stale bool // nothing new is seen while it lasts
}

// Send is a frame for a party.
type Send struct {
	To    string
	Frame *nodepb.Frame
}

// Inventory is the model. Not safe for concurrent use.
type Inventory struct {
	cfg      Config
	now      Time
	out      []Send
	revision uint64
	entries  map[string]*entry   // as they are
	of       map[string][]*entry // by the party that registered them, in the order of their first words
	leaving  timerqueue.Heap[*entry]
	shown    map[string]*nodepb.Entry
	pending  []change
	watchers []string
	fault    Fault
}

type entry struct {
	*nodepb.Entry
	from string
	due  timerqueue.Item[*entry] // when its node is taken for out; not queued while its connection stands
}

type change struct {
	at    Time
	entry *nodepb.Entry
}

// New makes an empty inventory.
func New(cfg Config) *Inventory {
	if cfg.PerFrame <= 0 {
		cfg.PerFrame = 2000
	}
	return &Inventory{cfg: cfg, entries: map[string]*entry{}, of: map[string][]*entry{}, shown: map[string]*nodepb.Entry{}}
}

// Register takes a node's word about itself, over the connection of party from.
func (v *Inventory) Register(now Time, from string, e *nodepb.Entry) []Send {
	v.begin(now)
	v.register(from, e)
	v.advance()
	return v.out
}

// register keeps a node's word; the last party to speak for a node is the one whose connection counts.
func (v *Inventory) register(from string, word *nodepb.Entry) {
	if word == nil || word.Node == "" {
		return
	}
	e := v.entries[word.Node]
	if e == nil {
		e = &entry{}
		e.due.Value = e
		v.entries[word.Node] = e
	}
	v.leaving.Remove(&e.due)
	if e.from != from || e.Entry == nil {
		v.disown(e)
		e.from = from
		v.of[from] = append(v.of[from], e)
	}
	e.Entry = word
	v.change(v.now, word)
}

func (v *Inventory) disown(e *entry) {
	left := slices.DeleteFunc(v.of[e.from], func(o *entry) bool { return o == e })
	if len(left) == 0 {
		delete(v.of, e.from)
	} else {
		v.of[e.from] = left
	}
}

// Disconnect tells that a connection broke: a node behind it is taken for out after a while.
func (v *Inventory) Disconnect(now Time, from string) []Send {
	v.begin(now)
	v.watchers = slices.DeleteFunc(v.watchers, func(w string) bool { return w == from })
	for _, e := range v.of[from] {
		v.leaving.Set(&e.due, v.now+v.cfg.RemovalDelay)
	}
	v.advance()
	return v.out
}

// Receive takes a frame of a scheduler.
func (v *Inventory) Receive(now Time, from string, f *nodepb.Frame) []Send {
	v.begin(now)
	switch b := f.Body.(type) {
	case *nodepb.Frame_Watch:
		if v.fault.Fails {
			v.fail(from)
			break
		}
		v.list(from)
		if b.Watch.Changes && !slices.Contains(v.watchers, from) {
			v.watchers = append(v.watchers, from)
		}
	case *nodepb.Frame_Ping:
		v.send(from, &nodepb.Frame{Body: &nodepb.Frame_Pong{Pong: &nodepb.Pong{Token: b.Ping.Token}}})
	case *nodepb.Frame_Register:
		v.register(from, b.Register.Entry)
	}
	v.advance()
	return v.out
}

// SetFault replaces the troubles.
func (v *Inventory) SetFault(now Time, f Fault) []Send {
	v.begin(now)
	v.fault = f
	if f.Fails {
		for _, w := range v.watchers {
			v.fail(w)
		}
		v.watchers = nil
	}
	v.advance()
	return v.out
}

// Advance does what is due.
func (v *Inventory) Advance(now Time) []Send {
	v.begin(now)
	v.advance()
	return v.out
}

// Next is when something falls due.
func (v *Inventory) Next() Time {
	next := Time(math.MaxInt64)
	if len(v.pending) > 0 && !v.fault.Stale {
		next = v.pending[0].at
	}
	if at, ok := v.leaving.Next(); ok {
		next = min(next, at)
	}
	return next
}

// Shown is the list as schedulers see it now, by name.
func (v *Inventory) Shown() []*nodepb.Entry {
	var all []*nodepb.Entry
	for _, e := range v.shown {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *nodepb.Entry) int { return cmp.Compare(a.Node, b.Node) })
	return all
}

func (v *Inventory) begin(now Time) { v.now, v.out = max(now, v.now), nil }

// change notes what is shown so much later than at.
func (v *Inventory) change(at Time, e *nodepb.Entry) {
	at += v.cfg.DiscoveryDelay
	i := len(v.pending)
	for i > 0 && v.pending[i-1].at > at {
		i--
	}
	v.pending = slices.Insert(v.pending, i, change{at, e})
}

func (v *Inventory) advance() {
	for i := v.leaving.PopDue(v.now); i != nil; i = v.leaving.PopDue(v.now) {
		gone := proto.Clone(i.Value.Entry).(*nodepb.Entry)
		gone.Standing = nodepb.Standing_OUT
		delete(v.entries, gone.Node)
		v.disown(i.Value)
		v.change(i.At(), gone)
	}
	if v.fault.Stale {
		return
	}
	var news []*nodepb.Entry
	for len(v.pending) > 0 && v.pending[0].at <= v.now {
		e := v.pending[0].entry
		v.pending = v.pending[1:]
		old := v.shown[e.Node]
		if old != nil && (old == e || proto.Equal(old, e)) {
			continue
		}
		v.revision++
		if e.Standing == nodepb.Standing_OUT {
			delete(v.shown, e.Node)
		} else {
			v.shown[e.Node] = e
		}
		news = append(news, e)
	}
	if len(news) == 0 {
		return
	}
	for _, w := range v.watchers {
		v.send(w, listing(v.revision, false, news))
	}
}

func (v *Inventory) list(to string) {
	all := v.Shown()
	for first := true; first || len(all) > 0; first = false {
		n := min(len(all), v.cfg.PerFrame)
		f := listing(v.revision, first, all[:n])
		all = all[n:]
		f.GetListing().More = len(all) > 0
		v.send(to, f)
	}
}

func listing(rev uint64, whole bool, entries []*nodepb.Entry) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Listing{Listing: &nodepb.Listing{Revision: rev, Whole: whole,
		Entries: entries}}}
}

func (v *Inventory) fail(to string) {
	v.send(to, &nodepb.Frame{Body: &nodepb.Frame_ListError{ListError: &nodepb.ListError{
		Message: "the inventory does not answer now"}}})
}

func (v *Inventory) send(to string, f *nodepb.Frame) { v.out = append(v.out, Send{to, f}) }
