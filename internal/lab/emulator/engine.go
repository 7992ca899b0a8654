// Package emulator owns simulated clusters: schedulers' cores, node models and the inventory model under one simulated
// clock, the very code that runs on sockets. One seed gives one trace, whatever the number of workers. It must not read
// a clock or open sockets.
package emulator

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Time is simulated time in nanoseconds of Unix time.
type Time = time.Duration

// Epoch is when every simulated day begins.
const Epoch = Time(1_800_000_000) * Time(time.Second)

// window is the step of the engine, and the least time that a message takes. What entities do within one window can't
// reach another entity before the next, so all of them can run at once and in any order.
const window = Time(time.Millisecond)

// entity is one party of a simulated cluster. Its methods are called by one worker at a time.
type entity interface {
	// take is given a message; those of one sender come in the order of their times.
	take(m message)
	// run does all that is due before the end of a window.
	run(end Time, out *outbox)
	// next is when something falls due; math.MaxInt64 for nothing.
	next() Time
}

// message is what one entity tells another.
type message struct {
	at       Time
	from, to int32
	body     any
}

// outbox collects what an entity says in one window.
type outbox struct {
	self int32
	sent []message
}

func (o *outbox) send(at Time, to int32, body any) {
	o.sent = append(o.sent, message{at: at, from: o.self, to: to, body: body})
}

// engine runs entities.
type engine struct {
	entities []entity
	outboxes []outbox
	wheel    *wheel
	groups   []int32 // entities of one group other than 0 share state and run on one worker
	queued   []int64 // the window in which each entity is queued soonest; -1: none
	workers  int
	events   int64 // runs of entities
	messages int64
}

func newEngine(workers int) *engine {
	return &engine{wheel: newWheel(12), workers: max(workers, 1)}
}

func (e *engine) add(x entity) int32 {
	id := int32(len(e.entities))
	e.entities = append(e.entities, x)
	e.outboxes = append(e.outboxes, outbox{self: id})
	e.queued = append(e.queued, -1)
	e.groups = append(e.groups, 0)
	return id
}

func windowOf(t Time) int64 { return int64((t - Epoch) / window) }

// schedule queues an entity for a time, unless it is queued for that or sooner.
func (e *engine) schedule(id int32, at Time) {
	if at == math.MaxInt64 {
		return
	}
	w := max(windowOf(at), e.wheel.now+1)
	if q := e.queued[id]; q >= 0 && q <= w {
		return
	}
	e.queued[id] = w
	e.wheel.add(w, id)
}

// run goes on until the given time. stop is asked after each window.
func (e *engine) run(until Time, stop func() bool) {
	for id := range e.entities {
		e.schedule(int32(id), e.entities[id].next())
	}
	var due []int32
	for {
		w, ids, ok := e.wheel.next()
		if !ok || Epoch+Time(w)*window >= until || stop != nil && stop() {
			return
		}
		due = due[:0]
		for _, id := range ids {
			if e.queued[id] == w { // others were queued again for sooner, or are repeats
				e.queued[id] = -1
				due = append(due, id)
			}
		}
		slices.Sort(due)
		e.window(due, Epoch+Time(w+1)*window)
	}
}

// window runs the entities that are due and delivers what they say, in the order of their numbers.
func (e *engine) window(due []int32, end Time) {
	e.events += int64(len(due))
	if e.workers == 1 || len(due) < 4*e.workers {
		for _, id := range due {
			e.entities[id].run(end, &e.outboxes[id])
		}
	} else {
		e.parallel(due, end)
	}
	for _, id := range due {
		o := &e.outboxes[id]
		for _, m := range o.sent {
			m.at = max(m.at, end) // a message takes a window at least
			e.entities[m.to].take(m)
			e.schedule(m.to, m.at)
		}
		e.messages += int64(len(o.sent))
		clear(o.sent)
		o.sent = o.sent[:0]
	}
	for _, id := range due {
		e.schedule(id, e.entities[id].next())
	}
}

// parallel shares the due entities out among the workers: those of a group as one piece, the rest one by one.
func (e *engine) parallel(due []int32, end Time) {
	var pieces [][]int32
	at := map[int32]int{}
	for i, id := range due {
		g := e.groups[id]
		if p, ok := at[g]; ok && g != 0 {
			pieces[p] = append(pieces[p], id)
			continue
		}
		at[g] = len(pieces)
		pieces = append(pieces, due[i:i+1:i+1])
	}
	var wg sync.WaitGroup
	var taken atomic.Int64
	for range e.workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := taken.Add(1) - 1; i < int64(len(pieces)); i = taken.Add(1) - 1 {
				for _, id := range pieces[i] {
					e.entities[id].run(end, &e.outboxes[id])
				}
			}
		}()
	}
	wg.Wait()
}

// inbox keeps messages in the order of their times. New ones are only noted; they are sorted in when the next is wanted,
// all at once, since a busy party gets hundreds in one window in no order.
type inbox struct {
	waiting []message // in order
	fresh   []message
	first   Time // of fresh
	taken   []message
}

func (b *inbox) put(m message) {
	if len(b.fresh) == 0 || m.at < b.first {
		b.first = m.at
	}
	b.fresh = append(b.fresh, m)
}

// merge sorts the new ones in, behind others of the same time.
func (b *inbox) merge() {
	if len(b.fresh) == 0 {
		return
	}
	byTime := func(x, y message) int { return cmp.Compare(x.at, y.at) }
	slices.SortStableFunc(b.fresh, byTime)
	if n := len(b.waiting); n == 0 || b.waiting[n-1].at <= b.fresh[0].at {
		b.waiting = append(b.waiting, b.fresh...)
	} else {
		from, _ := slices.BinarySearchFunc(b.waiting, b.fresh[0].at+1,
			func(m message, t Time) int { return cmp.Compare(m.at, t) })
		tail := append(slices.Clone(b.waiting[from:]), b.fresh...)
		slices.SortStableFunc(tail, byTime)
		b.waiting = append(b.waiting[:from], tail...)
	}
	clear(b.fresh)
	b.fresh = b.fresh[:0]
}

// due takes the messages before end. They are valid until the next call.
func (b *inbox) due(end Time) []message {
	if b.next() >= end {
		return nil
	}
	b.merge()
	i, _ := slices.BinarySearchFunc(b.waiting, end, func(m message, t Time) int { return cmp.Compare(m.at, t) })
	clear(b.taken)
	b.taken = append(b.taken[:0], b.waiting[:i]...)
	b.waiting = slices.Delete(b.waiting, 0, i)
	return b.taken
}

// pop takes the first message; there must be one.
func (b *inbox) pop() message {
	b.merge()
	m := b.waiting[0]
	b.waiting[0] = message{}
	b.waiting = b.waiting[1:]
	return m
}

func (b *inbox) next() Time {
	next := Time(math.MaxInt64)
	if len(b.waiting) > 0 {
		next = b.waiting[0].at
	}
	if len(b.fresh) > 0 {
		next = min(next, b.first)
	}
	return next
}
