package recordproxy

import (
	"testing"

	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy/recordingpb"
)

// Until 0.2.0, recordings that have only the deprecated names must stay readable, and new recordings must have the deprecated
// names too, for readers of earlier versions.
func TestEventsAreWrittenUnderBothNamesAndReadUnderEither(t *testing.T) {
	for _, c := range []struct {
		name       string
		event      Event
		deprecated string
	}{
		{"scheduler killed", EventSchedulerKilled, "scheduler killed"},
		{"scheduler paused", EventSchedulerPaused, "scheduler stopped"},
		{"scheduler resumed", EventSchedulerResumed, "scheduler goes on"},
		{"node stopped", EventNodeStopped, "node dead"},
		{"node overloaded", EventNodeOverloaded, "node fell over"},
		{"bytes dropped", EventBytesDropped, "bytes are dropped"},
		{"end", EventEnd, "end"},
	} {
		t.Run(c.name, func(t *testing.T) {
			mark := NewMark(c.event, "p")
			if mark.Event != c.name || mark.What != c.deprecated || mark.Party != "p" {
				t.Errorf("got mark %v, want event %q, deprecated name %q and party p", mark, c.name, c.deprecated)
			}
			if got := EventOf(mark); got != c.event {
				t.Errorf("got event %q of the mark, want %q", got, c.event)
			}
			if got := EventOf(&recordingpb.Mark{What: c.deprecated}); got != c.event {
				t.Errorf("got event %q of the deprecated name, want %q", got, c.event)
			}
		})
	}
}

func TestReasonsAreWrittenUnderBothNamesAndReadUnderEither(t *testing.T) {
	for _, c := range []struct{ name, reason, deprecated string }{
		{"closed by a party", reasonClosedByParty, "closed by a party"},
		{"disconnected by a fault", reasonDisconnectedByFault, "cut"},
		{"disconnected in the middle of a reply", reasonDisconnectedMidReply, "cut in the middle"},
		{"end of the trial", reasonProxyClosed, "end of the trial"},
		{"another text", "another text", "another text"},
	} {
		t.Run(c.name, func(t *testing.T) {
			closed := newClose(3, c.reason)
			if closed.Reason != c.name || closed.Why != c.deprecated || closed.Conn != 3 {
				t.Errorf("got %v, want reason %q, deprecated reason %q of connection 3", closed, c.name, c.deprecated)
			}
			if got := ReasonOf(closed); got != c.reason {
				t.Errorf("got reason %q, want %q", got, c.reason)
			}
			if got := ReasonOf(&recordingpb.Close{Why: c.deprecated}); got != c.reason {
				t.Errorf("got reason %q of the deprecated text, want %q", got, c.reason)
			}
		})
	}
}
