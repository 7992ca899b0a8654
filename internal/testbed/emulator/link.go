package emulator

import (
	"math"
	"time"

	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// link is a scheduler's connection to a node.
type link struct {
	nodeName   string
	nodeID     int32
	wanted     bool // requested by the core
	up         bool
	dialing    bool
	retryAt    Time
	failures   int // failed or broken connections since it was last up
	decoder    *nodefront.NodeDecoder
	connection uint64 // its number in the recording; 0 without a recording
}

func (l *link) isOpen() bool { return l.up || l.dialing }

// The backoff of a daemon's links.
const (
	minBackoff     = 20 * time.Millisecond
	maxBackoff     = time.Second
	maxBackoffBits = 10 // doublings, far above maxBackoff
)

// connect opens the link to a node, unless it is open.
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
		s.recorder.addClose(l.connection, now)
		l.up, l.dialing = false, false
	}
}

func (s *schedulerEntity) dial(l *link, now Time, out *outbox) {
	l.dialing = true
	l.decoder = &nodefront.NodeDecoder{Settings: s.settings, Name: l.nodeName}
	s.send(now, l.nodeID, connectRequest{scheduler: s.settings.Name, incarnation: s.incarnationID()}, out)
	l.connection = s.recorder.addNodeConnection(s, l.nodeName, now)
}

// incarnationID returns the number of the scheduler's incarnation in its hello frames. Later incarnations have larger
// numbers.
func (s *schedulerEntity) incarnationID() int64 { return int64(Epoch) + int64(s.incarnations) }

// redial dials the links whose backoff ends before end.
func (s *schedulerEntity) dialDueLinks(end Time, out *outbox) {
	s.nextDialAt = math.MaxInt64
	for _, name := range s.simulation.nodeNames { // the order must not be that of a map
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

// linkLost closes a link that has broken and sets the backoff until its next dial. It returns the core's input; nil for
// an entity that is not a node.
func (s *schedulerEntity) handleLinkLost(node int32, now Time) scheduler.Input {
	l := s.linksByEntity[node]
	if l == nil {
		return nil
	}
	s.recorder.addClose(l.connection, now)
	l.up, l.dialing = false, false
	backoff := min(minBackoff<<min(l.failures, maxBackoffBits), maxBackoff)
	l.failures++
	l.retryAt = now + backoff/2 + time.Duration(s.random.Int64N(int64(backoff/2)))
	s.nextDialAt = min(s.nextDialAt, l.retryAt)
	return scheduler.NodeDisconnected{Node: l.nodeName}
}
