package requests

import (
	"fmt"
	"testing"
	"time"
)

// An adoption verifies no owner: a notification goes to a connection that a task was placed for, and the connection of the
// adoption is closed as idle.
func TestAdoptionDoesNotVerifyOwner(t *testing.T) {
	h := newHarness(t)
	h.connect(1, 2, 3)
	h.addNodes("n")
	h.placeTask(1, 7)
	h.placeTask(2, 8)
	h.step(h.newAdopt(3, "n", 9))
	h.step(OwnerDisconnected{Conn: 1})
	h.step(nodeReleased(h.links["n"], 7, CauseNormal))
	if e := oneEffect[Terminated](h); e.Conn != 2 {
		t.Errorf("%+v", e)
	}
	h.advance(3 * time.Second)
	if e := oneEffect[CloseOwner](h); e.Conn != 3 {
		t.Errorf("%+v", e)
	}
}

// Connections that each pass one health check and stay fill what may be kept, while an owner waits for the end of its task:
// its connection is not closed for them, and the notification goes there at once.
func TestHealthChecksKeepTheOwnersConnection(t *testing.T) {
	h := newHarness(t)
	h.addNodes("n")
	h.step(OwnerConnected{Conn: 1, Host: "owner"})
	h.placeTask(1, 7)
	for i := range Conn(50) {
		conn := 100 + i
		h.advance(100 * time.Millisecond)
		h.step(OwnerConnected{Conn: conn, Host: fmt.Sprint("h", conn)}, Ping{Conn: conn, Task: taskID(1)})
		if p := oneEffect[Pong](h); p.Conn != conn || !p.Passed {
			t.Errorf("%+v", p)
		}
	}
	h.step(nodeReleased(h.links["n"], 7, CauseNormal))
	if e := oneEffect[Terminated](h); e.Conn != 1 {
		t.Errorf("%+v", e)
	}
}

// A scheduler that has just started has only connections that tasks were adopted from. They stay, though misbehaving clients
// may be among them, until one is verified: else nobody could be notified.
func TestLikelyOwnersStayWhileNoneIsVerified(t *testing.T) {
	h := newHarness(t)
	h.addNodes("n")
	h.connect(1, 2, 3)
	h.step(h.newAdopt(1, "n", 7), h.newAdopt(2, "n", 8))
	h.advance(3 * time.Second)
	if e := oneEffect[CloseOwner](h); e.Conn != 3 {
		t.Errorf("%+v", e)
	}
	h.step(nodeReleased(h.links["n"], 7, CauseNormal))
	if e := oneEffect[Terminated](h); e.Conn != 1 {
		t.Errorf("%+v", e)
	}
	h.advance(time.Second) // a node has confirmed the task of connection 1, and no other
	if e := oneEffect[CloseOwner](h); e.Conn != 2 {
		t.Errorf("%+v", e)
	}
	h.step(OwnerConnected{Conn: 4, Host: "h"}, h.newAdopt(4, "n", 9), h.newAdopt(4, "n", 10))
	h.step(nodeReleased(h.links["n"], 8, CauseNormal))
	if e := oneEffect[Terminated](h); e.Conn != 1 {
		t.Errorf("the end of a task that was adopted from a closed connection: %+v", e)
	}
}

// Where no connection is verified, a notification goes to the one that most tasks were adopted from.
func TestNotifiesConnectionWithMostAdoptions(t *testing.T) {
	h := newHarness(t)
	h.addNodes("n")
	h.connect(1, 2, 3, 4)
	for i, conn := range []Conn{1, 2, 3, 3, 4, 4} {
		h.step(h.newAdopt(conn, "n", 7+i))
	}
	h.step(OwnerDisconnected{Conn: 1})
	h.step(nodeReleased(h.links["n"], 7, CauseNormal))
	if e := oneEffect[Terminated](h); e.Conn != 3 {
		t.Errorf("%+v", e)
	}
}
