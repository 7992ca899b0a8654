package emulator

import (
	"math"
	"time"

	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// link is a scheduler's connection to a node, with its reconnect state.
type link struct {
	nodeName     string
	nodeID       int32
	wanted       bool // the core has requested it and not closed it since
	up           bool // the node has accepted the connection
	dialing      bool // the node has not responded to the connectRequest yet
	retryAt      Time // end of the backoff
	failures     int  // failed or broken connections since it was last up
	decoder      *nodefront.NodeDecoder
	connectionID uint64 // in the recording; 0 without a recording
}

func (l *link) isOpen() bool { return l.up || l.dialing }

// The reconnect backoff, as a scheduler daemon has it.
const (
	minBackoff          = 20 * time.Millisecond
	maxBackoff          = time.Second
	maxBackoffDoublings = 10 // limits the shift; 20 ms << 10 is far above maxBackoff
)

// connect dials a node, unless the link to it is open.
func (s *schedulerEntity) connect(node string, now Time, out *outbox) {
	l := s.links[node]
	if l == nil {
		l = &link{nodeName: node, nodeID: s.simulation.nodeIDs[node]}
		s.links[node], s.linksByEntity[l.nodeID] = l, l
	}
	l.wanted = true
	if !l.isOpen() {
		s.dial(l, now, out)
	}
}

func (s *schedulerEntity) disconnect(node string, now Time, out *outbox) {
	l := s.links[node]
	if l == nil {
		return
	}
	l.wanted = false
	if l.isOpen() {
		s.send(now, l.nodeID, disconnected{}, out)
		s.recorder.addClose(l.connectionID, now)
		l.up, l.dialing = false, false
	}
}

func (s *schedulerEntity) dial(l *link, now Time, out *outbox) {
	l.dialing = true
	l.decoder = &nodefront.NodeDecoder{Settings: s.settings, Name: l.nodeName}
	s.send(now, l.nodeID, connectRequest{scheduler: s.settings.Name, incarnation: s.incarnationID()}, out)
	l.connectionID = s.recorder.addNodeConnection(s, l.nodeName, now)
}

// incarnationID returns the ID of the scheduler's incarnation in Hello frames. Later incarnations have larger IDs.
func (s *schedulerEntity) incarnationID() int64 { return int64(Epoch) + int64(s.incarnations) }

// dialDueLinks dials the links whose backoff ends before end, and sets nextDialAt for the others.
func (s *schedulerEntity) dialDueLinks(end Time, out *outbox) {
	s.nextDialAt = math.MaxInt64
	for _, name := range s.simulation.nodeNames { // in a fixed order, which that of the map is not
		l := s.links[name]
		if l == nil || !l.wanted || l.isOpen() {
			continue
		}
		if l.retryAt < end {
			s.dial(l, end, out)
		} else {
			s.nextDialAt = min(s.nextDialAt, l.retryAt)
		}
	}
}

// handleLinkLost handles the loss of the connection to a node and sets the backoff until the next dial. It returns the
// core's input, or nil if the entity is not a node to which the scheduler has a link.
func (s *schedulerEntity) handleLinkLost(node int32, now Time) scheduler.Input {
	l := s.linksByEntity[node]
	if l == nil {
		return nil
	}
	s.recorder.addClose(l.connectionID, now)
	l.up, l.dialing = false, false
	backoff := min(minBackoff<<min(l.failures, maxBackoffDoublings), maxBackoff)
	l.failures++
	l.retryAt = now + backoff/2 + time.Duration(s.random.Int64N(int64(backoff/2)))
	s.nextDialAt = min(s.nextDialAt, l.retryAt)
	return scheduler.NodeDisconnected{Node: l.nodeName}
}
