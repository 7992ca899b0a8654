package platform

import "fmt"

// watchPosition records up to which event the endpoint list is up to date. It is used by the run loop only.
type watchPosition struct {
	lastSequence      uint64 // sequence number of the last event applied
	requestedSequence uint64 // the last missing sequence number for which a stream was opened; 0: none
	streamID          int    // number of the current stream; each new stream has the next number
}

// eventOrder is how an event's sequence number relates to the last event applied.
type eventOrder int

const (
	eventStale   eventOrder = iota // ignored: already applied, or after a gap on a previous stream: the current one sends it
	eventInOrder                   // applied: the next event, or a complete list, which replaces all earlier events
	eventGap                       // not applied: earlier events are missing and must be requested
)

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

// advance classifies an event from a stream, and advances the position if the event is in order. complete says that the event
// is a complete list. A missing event is requested only once: if the next stream does not send it either, the event after the
// gap counts as in order.
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
