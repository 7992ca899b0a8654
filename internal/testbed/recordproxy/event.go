package recordproxy

import "flaxshelf.example/flaxshelf/internal/testbed/recordproxy/recordingpb"

// Event is the name of something that happened to a party and that no recorded bytes show. The names are part of the format
// of recordings.
type Event string

// The events of recordings.
const (
	// EventSchedulerKilled is that the process of a scheduler has exited; a later process is another incarnation.
	EventSchedulerKilled Event = "scheduler killed"
	// EventSchedulerPaused is that the process of a scheduler is suspended.
	EventSchedulerPaused Event = "scheduler paused"
	// EventSchedulerResumed is that a suspended process runs again.
	EventSchedulerResumed Event = "scheduler resumed"
	// EventNodeStopped is that a node has stopped with all its tasks.
	EventNodeStopped Event = "node stopped"
	// EventNodeOverloaded is that a node has crashed because of too many starts.
	EventNodeOverloaded Event = "node overloaded"
	// EventBytesDropped is that proxies drop bytes on purpose from now on.
	EventBytesDropped Event = "bytes dropped"
	// EventEnd is the end of the recording.
	EventEnd Event = "end"
)

// deprecatedEvents are the names of events in recordings of earlier versions. They are written besides the present names, and
// are removed in 0.2.0. The names of the other events have not changed.
var deprecatedEvents = map[Event]string{
	EventSchedulerPaused:  "scheduler stopped",
	EventSchedulerResumed: "scheduler goes on",
	EventNodeStopped:      "node dead",
	EventNodeOverloaded:   "node fell over",
	EventBytesDropped:     "bytes are dropped",
}

// The reasons of closed connections. They are part of the format of recordings.
const (
	reasonClosedByParty        = "closed by a party"
	reasonDisconnectedByFault  = "disconnected by a fault"
	reasonDisconnectedMidReply = "disconnected in the middle of a reply"
	reasonProxyClosed          = "end of the trial"
)

// deprecatedReasons are the former reasons, as deprecatedEvents are the former events.
var deprecatedReasons = map[string]string{
	reasonDisconnectedByFault:  "cut",
	reasonDisconnectedMidReply: "cut in the middle",
}

// NewMark returns the message that records an event of a party. It has the deprecated name besides the present one.
func NewMark(event Event, party string) *recordingpb.Mark {
	return &recordingpb.Mark{Event: string(event), What: deprecatedName(deprecatedEvents, event), Party: party}
}

// EventOf returns the event of a mark, also of one that has only the deprecated name.
func EventOf(mark *recordingpb.Mark) Event {
	if mark.Event != "" {
		return Event(mark.Event)
	}
	return currentName(deprecatedEvents, mark.What)
}

// newClose returns the message that records the end of a connection.
func newClose(connection uint64, reason string) *recordingpb.Close {
	return &recordingpb.Close{Conn: connection, Reason: reason, Why: deprecatedName(deprecatedReasons, reason)}
}

// ReasonOf returns the reason of a closed connection, also of one that has only the deprecated text.
func ReasonOf(closed *recordingpb.Close) string {
	if closed.Reason != "" {
		return closed.Reason
	}
	return currentName(deprecatedReasons, closed.Why)
}

// deprecatedName returns the deprecated name, or the present one if it has not changed.
func deprecatedName[Name ~string](deprecated map[Name]string, current Name) string {
	if former, renamed := deprecated[current]; renamed {
		return former
	}
	return string(current)
}

// presentName returns the present name of a deprecated one, or the same name if it has not changed.
func currentName[Name ~string](deprecated map[Name]string, name string) Name {
	for current, former := range deprecated {
		if former == name {
			return current
		}
	}
	return Name(name)
}
