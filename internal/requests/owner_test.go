package requests

import "testing"

// Health checks fail during the shutdown, but requests are still served.
func TestPingFailsDuringShutdown(t *testing.T) {
	h := newHarness(t)
	h.step(OwnerConnected{Conn: 1, Host: "h"}, Ping{1, taskID(1)})
	expectEffect(h, Pong{Conn: 1, Task: taskID(1), Passed: true})
	h.addNodes("n")
	h.step(Shutdown{}, Ping{1, taskID(1)})
	expectEffect(h, Pong{Conn: 1, Task: taskID(1), Passed: false})
	h.placeTask(1, 7)
}

// A connection that exceeds the limit on protocol errors is closed.
func TestClosesOwnerAfterProtocolErrors(t *testing.T) {
	h := newHarness(t)
	h.step(OwnerConnected{Conn: 1, Host: "h"}, ProtocolError{1}, ProtocolError{1})
	noEffect[CloseOwner](h)
	h.step(ProtocolError{1})
	oneEffect[CloseOwner](h)
}

// Guards against lost requests: a connection was closed for invalid requests although others were open on it. It is closed once
// they have their answers and another invalid one arrives.
func TestInvalidRequestsKeepConnectionWithOpenRequests(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.step(h.newSubmit(1, 7)) // stays pending, since no node is known
	for range 10 {
		h.step(ProtocolError{1})
		noEffect[CloseOwner](h)
	}
	h.step(Release{Conn: 1, Task: taskID(7)})
	noEffect[CloseOwner](h)
	h.step(ProtocolError{1})
	oneEffect[CloseOwner](h)
}
