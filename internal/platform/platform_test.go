package platform

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/channeltest"
	"flaxshelf.example/flaxshelf/internal/codec/nodebinary"
	"flaxshelf.example/flaxshelf/internal/front/platformfront"
	"flaxshelf.example/flaxshelf/internal/requests"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/scripted"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// A health check passes. A request reaches its node unchanged, and its response has the node's description. The owner is
// notified when the task ends.
func TestRequestReachesNodeAndResponseReachesOwner(t *testing.T) {
	n := newNode(t, scripted.AcceptAll)
	s := startScheduler(t, scripted.Entry("s-1", n.Addr(), "active"))
	c := s.connect()
	if !c.ping() {
		t.Error("got a ping that failed, want it passed")
	}
	c.placeTask(2)
	m := awaitMessage(t, n, nodebinary.SetUp)
	if m.Task != 2 || m.Class != "batch" || m.Key != "k2" || m.Description != "owner's" || m.TimeLeft == "" {
		t.Errorf("the node got %+v, want task 2 of class batch with key k2, the owner's description and a time left", m)
	}
	n.Send(nodebinary.Message{Type: nodebinary.Release, Task: 2, Cause: 16})
	c.expectReply("release", 2, 16)
}

// Owners may release or migrate a running task on another connection than that of its request. A request with the ID of a
// running task fails, and the running task is not affected.
func TestOwnerEndsTaskOnAnotherConnection(t *testing.T) {
	s, n, c := startSchedulerWithTask(t)
	other := s.connect()
	other.release(2, 31)
	expectMessage(t, n, nodebinary.Release, 2)
	c.placeTask(3)
	other.send(`{"type":"move","id":"%016x","fields":{},"cause":31}`, 3)
	expectMessage(t, n, nodebinary.Release, 3)
	c.placeTask(4)
	other.submit(4)
	other.expectReply("release", 4, 41)
	c.placeTask(5) // its response is the next message: an owner gets no release for a task that it ended itself
}

// If a request is released while its node handles it, the node receives a release and the owner gets no response. If the node's
// response crosses the release, the node receives a second release.
func TestReleaseCrossesAnswer(t *testing.T) {
	delayed := make(chan func(), 1)
	n := newNode(t, func(c net.Conn, m nodebinary.Message) {
		if m.Type == nodebinary.SetUp && m.Task == 2 {
			delayed <- func() { scripted.AcceptAll(c, m) }
		} else if m.Type == nodebinary.SetUp {
			scripted.AcceptAll(c, m)
		}
	})
	s := startScheduler(t, scripted.Entry("s-1", n.Addr(), "active"))
	c := s.connect()
	c.submit(2)
	answer := channeltest.Await(t, delayed, "the offer of task 2")
	c.release(2, 16)
	if m := awaitMessage(t, n, nodebinary.Release); m.Task != 2 || m.Cause != 16 {
		t.Errorf("the node got %+v, want the release of task 2 with cause 16", m)
	}
	answer()
	expectMessage(t, n, nodebinary.Release, 2)
	c.placeTask(3)
}

// Tasks that ran before the scheduler started are adopted by requests with the extra "at", which get no response. Their node
// gets no offer for them, and its report that the task has ended reaches the owner. A second request for the same task is
// ignored.
func TestAdoptedTasks(t *testing.T) {
	n := newNode(t, scripted.AcceptAll)
	s := startScheduler(t, scripted.Entry("s-1", n.Addr(), "active"))
	c := s.connect()
	c.submit(7, "at:s-1")
	c.submit(7, "at:s-1")
	c.placeTask(8)
	expectMessage(t, n, nodebinary.SetUp, 8)
	n.Send(nodebinary.Message{Type: nodebinary.Release, Task: 7, Cause: 41, Token: "oom"})
	c.expectReply("release", 7, 41)
}

