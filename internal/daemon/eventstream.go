package daemon

import (
	"sync/atomic"

	"flaxshelf.example/flaxshelf/internal/front/drmaafront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/shard"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// estimatedEventSize is the number of bytes that a response or event counts in the connection's write queue until the event
// loop has encoded it.
const estimatedEventSize = 512

// eventStream is the stream of job changes to one client, which one core or all cores publish. Events are buffered until the
// header of the response has been written. The connection's event loop owns the fields; cores only read conn and requestEnded.
type eventStream struct {
	client         *clientHandler
	conn           *transport.Conn
	position       shard.Position // revision of the last published change of each core
	headerWritten  bool
	bufferedEvents [][]byte
	requestEnded   atomic.Bool // the request has ended without an event stream
}

// withResumeRevision returns a function that builds the input with buildInput and, if it is a Watch, has it resume after the
// last change of the core that the client has received.
func (s *eventStream) withResumeRevision(buildInput func(requestID, streamID uint64) scheduler.Input,
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

// publisher returns the function that a core calls to publish a job change. That function returns false if the request has
// ended, the connection is closed or its write queue is full.
func (s *eventStream) publisher(core int) func(*scheduler.JobInfo) bool {
	return func(change *scheduler.JobInfo) bool {
		info := *change
		return !s.requestEnded.Load() && s.conn.RunOnLoop(estimatedEventSize, func(write func([]byte)) {
			s.position[core] = info.Revision
			event := s.client.daemon.front.EncodeEvent(&info, s.position.String())
			if !s.headerWritten {
				s.bufferedEvents = append(s.bufferedEvents, event)
				return
			}
			write(event)
		}) && !s.conn.IsClosed()
	}
}

// start writes the buffered events. It must be called on the event loop, after the header of the response has been written.
func (s *eventStream) start(write func([]byte)) {
	s.headerWritten = true
	for _, event := range s.bufferedEvents {
		write(event)
	}
	s.bufferedEvents = nil
}

// sendHeartbeat sends a heartbeat. It returns false if the request has ended, the connection is closed or its write queue is
// full.
func (s *eventStream) sendHeartbeat() bool {
	return !s.requestEnded.Load() && s.conn.Send(drmaafront.Heartbeat()) && !s.conn.IsClosed()
}

// isOpen reports whether the stream can still be read by its client. Cores that send no heartbeats call it in place of
// sendHeartbeat, to learn when the stream has ended.
func (s *eventStream) isOpen() bool { return !s.requestEnded.Load() && !s.conn.IsClosed() }
