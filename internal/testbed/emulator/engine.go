package emulator

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Time is simulated time, as nanoseconds since the Unix epoch.
type Time = time.Duration

// Epoch is the simulated time at which each emulation begins.
const Epoch = Time(1_800_000_000) * time.Second

// window is the time step of the simulation and the minimum latency of a message. An entity can't affect another within
// the same window, so all entities that are due in a window may run concurrently and in any order.
const window = time.Millisecond

// entity is a simulated party that exchanges messages with others: a node, a scheduler, the inventory, the clients or the
// fault injector. Only one worker at a time calls its methods.
type entity interface {
	// receive queues a message for its delivery time. The messages of one sender are received in the order of their delivery
	// times.
	receive(m message)
	// run does all work that is due before end, the end of a window, and sends messages to out.
	run(end Time, out *outbox)
	// nextDue returns the time of the earliest work that is due, or math.MaxInt64 if there is none.
	nextDue() Time
}

// outbox collects the messages that an entity sends in one window.
type outbox struct {
	sender   int32
	messages []message
}

func (o *outbox) send(at Time, to int32, body any) {
	o.messages = append(o.messages, message{deliverAt: at, from: o.sender, to: to, body: body})
}

// engine is the event loop of the simulation. It runs the entities that are due, window by window, and delivers their
// messages between windows.
type engine struct {
	entities     []entity
	outboxes     []outbox
	wheel        *timingWheel
	groups       []int32 // by entity; those of one group run on one worker, since they share state; 0: no group
	queuedWindow []int64 // by entity; its earliest queued window, or notQueued
	workers      int
	entityRuns   int64 // calls of entity.run
	messages     int64 // delivered messages
}

// notQueued is the queuedWindow of an entity that is not queued.
const notQueued = -1

// wheelBits makes the timing wheel span 2^12 windows, which are about four seconds.
const wheelBits = 12

func newEngine(workers int) *engine {
	return &engine{wheel: newTimingWheel(wheelBits), workers: max(workers, 1)}
}

// add adds an entity and returns its ID.
func (e *engine) add(added entity) int32 {
	id := int32(len(e.entities))
	e.entities = append(e.entities, added)
	e.outboxes = append(e.outboxes, outbox{sender: id})
	e.queuedWindow = append(e.queuedWindow, notQueued)
	e.groups = append(e.groups, 0)
	return id
}

// windowNumberOf returns the number of the window that contains t, counted from Epoch.
func windowNumberOf(t Time) int64 { return int64((t - Epoch) / window) }

// schedule queues an entity for the window of the given time, unless it is already queued for that window or an earlier one.
func (e *engine) schedule(id int32, at Time) {
	if at == math.MaxInt64 {
		return
	}
	due := max(windowNumberOf(at), e.wheel.lastWindow+1)
	if queued := e.queuedWindow[id]; queued >= 0 && queued <= due {
		return
	}
	e.queuedWindow[id] = due
	e.wheel.add(due, id)
}

// run runs the simulation until the given time, until nothing is due, or until stop returns true. It calls stop, unless
// that is nil, before each window.
func (e *engine) run(until Time, stop func() bool) {
	for id := range e.entities {
		e.schedule(int32(id), e.entities[id].nextDue())
	}
	var due []int32
	for {
		windowNumber, ids, ok := e.wheel.next()
		if !ok || Epoch+Time(windowNumber)*window >= until || stop != nil && stop() {
			return
		}
		due = due[:0]
		for _, id := range ids {
			if e.queuedWindow[id] == windowNumber { // else a duplicate, or it has run in an earlier window since
				e.queuedWindow[id] = notQueued
				due = append(due, id)
			}
		}
		slices.Sort(due)
		e.runWindow(due, Epoch+Time(windowNumber+1)*window)
	}
}

// minParallel is the least number of due entities per worker for which a window runs on several goroutines.
const minParallel = 4

// runWindow runs the due entities of a window and then delivers their messages in the order of the senders' IDs, so that
// the result does not depend on the number of workers.
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
		m.deliverAt = max(m.deliverAt, end) // no message is delivered in the window in which it is sent
		e.entities[m.to].receive(m)
		e.schedule(m.to, m.deliverAt)
	}
	e.messages += int64(len(out.messages))
	clear(out.messages)
	out.messages = out.messages[:0]
}

// runParallel distributes the due entities among the workers. The entities of a group form one batch, each other entity a
// batch of its own.
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
