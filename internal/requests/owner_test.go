package requests

import "testing"

// Health checks pass until the shutdown; requests that come then are served all the same.
func TestPingDuringShutdown(t *testing.T) {
	h := newHarness(t)
	h.step(OwnerConnected{Conn: 1, Host: "h"}, Ping{1, taskID(1)})
	if p := oneEffect[Pong](h); !p.Passed {
		t.Error("not passed")
	}
	h.addNodes("n")
	h.step(Shutdown{}, Ping{1, taskID(1)})
	if p := oneEffect[Pong](h); p.Passed {
		t.Error("passed during the shutdown")
	}
	h.placeTask(1, 7)
}

// A connection that goes on sending malformed messages is closed.
func TestClosesOwnerAfterProtocolErrors(t *testing.T) {
	h := newHarness(t)
	h.step(OwnerConnected{Conn: 1, Host: "h"}, ProtocolError{1}, ProtocolError{1})
	noEffect[CloseOwner](h)
	h.step(ProtocolError{1})
	oneEffect[CloseOwner](h)
}
