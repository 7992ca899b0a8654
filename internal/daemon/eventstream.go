package daemon

import (
	"sync/atomic"

	"flaxshelf.example/flaxshelf/internal/front/drmaafront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/shard"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// eventBytes is the size at which the write queue counts a response or an event that is encoded in the event loop.
const eventBytes = 512

// eventStream is the stream of job changes to one client, published by one core or by all. Changes are buffered until the
// head of the response has been written. All fields except ended belong to the connection's event loop.
type eventStream struct {
	client      *clientHandler
	conn        *transport.Conn
	position    shard.Position
	headWritten bool
	buffered    [][]byte
	ended       atomic.Bool // the request was rejected or failed
}

// resumed returns a function that builds the input of a Watch from the revision up to which the client has read from a core.
func (s *eventStream) resumed(buildInput func(requestID, streamID uint64) scheduler.Input,
	core int) func(requestID, streamID uint64) scheduler.Input {
	since := s.position[core]
	return func(requestID, streamID uint64) scheduler.Input {
		input := buildInput(requestID, streamID)
		watch, ok := input.(scheduler.Watch)
		if !ok {
			return input
		}
		watch.SinceRevision = since
		return watch
	}
}

// publisher returns the function that a core calls for each change. It returns false when the client no longer reads.
func (s *eventStream) publisher(core int) func(*scheduler.JobInfo) bool {
	return func(change *scheduler.JobInfo) bool {
		info := *change
		return !s.ended.Load() && s.conn.RunOnLoop(eventBytes, func(write func([]byte)) {
			s.position[core] = info.Revision
			event := s.client.daemon.front.EncodeEvent(&info, s.position.String())
			if !s.headWritten {
				s.buffered = append(s.buffered, event)
				return
			}
			write(event)
		}) && !s.conn.IsClosed()
	}
}

// begin writes the buffered events. It is called after the head of the response has been written.
func (s *eventStream) begin(write func([]byte)) {
	s.headWritten = true
	for _, event := range s.buffered {
		write(event)
	}
	s.buffered = nil
}

// sendHeartbeat sends a heartbeat. It returns false when the client no longer reads.
func (s *eventStream) sendHeartbeat() bool {
	return !s.ended.Load() && s.conn.Send(drmaafront.Heartbeat()) && !s.conn.IsClosed()
}

// isRead reports whether the client still reads. A core that sends no heartbeats uses it instead of sendHeartbeat.
func (s *eventStream) isRead() bool { return !s.ended.Load() && !s.conn.IsClosed() }
