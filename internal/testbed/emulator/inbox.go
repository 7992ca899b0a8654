package emulator

import (
	"cmp"
	"math"
	"slices"
)

// inbox is a queue of messages, ordered by delivery time. A busy entity receives hundreds of messages in one window in no
// particular order. New messages are therefore appended unsorted, and are sorted together when the next one is requested.
type inbox struct {
	sorted        []message
	unsorted      []message
	firstUnsorted Time      // the earliest delivery time in unsorted
	returned      []message // the last result of due; its memory is reused
}

func (b *inbox) put(m message) {
	if len(b.unsorted) == 0 || m.deliverAt < b.firstUnsorted {
		b.firstUnsorted = m.deliverAt
	}
	b.unsorted = append(b.unsorted, m)
}

func compareMessages(a, b message) int { return cmp.Compare(a.deliverAt, b.deliverAt) }

func compareMessageTime(m message, t Time) int { return cmp.Compare(m.deliverAt, t) }

// merge moves the new messages into the sorted ones, behind those of the same delivery time.
func (b *inbox) merge() {
	if len(b.unsorted) == 0 {
		return
	}
	slices.SortStableFunc(b.unsorted, compareMessages)
	if count := len(b.sorted); count == 0 || b.sorted[count-1].deliverAt <= b.unsorted[0].deliverAt {
		b.sorted = append(b.sorted, b.unsorted...)
	} else {
		from, _ := slices.BinarySearchFunc(b.sorted, b.unsorted[0].deliverAt+1, compareMessageTime)
		tail := append(slices.Clone(b.sorted[from:]), b.unsorted...)
		slices.SortStableFunc(tail, compareMessages)
		b.sorted = append(b.sorted[:from], tail...)
	}
	clear(b.unsorted)
	b.unsorted = b.unsorted[:0]
}

// due removes and returns the messages that are delivered before end. The result is valid until the next call.
func (b *inbox) due(end Time) []message {
	if b.nextDue() >= end {
		return nil
	}
	b.merge()
	count, _ := slices.BinarySearchFunc(b.sorted, end, compareMessageTime)
	clear(b.returned)
	b.returned = append(b.returned[:0], b.sorted[:count]...)
	b.sorted = slices.Delete(b.sorted, 0, count)
	return b.returned
}

// pop removes and returns the first message. The inbox must not be empty.
func (b *inbox) pop() message {
	b.merge()
	m := b.sorted[0]
	b.sorted[0] = message{}
	b.sorted = b.sorted[1:]
	return m
}

// modelEntity is an entity that passes the messages of its inbox to a model of a node or of the inventory.
type modelEntity interface {
	// modelNextDue returns the time of the model's earliest work that is due, or math.MaxInt64 if there is none.
	modelNextDue() Time
	// advance does the work of the model that is due at now.
	advance(now Time, out *outbox)
	// handle passes a message to the model.
	handle(m message, out *outbox)
}

// runModel does the model's work and handles messages until end, in the order of time. Work of the model precedes a message
// of the same time.
func (b *inbox) runModel(e modelEntity, end Time, out *outbox) {
	for {
		messageAt, modelAt := b.nextDue(), e.modelNextDue()
		now := min(messageAt, modelAt)
		if now >= end {
			return
		}
		if modelAt <= messageAt {
			e.advance(now, out)
		} else {
			e.handle(b.pop(), out)
		}
	}
}

// nextDue returns the delivery time of the first message, or math.MaxInt64 if there is none.
func (b *inbox) nextDue() Time {
	next := Time(math.MaxInt64)
	if len(b.sorted) > 0 {
		next = b.sorted[0].deliverAt
	}
	if len(b.unsorted) > 0 {
		next = min(next, b.firstUnsorted)
	}
	return next
}
