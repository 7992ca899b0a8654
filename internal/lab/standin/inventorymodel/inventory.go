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
)

// Time is Unix nanoseconds.
type Time = time.Duration

// Config is what an inventory is made of.
type Config struct {
	Late      time.Duration // a change is seen so long after it was registered
	GoneAfter time.Duration // a node whose connection broke is Out after so long
	PerFrame  int           // entries of one listing
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
	entries  map[string]*entry // as they are
	shown    map[string]*nodepb.Entry
	pending  []change
	watchers []string
	fault    Fault
}

type entry struct {
	*nodepb.Entry
	from   string
	goneAt Time // 0: its connection stands
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
	return &Inventory{cfg: cfg, entries: map[string]*entry{}, shown: map[string]*nodepb.Entry{}}
}

// Register takes a node's word about itself, over the connection of party from.
func (v *Inventory) Register(now Time, from string, e *nodepb.Entry) []Send {
	v.begin(now)
	if e != nil && e.Node != "" {
		v.entries[e.Node] = &entry{Entry: e, from: from}
		v.change(v.now, e)
	}
	v.advance()
	return v.out
}

// Gone tells that a connection broke: a node behind it is taken for out after a while.
func (v *Inventory) Gone(now Time, from string) []Send {
	v.begin(now)
	v.watchers = slices.DeleteFunc(v.watchers, func(w string) bool { return w == from })
	for _, name := range v.names() {
		if e := v.entries[name]; e.from == from {
			e.goneAt = now + v.cfg.GoneAfter
		}
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
		if e := b.Register.Entry; e != nil && e.Node != "" {
			v.entries[e.Node] = &entry{Entry: e, from: from}
			v.change(v.now, e)
		}
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
	for _, e := range v.entries {
		if e.goneAt > 0 {
			next = min(next, e.goneAt)
		}
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
	at += v.cfg.Late
	i := len(v.pending)
	for i > 0 && v.pending[i-1].at > at {
		i--
	}
	v.pending = slices.Insert(v.pending, i, change{at, e})
}

func (v *Inventory) names() []string {
	names := make([]string, 0, len(v.entries))
	for n := range v.entries {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

func (v *Inventory) advance() {
	for _, name := range v.names() {
		e := v.entries[name]
		if e.goneAt > 0 && e.goneAt <= v.now {
			gone := proto.Clone(e.Entry).(*nodepb.Entry)
			gone.Standing = nodepb.Standing_OUT
			delete(v.entries, name)
			v.change(e.goneAt, gone)
		}
	}
	if v.fault.Stale {
		return
	}
	var news []*nodepb.Entry
	for len(v.pending) > 0 && v.pending[0].at <= v.now {
		e := v.pending[0].entry
		v.pending = v.pending[1:]
		old := v.shown[e.Node]
		if old != nil && proto.Equal(old, e) {
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
