package requests

import (
	"fmt"
	"slices"
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

// notificationsOf returns the connections on which the last step or advance notified the end of the n-th task.
func (h *harness) notificationsOf(n int) []ConnID {
	var conns []ConnID
	for _, terminated := range effectsOf[Terminated](h) {
		if terminated.Task == taskID(n) {
			conns = append(conns, terminated.Conn)
		}
	}
	return conns
}

// Guards against ends that wait for the next placement: an owner whose connection was reset had connected again, and a request on
// the new connection had failed, but the connection did not count as an owner's.
func TestNotifiesReconnectedOwnerInTime(t *testing.T) {
	const owner, other = ConnID(3), ConnID(2)
	for _, test := range []struct {
		name string
		run  func(h *harness)
	}{
		{"a request fails before the end", func(h *harness) {
			h.step(h.newSubmit(owner, 8))
			h.advance(4 * time.Second)
			h.step(nodeReleased(h.links["n"], 7, CauseNormal))
			noEffect[Terminated](h)
			h.advance(undeliveredGrace)
		}},
		{"a request fails after the end", func(h *harness) {
			h.step(h.newSubmit(owner, 8))
			h.step(nodeReleased(h.links["n"], 7, CauseNormal))
			h.advance(undeliveredGrace)
			noEffect[Terminated](h)
			h.advance(4 * time.Second)
		}},
		{"health checks are sent regularly", func(h *harness) {
			h.step(nodeReleased(h.links["n"], 7, CauseNormal))
			h.step(Ping{Conn: owner, Task: taskID(1)}, Ping{Conn: owner, Task: taskID(1)})
			noEffect[Terminated](h) // a confirmed owner may still come
			h.advance(undeliveredGrace)
		}},
		{"a task is placed meanwhile", func(h *harness) {
			h.step(nodeReleased(h.links["n"], 7, CauseNormal))
			h.placeTask(owner, 9)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, func(c *Config) { c.Placer.MaxAttempts = 1 })
			h.connect(1)
			h.addNodes("n")
			h.placeTask(1, 7)
			h.step(OwnerDisconnected{Conn: 1})
			h.connectPinged(other) // passes a health check and does nothing else
			h.connectPinged(owner)
			test.run(h)
			if got, want := h.notificationsOf(7), []ConnID{owner}; !slices.Equal(got, want) {
				t.Errorf("got notifications on connections %v, want %v", got, want)
			}
			h.advance(time.Minute)
			if got := h.notificationsOf(7); len(got) > 0 {
				t.Errorf("got further notifications on connections %v, want none", got)
			}
		})
	}
}

// A client that has only passed a health check, or whose request was canceled, gets no notification of another's task.
func TestNotificationWaitsForPossibleOwner(t *testing.T) {
	h := newHarness(t)
	h.connect(1)
	h.addNodes("n")
	h.placeTask(1, 7)
	h.step(OwnerDisconnected{Conn: 1})
	h.connectPinged(2)
	h.step(h.newSubmit(2, 8), Release{2, taskID(8)})
	h.step(nodeReleased(h.links["n"], 7, CauseNormal))
	h.advance(time.Minute)
	noEffect[Terminated](h)
	h.connect(3)
	h.placeTask(3, 9)
	expectEffect(h, Terminated{Conn: 3, Task: taskID(7), Cause: CauseNormal})
}

// Guards against notifications that go to a client which never had the task: when the connection of a task had ended, its end was
// notified on the connection that was confirmed last, whoever's it was.
func TestEndIsNotifiedAtAddressOfItsTask(t *testing.T) {
	const taskConn, otherOwner, sameAddress = 1, 2, 3
	for _, test := range []struct {
		name      string
		reconnect func(h *harness)
		want      ConnID // that is notified
		atOnce    bool
	}{
		{"the client is connected, and has done nothing yet", func(h *harness) {
			h.step(OwnerConnected{Conn: sameAddress, Host: "client"})
		}, sameAddress, false},
		{"the client is connected, and known as an owner", func(h *harness) {
			h.step(OwnerConnected{Conn: sameAddress, Host: "client"})
			h.placeTask(sameAddress, 8)
			h.placeTask(otherOwner, 9)
		}, sameAddress, true},
		{"the client is not connected", func(*harness) {}, otherOwner, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.addNodes("n")
			h.step(OwnerConnected{Conn: taskConn, Host: "client"}, OwnerConnected{Conn: otherOwner, Host: "other"})
			link := h.placeTask(taskConn, 1).Link
			h.placeTask(otherOwner, 2)
			h.step(OwnerDisconnected{taskConn})
			test.reconnect(h)
			h.step(nodeReleased(link, 1, CauseNormal))
			if got := h.notificationsOf(1); len(got) > 0 != test.atOnce {
				t.Errorf("got notifications on connections %v at once, want some %v", got, test.atOnce)
			}
			if !test.atOnce {
				h.advance(undeliveredGrace)
			}
			if got := h.notificationsOf(1); len(got) != 1 || got[0] != test.want {
				t.Errorf("got notifications on connections %v, want one on %d", got, test.want)
			}
			h.advance(time.Second)
			if got := h.notificationsOf(1); len(got) > 0 {
				t.Errorf("got more notifications on connections %v", got)
			}
		})
	}
}
