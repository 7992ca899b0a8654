package platformsim

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/standin/scripted"
)

// feed is the control feed: numbered events with changes of the list of nodes.
type feed struct {
	sim          *simulation
	events       []feedEvent
	refusedUntil Time
	slowUntil    Time
	streams      int // number of the current stream; a former one sends nothing
	streamOpen   bool
	silent       bool // the current stream is open and sends nothing
}

// feedEvent is an event of the feed.
type feedEvent struct {
	data        string
	publishedAt Time
}

// slowResponse is how long a slow feed takes to respond to a call.
const slowResponse = 1500 * time.Millisecond

// publish adds an event and sends it on the current stream.
func (f *feed) publish(complete bool, entries ...string) {
	number := len(f.events) + 1
	f.events = append(f.events, feedEvent{data: scripted.Event(number, complete, entries...), publishedAt: f.sim.now})
	if f.streamOpen && !f.silent {
		stream := f.streams
		f.sim.after(latency, func() { f.sim.scheduler.feedEvent(stream, number) })
	}
}

// call opens a stream after the event with the given number. Later results are passed to the scheduler with the stream's number.
func (f *feed) call(last int) (stream int) {
	f.streams++
	stream = f.streams
	f.streamOpen, f.silent = false, false
	s := f.sim
	delay := latency
	switch {
	case s.now < f.refusedUntil:
		s.after(latency, func() { s.scheduler.feedFailed(stream) })
		return stream
	case s.now < f.slowUntil:
		delay = slowResponse
	}
	s.after(delay, func() {
		if stream != f.streams {
			return
		}
		f.streamOpen = true
		s.scheduler.feedEstablished(stream)
		for number := last + 1; number <= len(f.events); number++ {
			s.scheduler.feedEvent(stream, number)
		}
	})
	return stream
}

// breakStream ends the current stream.
func (f *feed) breakStream() {
	if !f.streamOpen {
		return
	}
	f.streamOpen = false
	stream := f.streams
	f.sim.after(latency, func() { f.sim.scheduler.feedFailed(stream) })
}

// watchIdleTimeout is after what time without data a scheduler gives a stream up.
const watchIdleTimeout = 1700 * time.Millisecond

// stopStream makes the current stream silent. The scheduler gives it up.
func (f *feed) stopStream() {
	if !f.streamOpen {
		return
	}
	f.silent = true
	stream := f.streams
	f.sim.after(watchIdleTimeout, func() {
		if stream == f.streams {
			f.streamOpen = false
			f.sim.scheduler.feedFailed(stream)
		}
	})
}
