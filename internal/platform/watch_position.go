package platform

import "fmt"

// watchPosition is how far the events of the endpoint list have been applied. It belongs to the run loop.
type watchPosition struct {
	lastSequence      uint64 // sequence number of the last event applied
	requestedSequence uint64 // the missing sequence number for which the last stream was opened; 0: none
	streamID          int    // number of the current stream
}

// eventOrder is the position of an event relative to those applied before.
type eventOrder int

const (
	eventStale   eventOrder = iota // applied before, or after a gap on a previous stream: the current one sends it again
	eventInOrder                   // the next event, or a complete list that replaces all before it
	eventGap                       // events before it are missing and have to be requested
)

// String returns the name of the order.
func (o eventOrder) String() string {
	switch o {
	case eventStale:
		return "stale"
	case eventInOrder:
		return "in order"
	case eventGap:
		return "gap"
	}
	return fmt.Sprintf("eventOrder(%d)", int(o))
}

// advance classifies an event, and sets the position to an event that is in order. A missing event is requested once: if the
// next stream does not contain it either, the event after the gap counts as in order.
func (p *watchPosition) advance(sequence uint64, complete bool, stream int) eventOrder {
	next := p.lastSequence + 1
	gap := sequence > next && !complete
	switch {
	case sequence < next, gap && stream != p.streamID:
		return eventStale
	case gap && p.requestedSequence != next:
		p.requestedSequence = next
		return eventGap
	}
	p.lastSequence = sequence
	return eventInOrder
}
