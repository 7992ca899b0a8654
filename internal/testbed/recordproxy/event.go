package recordproxy

import "flaxshelf.example/flaxshelf/internal/testbed/recordproxy/recordingpb"

// Event is the name of an event that the recorded bytes do not show, such as the kill of a scheduler. The names are part of the
// recording format.
type Event string

// The events of recordings.
const (
	// EventSchedulerKilled means that the process of a scheduler has exited. A later process is another incarnation.
	EventSchedulerKilled Event = "scheduler killed"
	// EventSchedulerPaused means that the process of a scheduler is suspended.
	EventSchedulerPaused Event = "scheduler paused"
	// EventSchedulerResumed means that the suspended process of a scheduler runs again.
	EventSchedulerResumed Event = "scheduler resumed"
	// EventNodeStopped means that a node has stopped, and all its tasks with it.
	EventNodeStopped Event = "node stopped"
	// EventNodeOverloaded means that a node has crashed because it had to start too many tasks.
	EventNodeOverloaded Event = "node overloaded"
	// EventBytesDropped means that from now on proxies drop bytes as part of a fault.
	EventBytesDropped Event = "bytes dropped"
	// EventRecorderStalled means that the recorder's process did not run for the duration of the mark. Whether the other
	// processes of the machine ran is not known.
	EventRecorderStalled Event = "recorder stalled"
	// EventEnd marks the end of the recording.
	EventEnd Event = "end"
)

// deprecatedEvents maps events to the names that they have in recordings of earlier versions. Both names are written; the
// deprecated ones are to be removed in 0.2.0. An event that is not in the map has kept its name.
var deprecatedEvents = map[Event]string{
	EventSchedulerPaused:  "scheduler stopped",
	EventSchedulerResumed: "scheduler goes on",
	EventNodeStopped:      "node dead",
	EventNodeOverloaded:   "node fell over",
	EventBytesDropped:     "bytes are dropped",
}

// The reasons why a connection was closed. They are part of the recording format.
const (
	reasonClosedByParty        = "closed by a party"
	reasonDisconnectedByFault  = "disconnected by a fault"
	reasonDisconnectedMidReply = "disconnected in the middle of a reply"
	reasonProxyClosed          = "end of the trial"
)

// deprecatedReasons maps reasons to their texts in recordings of earlier versions, as deprecatedEvents does for events.
var deprecatedReasons = map[string]string{
	reasonDisconnectedByFault:  "cut",
	reasonDisconnectedMidReply: "cut in the middle",
}

// NewMark returns the message that records an event of a party, under the current and the deprecated name.
func NewMark(event Event, party string) *recordingpb.Mark {
	return &recordingpb.Mark{Event: string(event), What: deprecatedName(deprecatedEvents, event), Party: party}
}

// EventOf returns the event of a mark, which may have only the deprecated name.
func EventOf(mark *recordingpb.Mark) Event {
	if mark.Event != "" {
		return Event(mark.Event)
	}
	return currentName(deprecatedEvents, mark.What)
}

// newClose returns the message that records the end of a connection, under the current and the deprecated reason.
func newClose(connection uint64, reason string) *recordingpb.Close {
	return &recordingpb.Close{Conn: connection, Reason: reason, Why: deprecatedName(deprecatedReasons, reason)}
}

// ReasonOf returns the reason why a connection was closed. The message may have only the deprecated text.
func ReasonOf(closed *recordingpb.Close) string {
	if closed.Reason != "" {
		return closed.Reason
	}
	return currentName(deprecatedReasons, closed.Why)
}

// deprecatedName returns the deprecated name for a current one, or the current name if it has not changed.
func deprecatedName[Name ~string](deprecated map[Name]string, current Name) string {
	if former, renamed := deprecated[current]; renamed {
		return former
	}
	return string(current)
}

// currentName returns the current name for a deprecated one, or the same name if it has not changed.
func currentName[Name ~string](deprecated map[Name]string, name string) Name {
	for current, former := range deprecated {
		if former == name {
			return current
		}
	}
	return Name(name)
}
