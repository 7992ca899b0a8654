package emulator

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Time is simulated time in nanoseconds of Unix time.
type Time = time.Duration

// Epoch is the simulated time at which every day begins.
const Epoch = Time(1_800_000_000) * time.Second

// window is the step of the engine, and the minimum latency of a message. What an entity does within one window can't
// reach another entity before the next, so all entities of a window may run concurrently and in any order.
const window = time.Millisecond

// entity is one party of a simulated cluster. Its methods are called by one worker at a time.
type entity interface {
	// receive queues a message. Messages of one sender are received in the order of their times.
	receive(m message)
	// run does everything that is due before the end of a window.
	run(end Time, out *outbox)
	// nextDue returns when something is due next; math.MaxInt64 if nothing is.
	nextDue() Time
}

// outbox collects the messages of an entity in one window.
type outbox struct {
	sender   int32
	messages []message
}

func (o *outbox) send(at Time, to int32, body any) {
	o.messages = append(o.messages, message{at: at, from: o.sender, to: to, body: body})
}

// engine runs entities.
type engine struct {
	entities     []entity
	outboxes     []outbox
	wheel        *timingWheel
	groups       []int32 // entities of one group other than 0 share state and run on one worker
	queuedWindow []int64 // the window in which each entity is queued soonest; notQueued: none
	workers      int
	entityRuns   int64 // runs of entities
	messages     int64
}

// notQueued is the window of an entity that is not queued.
const notQueued = -1

// wheelBits has the timing wheel span some seconds.
const wheelBits = 12

func newEngine(workers int) *engine {
	return &engine{wheel: newTimingWheel(wheelBits), workers: max(workers, 1)}
}

// add adds an entity and returns its number.
func (e *engine) add(added entity) int32 {
	id := int32(len(e.entities))
	e.entities = append(e.entities, added)
	e.outboxes = append(e.outboxes, outbox{sender: id})
	e.queuedWindow = append(e.queuedWindow, notQueued)
	e.groups = append(e.groups, 0)
	return id
}

func windowOf(t Time) int64 { return int64((t - Epoch) / window) }

// schedule queues an entity for a time, unless it is queued for that or sooner.
func (e *engine) schedule(id int32, at Time) {
	if at == math.MaxInt64 {
		return
	}
	due := max(windowOf(at), e.wheel.lastWindow+1)
	if queued := e.queuedWindow[id]; queued >= 0 && queued <= due {
		return
	}
	e.queuedWindow[id] = due
	e.wheel.add(due, id)
}

// run runs the entities until the given time, until nothing is due, or until stop, which is called before each window,
// returns true.
func (e *engine) run(until Time, stop func() bool) {
	for id := range e.entities {
		e.schedule(int32(id), e.entities[id].nextDue())
	}
	var due []int32
	for {
		number, ids, ok := e.wheel.next()
		if !ok || Epoch+Time(number)*window >= until || stop != nil && stop() {
			return
		}
		due = due[:0]
		for _, id := range ids {
			if e.queuedWindow[id] == number { // else it was queued again for an earlier window, or is a duplicate
				e.queuedWindow[id] = notQueued
				due = append(due, id)
			}
		}
		slices.Sort(due)
		e.runWindow(due, Epoch+Time(number+1)*window)
	}
}

// minParallel is the number of due entities for each worker from which on a window is run by several goroutines.
const minParallel = 4

// runWindow runs the entities that are due and delivers their messages, in the order of their numbers.
func (e *engine) runWindow(due []int32, end Time) {
	e.entityRuns += int64(len(due))
	if e.workers == 1 || len(due) < minParallel*e.workers {
		e.runEntities(due, end)
	} else {
		e.runParallel(due, end)
	}
	for _, id := range due {
		e.deliver(&e.outboxes[id], end)
	}
	for _, id := range due {
		e.schedule(id, e.entities[id].nextDue())
	}
}

func (e *engine) runEntities(ids []int32, end Time) {
	for _, id := range ids {
		e.entities[id].run(end, &e.outboxes[id])
	}
}

func (e *engine) deliver(out *outbox, end Time) {
	for _, m := range out.messages {
		m.at = max(m.at, end) // the minimum latency
		e.entities[m.to].receive(m)
		e.schedule(m.to, m.at)
	}
	e.messages += int64(len(out.messages))
	clear(out.messages)
	out.messages = out.messages[:0]
}

// runParallel distributes the due entities among the workers: those of a group as one batch, the others one by one.
func (e *engine) runParallel(due []int32, end Time) {
	var batches [][]int32
	batchOfGroup := map[int32]int{}
	for i, id := range due {
		group := e.groups[id]
		if batch, ok := batchOfGroup[group]; ok && group != 0 {
			batches[batch] = append(batches[batch], id)
			continue
		}
		batchOfGroup[group] = len(batches)
		batches = append(batches, due[i:i+1:i+1])
	}
	var workers sync.WaitGroup
	var next atomic.Int64
	for range e.workers {
		workers.Go(func() {
			for i := next.Add(1) - 1; i < int64(len(batches)); i = next.Add(1) - 1 {
				e.runEntities(batches[i], end)
			}
		})
	}
	workers.Wait()
}
