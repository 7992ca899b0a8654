package requests

import (
	"fmt"
	"testing"
	"time"
)

// An adoption does not prove that a connection belongs to an owner: notifications are sent instead on a connection on which
// a placed task was submitted, and the connection of the adoption is closed as idle.
func TestAdoptionDoesNotVerifyOwner(t *testing.T) {
	h := newHarness(t)
	h.connect(1, 2, 3)
	h.addNodes("n")
	h.placeTask(1, 7)
	h.placeTask(2, 8)
	h.step(h.newAdopt(3, "n", 9))
	h.step(OwnerDisconnected{Conn: 1})
	h.step(nodeReleased(h.links["n"], 7, CauseNormal))
	expectEffect(h, Terminated{Conn: 2, Task: taskID(7), Cause: CauseNormal})
	h.advance(3 * time.Second)
	expectEffect(h, CloseOwner{3})
}

// Many connections that each send one health check and stay open must not displace the connection of an owner that waits for
// the end of its task. The notification is sent on that connection at once.
func TestHealthChecksDoNotEvictOwnersConnection(t *testing.T) {
	h := newHarness(t)
	h.addNodes("n")
	h.step(OwnerConnected{Conn: 1, Host: "owner"})
	h.placeTask(1, 7)
	for i := range ConnID(50) {
		conn := 100 + i
		h.advance(100 * time.Millisecond)
		h.step(OwnerConnected{Conn: conn, Host: fmt.Sprint("h", conn)}, Ping{Conn: conn, Task: taskID(1)})
		expectEffect(h, Pong{Conn: conn, Task: taskID(1), Passed: true})
	}
	h.step(nodeReleased(h.links["n"], 7, CauseNormal))
	expectEffect(h, Terminated{Conn: 1, Task: taskID(7), Cause: CauseNormal})
}

// A scheduler that has just started knows owners only as connections from which tasks were adopted. These stay open until one
// is confirmed, although misbehaving clients may be among them, because without them no owner could be notified.
func TestLikelyOwnersStayConnectedUntilOneIsConfirmed(t *testing.T) {
	h := newHarness(t)
	h.addNodes("n")
	h.connect(1, 2, 3)
	h.step(h.newAdopt(1, "n", 7), h.newAdopt(2, "n", 8))
	h.advance(3 * time.Second)
	expectEffect(h, CloseOwner{3})
	h.step(nodeReleased(h.links["n"], 7, CauseNormal))
	expectEffect(h, Terminated{Conn: 1, Task: taskID(7), Cause: CauseNormal})
	h.advance(time.Second) // a node has confirmed the task of connection 1, and no other
	expectEffect(h, CloseOwner{2})
	h.step(OwnerConnected{Conn: 4, Host: "h"}, h.newAdopt(4, "n", 9), h.newAdopt(4, "n", 10))
	h.step(nodeReleased(h.links["n"], 8, CauseNormal))
	expectEffect(h, Terminated{Conn: 1, Task: taskID(8), Cause: CauseNormal}) // although it was adopted from connection 2
}

// If no connection is confirmed, a notification is sent on the one with the most adoptions, and of several such on the oldest.
func TestNotifiesConnectionWithMostAdoptions(t *testing.T) {
	h := newHarness(t)
	h.addNodes("n")
	h.connect(1, 2, 3, 4)
	for i, conn := range []ConnID{1, 2, 3, 3, 4, 4} {
		h.step(h.newAdopt(conn, "n", 7+i))
	}
	h.step(OwnerDisconnected{Conn: 1})
	h.step(nodeReleased(h.links["n"], 7, CauseNormal))
	expectEffect(h, Terminated{Conn: 3, Task: taskID(7), Cause: CauseNormal})
}