// A malformed response from a node closes the link, and the task is placed on another node. Guards against requests without any
// answer: a response whose description no owner can be sent counted as passed on.
func TestMalformedAnswerClosesLink(t *testing.T) {
	answer := func(description string) func(c net.Conn, m nodebinary.Message) {
		return func(c net.Conn, m nodebinary.Message) {
			scripted.Send(c, nodebinary.Message{Type: nodebinary.Answer, Task: m.Task, Cause: nodebinary.NoCause,
				Description: description, HasDescription: true})
		}
	}
	for name, respond := range map[string]func(c net.Conn, m nodebinary.Message){
		"no message":               func(c net.Conn, _ nodebinary.Message) { _, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n")) },
		"description is noise":     answer("\x9d\xff\x00\xfe\x81\xc0 noise \xf8"),
		"description is too long":  answer(strings.Repeat("\x01", 8<<10)),
		"description is left out":  answer(""),
		"description is cut short": answer("caf\xc3"),
	} {
		t.Run(name, func(t *testing.T) {
			var offers atomic.Int32
			script := func(c net.Conn, m nodebinary.Message) {
				if m.Type == nodebinary.SetUp && offers.Add(1) == 1 {
					respond(c, m)
					return
				}
				scripted.AcceptAll(c, m)
			}
			first, second := newNode(t, script), newNode(t, script)
			s := startScheduler(t, scripted.Entry("s-1", first.Addr(), "active"), scripted.Entry("s-2", second.Addr(), "active"))
			c := s.connect()
			c.submit(2)
			c.expectReply("answer", 2, 0)
			expectMessage(t, first, nodebinary.SetUp, 2)
			expectMessage(t, second, nodebinary.SetUp, 2)
			if got := offers.Load(); got != 2 {
				t.Errorf("got %d offers, want 2: one with a malformed response, and one at the other node", got)
			}
		})
	}
}

// A link on which a message stays incomplete is closed even if no request is pending on it, because the messages that follow
// would be read as the rest of it. Another link replaces it. The node may see the new connection before or after the close.
func TestPartialMessageClosesLink(t *testing.T) {
	n := newNode(t, func(c net.Conn, m nodebinary.Message) {
		scripted.AcceptAll(c, m)
		if m.Type == nodebinary.SetUp {
			_, _ = c.Write([]byte("\x00\x40\x0c\x00"))
		}
	})
	s := startScheduler(t, scripted.Entry("s-1", n.Addr(), "active"))
	s.connect().placeTask(2)
	if line := channeltest.Await(t, s.closedLinks, "the log line of a closed link"); !strings.Contains(line, transport.ErrMessageTimeout.Error()) {
		t.Errorf("got log line %s, want the reason %v", line, transport.ErrMessageTimeout)
	}
	seen := map[scripted.ConnectionEvent]int{}
	for range 3 {
		seen[<-n.ConnectionEvents]++
	}
	if seen[scripted.ConnectionOpened] != 2 || seen[scripted.ConnectionClosed] != 1 {
		t.Errorf("got connection events %v, want 2 opened and 1 closed", seen)
	}
}

// When a node dies, the owners of its tasks are notified immediately.
func TestNodeDeathTerminatesTasks(t *testing.T) {
	_, n, c := startSchedulerWithTask(t)
	n.Kill()
	c.expectReply("release", 2, 41)
}

// When a node becomes unreachable while it runs a task, the owner is notified by the protocol's deadline. The node's connections
// stay open, and new connections to it are never established.
func TestUnreachableNodeIsReportedWithinDeadline(t *testing.T) {
	_, n, c := startSchedulerWithTask(t)
	backlogConns, err := n.Freeze()
	for _, conn := range backlogConns {
		defer conn.Close()
	}
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	c.expectReply("release", 2, 41)
	if elapsed := time.Since(start); elapsed > requests.LossNotificationDeadline {
		t.Errorf("the owner was notified after %v, want within %v", elapsed, requests.LossNotificationDeadline)
	}
}

// A node that listens at the address of a previous node does not take over its tasks: the owner is notified of their loss, and
// the new node cannot end them.
func TestNodeAtReusedAddressGetsNoTasksOfPreviousNode(t *testing.T) {
	s, n, c := startSchedulerWithTask(t)
	s.feed.Publish(false, scripted.Entry("s-2", n.Addr(), "active"))
	c.expectReply("release", 2, 41)
	c.placeTask(3)
	n.Send(nodebinary.Message{Type: nodebinary.Release, Task: 2, Cause: 16}) // a task of the previous node: it has no effect
	n.Send(nodebinary.Message{Type: nodebinary.Release, Task: 3, Cause: 16})
	c.expectReply("release", 3, 16)
}

// Events are applied once, and partially received events are dropped. After a stream that breaks, and after one that stays open
// but sends nothing, the next one is requested from the last event applied.
func TestWatchResumesAfterLastEvent(t *testing.T) {
	s, old, c := startSchedulerWithTask(t)
	s.feed.Publish(false, scripted.Entry("s-1", old.Addr(), "active"))
	for i, interrupt := range []func(){s.feed.Break, s.feed.Stall} {
		s.feed.Publish(false, scripted.Entry("s-3", old.Addr(), "left"))
		interrupt()
		select {
		case got := <-s.feed.LastEventIDs:
			if want := fmt.Sprint(3 + i); got != want {
				t.Errorf("got a request for the events after %s, want those after %s", got, want)
			}
		case <-time.After(4 * time.Second): // by then, the platform expects the scheduler to know the events
			t.Fatal("got no request for the events within 4 s")
		}
	}
	s.feed.Publish(false, scripted.Entry("s-1", old.Addr(), "left"))
	c.expectReply("release", 2, 41)
	s.feed.Republish(2) // an event that was applied already, in which node s-1 is active
	s.feed.Publish(false, scripted.Entry("s-2", newNode(t, scripted.AcceptAll).Addr(), "active"))
	for i := range 8 {
		c.placeTask(3 + i)
	}
	expectNoMessage(t, old, nodebinary.SetUp)
}

// When the configuration is reloaded, the scheduler follows the control feed that it names, whose sequence numbers continue
// those of the previous one. It ignores events older than the last one applied, an invalid file and changed settings: the core
// retains the settings from its start.
func TestReload(t *testing.T) {
	s, old, c := startSchedulerWithTask(t)
	entry := scripted.Entry("s-1", old.Addr(), "active")
	s.feed.Publish(true, scripted.Entry("s-2", newNode(t, scripted.AcceptAll).Addr(), "active"))
	c.expectReply("release", 2, 41)
	if err := os.WriteFile(s.configPath, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	s.reload <- struct{}{}
	if !c.ping() {
		t.Error("got a ping that failed after an invalid file, want it passed")
	}
	task := 3
	for _, settings := range []string{testSettings, strings.Replace(testSettings, `"batch"`, `"other"`, 1)} {
		next := newControlFeed(t)
		s.writeConfig(next.Addr(), settings, entry)
		s.reload <- struct{}{}
		expectStream(t, next, "2")
		for range 4 {
			c.placeTask(task)
			task++
		}
	}
	expectNoMessage(t, old, nodebinary.SetUp)
}

// During a graceful shutdown, health checks fail and requests are still served, also on new connections. All requests get their
// responses before the scheduler exits, and running tasks are not released.
func TestShutdownServesRequestsAndKeepsTasksRunning(t *testing.T) {
	s, n, c := startSchedulerWithTask(t)
	close(s.stop)
	newOwner := s.connect()
	for c.ping() {
	}
	newOwner.placeTask(3)
	s.awaitExit()
	expectNoMessage(t, n, nodebinary.Release)
}

// The connections of clients that send malformed, oversized, repeatedly invalid or incomplete messages, or nothing, are closed.
// None of the invalid requests is placed, and another owner is served meanwhile.
func TestMisbehavingClientsAreClosed(t *testing.T) {
	s, n, other := startSchedulerWithTask(t)
	for _, malformed := range []string{"\x16\x03\x01\n", "{\n", strings.Repeat("x", 1<<20), `{"type":"setup","id":"7"}` + "\n"} {
		c := s.connect()
		_, _ = c.conn.Write([]byte(malformed)) // the scheduler may close before all is written
		c.awaitClosed()
	}
	c := s.connect()
	for range 4 {
		c.send(`{"type":"setup","id":"%016x","fields":{"class":"odd","left":"1000"},"sdp":"x"}`, 9)
	}
	c.expectReply("release", 9, 47)
	c.awaitClosed()
	partial := s.connect()
	partial.placeTask(10)
	_, _ = partial.conn.Write([]byte(`{"type":"setup"`)) // never completed
	idle := []*client{s.connect(), partial}
	for range 100 {
		idle = append(idle, s.connect())
	}
	other.placeTask(3)
	for _, c := range idle {
		c.awaitClosed()
	}
	if len(n.Received) > 2 {
		t.Errorf("the node got %d messages, want at most 2", len(n.Received))
	}
}

// Guards against lost requests: some with under a millisecond left counted as malformed, and closed the connection with the other
// requests that were open on it.
func TestRequestsWithLittleTimeLeftKeepTheirConnection(t *testing.T) {
	s, _, c := startSchedulerWithTask(t)
	const line = `{"type":"setup","id":"%016x","fields":{"class":"batch","left":%q,"key":"k","extras":"cores:1;memory:1;service:s"},` +
		`"sdp":"owner's"}`
	texts := []string{"3000", "0.6", "0", "0.0001", "0.6", "0.6", "0.6", "3000"}
	lines := make([]string, len(texts))
	for i, text := range texts {
		lines[i] = fmt.Sprintf(line, 3+i, text)
	}
	c.send("%s", strings.Join(lines, "\n"))
	for range texts {
		r := c.readReply()
		index, _ := strconv.ParseInt(r.ID, 16, 64)
		if placed := texts[index-3] == "3000"; placed != (r.Type == "answer") {
			t.Errorf("got %+v for a request with %s ms left, want an answer for those with 3000 only", r, texts[index-3])
		}
	}
	if !s.connect().ping() {
		t.Error("got a ping that failed, want it passed")
	}
}

// While 300 idle clients are connected or wait to be accepted, there are still descriptors for the next stream of the control
// feed, for a health check on a new connection and for the link to a new node.
func TestIdleClientsLeaveDescriptorsFree(t *testing.T) {
	s, _, c := startSchedulerWithTask(t)
	s.feed.Break()
	for range 300 {
		s.connect()
	}
	expectStream(t, s.feed, "1")
	if !s.connect().ping() {
		t.Error("got a ping that failed, want it passed")
	}
	n := newNode(t, scripted.AcceptAll)
	s.feed.Publish(false, scripted.Entry("s-1", "", "leaving"), scripted.Entry("s-2", n.Addr(), "active"))
	expectConnection(t, n)
	c.placeTask(3)
	expectMessage(t, n, nodebinary.SetUp, 3)
}

// The error for an invalid configuration names the field.
func TestRunReportsFieldOfInvalidConfiguration(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(`{"listen":"127.0.0.1:0"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := Run(Options{ConfigPath: path}, nil, nil); err == nil || !strings.Contains(err.Error(), "field feed") {
		t.Errorf("got error %v, want one that names the field feed", err)
	}
}

// Settings that can be parsed, but that only the core rejects, are an invalid configuration, for which the program exits with 2.
func TestSettingsThatTheCoreRejectsAreAConfigError(t *testing.T) {
	s := &testScheduler{t: t, configPath: filepath.Join(t.TempDir(), "config.json"), addr: "127.0.0.1:0"}
	s.writeConfig("127.0.0.1:1", strings.Replace(testSettings, `"most_tries":3`, `"most_tries":-1`, 1))
	if err := Run(Options{ConfigPath: s.configPath}, nil, nil); !errors.Is(err, platformfront.ErrConfig) {
		t.Errorf("got error %v, want %v", err, platformfront.ErrConfig)
	}
}
