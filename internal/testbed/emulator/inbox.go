package emulator

import (
	"cmp"
	"math"
	"slices"
)

// inbox is a queue of messages in the order of their times. New messages are appended unsorted and are sorted together when
// the next message is requested, since a busy entity receives hundreds in one window in no order.
type inbox struct {
	sorted        []message
	unsorted      []message
	firstUnsorted Time // the earliest time in unsorted
	returned      []message
}

func (b *inbox) put(m message) {
	if len(b.unsorted) == 0 || m.at < b.firstUnsorted {
		b.firstUnsorted = m.at
	}
	b.unsorted = append(b.unsorted, m)
}

func compareMessages(a, b message) int { return cmp.Compare(a.at, b.at) }

func compareMessageTime(m message, t Time) int { return cmp.Compare(m.at, t) }

// merge sorts the new messages in, behind others of the same time.
func (b *inbox) merge() {
	if len(b.unsorted) == 0 {
		return
	}
	slices.SortStableFunc(b.unsorted, compareMessages)
	if count := len(b.sorted); count == 0 || b.sorted[count-1].at <= b.unsorted[0].at {
		b.sorted = append(b.sorted, b.unsorted...)
	} else {
		from, _ := slices.BinarySearchFunc(b.sorted, b.unsorted[0].at+1, compareMessageTime)
		tail := append(slices.Clone(b.sorted[from:]), b.unsorted...)
		slices.SortStableFunc(tail, compareMessages)
		b.sorted = append(b.sorted[:from], tail...)
	}
	clear(b.unsorted)
	b.unsorted = b.unsorted[:0]
}

// due removes and returns the messages before end. The slice is valid until the next call.
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

// modelEntity is an entity that runs a model on messages from an inbox.
type modelEntity interface {
	// modelNextDue returns when the model has something due next; math.MaxInt64 if it has nothing.
	modelNextDue() Time
	// advance does what the model has due at now.
	advance(now Time, out *outbox)
	// handle handles a message.
	handle(m message, out *outbox)
}

// runModel advances the model and handles messages, in the order of their times, until end. What the model has due
// precedes a message of the same time.
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

// nextDue returns the time of the first message; math.MaxInt64 if there is none.
func (b *inbox) nextDue() Time {
	next := Time(math.MaxInt64)
	if len(b.sorted) > 0 {
		next = b.sorted[0].at
	}
	if len(b.unsorted) > 0 {
		next = min(next, b.firstUnsorted)
	}
	return next
}
