package platform

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodebinary"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/scripted"
	"flaxshelf.example/flaxshelf/internal/transport"
)

// A ping passes; a request reaches its node unchanged and is answered with the node's description; the end of the task is
// passed on to its owner.
func TestRequestRoundTrip(t *testing.T) {
	n := newNode(t, scripted.AcceptAll)
	s := startScheduler(t, scripted.Entry("s-1", n.Addr(), "active"))
	c := s.connect()
	if !c.ping() {
		t.Error("the ping did not pass")
	}
	c.placeTask(2)
	m := awaitMessage(t, n, nodebinary.SetUp)
	if m.Task != 2 || m.Class != "batch" || m.Key != "k2" || m.Description != "owner's" || m.TimeLeft == "" {
		t.Errorf("%+v", m)
	}
	n.Send(nodebinary.Message{Type: nodebinary.Release, Task: 2, Cause: 16})
	c.expect("release", 2, 16)
}

// Owners may end or move a running task on another connection than that of its request. A request under an id that is in use
// is failed, and the first one's task runs on.
func TestReleaseAndMoveFromAnotherConnection(t *testing.T) {
	s, n, c := startSchedulerWithTask(t)
	other := s.connect()
	for task, message := range map[int]string{2: "release", 3: "move"} {
		if task != 2 {
			c.placeTask(task)
		}
		other.send(`{"type":%q,"id":"%016x","fields":{},"cause":31}`, message, task)
		if m := awaitMessage(t, n, nodebinary.Release); m.Task != uint64(task) {
			t.Errorf("%s: the node received the release of %d", message, m.Task)
		}
	}
	c.placeTask(4)
	other.submit(4)
	other.expect("release", 4, 41)
	c.placeTask(5) // no release in between: an owner gets none for a task that it ended itself
}

// A request is released while its node handles it: the node is sent a release, the owner nothing more, and the answer that
// crosses the release is released again.
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
	answer := <-delayed
	c.send(`{"type":"release","id":"%016x","fields":{},"cause":16}`, 2)
	if m := awaitMessage(t, n, nodebinary.Release); m.Task != 2 || m.Cause != 16 {
		t.Errorf("%+v", m)
	}
	answer()
	if m := awaitMessage(t, n, nodebinary.Release); m.Task != 2 {
		t.Errorf("the answer that crossed: %+v", m)
	}
	c.placeTask(3)
}

// Tasks that ran before a start are adopted by requests with the extra "at", which are not answered. Their node gets no offer
// of them, its report of the end reaches the owner, and a second request for the same task changes nothing.
func TestAdoptedTasks(t *testing.T) {
	n := newNode(t, scripted.AcceptAll)
	s := startScheduler(t, scripted.Entry("s-1", n.Addr(), "active"))
	c := s.connect()
	c.submit(7, "at:s-1")
	c.submit(7, "at:s-1")
	c.placeTask(8)
	if m := awaitMessage(t, n, nodebinary.SetUp); m.Task != 8 {
		t.Errorf("%+v", m)
	}
	n.Send(nodebinary.Message{Type: nodebinary.Release, Task: 7, Cause: 41, Token: "oom"})
	c.expect("release", 7, 41)
}

// A malformed answer closes the link; the task is placed on another node.
func TestMalformedAnswerClosesLink(t *testing.T) {
	n := newNode(t, func(c net.Conn, m nodebinary.Message) {
		if m.Type == nodebinary.SetUp {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n"))
		}
	})
	s := startScheduler(t, scripted.Entry("s-1", n.Addr(), "active"))
	c := s.connect()
	c.submit(2)
	awaitMessage(t, n, nodebinary.SetUp)
	s.feed.Publish(false, scripted.Entry("s-2", newNode(t, scripted.AcceptAll).Addr(), "active"))
	c.expect("answer", 2, 0)
}

// A link on which a message stays partial is closed even if no request waits on it: else the message would swallow what
// follows. Another link takes its place. Which of the two events the node sees first is not determined.
func TestPartialMessageClosesLink(t *testing.T) {
	n := newNode(t, func(c net.Conn, m nodebinary.Message) {
		scripted.AcceptAll(c, m)
		if m.Type == nodebinary.SetUp {
			_, _ = c.Write([]byte("\x00\x40\x0c\x00"))
		}
	})
	s := startScheduler(t, scripted.Entry("s-1", n.Addr(), "active"))
	s.connect().placeTask(2)
	if line := <-s.closedLinks; !strings.Contains(line, transport.ErrPartialMessage.Error()) {
		t.Errorf("the link closed for another reason: %s", line)
	}
	seen := map[scripted.ConnectionEvent]int{}
	for range 3 {
		seen[<-n.ConnectionEvents]++
	}
	if seen[scripted.ConnectionOpened] != 2 || seen[scripted.ConnectionClosed] != 1 {
		t.Errorf("connections: %v", seen)
	}
}

// A node that dies ends its tasks: owners are notified at once.
func TestNodeDeathTerminatesTasks(t *testing.T) {
	_, n, c := startSchedulerWithTask(t)
	n.Kill()
	c.expect("release", 2, 41)
}

// A node becomes unreachable while a task runs there: its connections stay open and new ones are never established. The owner
// is notified within the 8 s of the protocol.
func TestUnreachableNode(t *testing.T) {
	_, n, c := startSchedulerWithTask(t)
	filling, err := n.Freeze()
	for _, conn := range filling {
		defer conn.Close()
	}
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	c.expect("release", 2, 41)
	if elapsed := time.Since(start); elapsed > 8*time.Second {
		t.Errorf("the owner was notified after %v", elapsed)
	}
}

// A node at the address of a former one gets none of its tasks and ends none of them.
func TestNodeAddressReused(t *testing.T) {
	s, n, c := startSchedulerWithTask(t)
	s.feed.Publish(false, scripted.Entry("s-2", n.Addr(), "active"))
	c.expect("release", 2, 41)
	c.placeTask(3)
	n.Send(nodebinary.Message{Type: nodebinary.Release, Task: 2, Cause: 16}) // a task of the former node: nothing follows
	n.Send(nodebinary.Message{Type: nodebinary.Release, Task: 3, Cause: 16})
	c.expect("release", 3, 16)
}

// Events are applied once and partial events are dropped. After a stream that breaks, and after one that stays open but
// silent, the next one is requested from the last event on.
func TestWatchResumes(t *testing.T) {
	s, old, c := startSchedulerWithTask(t)
	s.feed.Publish(false, scripted.Entry("s-1", old.Addr(), "active"))
	for i, interrupt := range []func(){s.feed.Break, s.feed.Stall} {
		s.feed.Publish(false, scripted.Entry("s-3", old.Addr(), "left"))
		interrupt()
		select {
		case last := <-s.feed.Requests:
			if want := string(rune('3' + i)); last != want {
				t.Errorf("the stream was requested from event %s, want %s", last, want)
			}
		case <-time.After(4 * time.Second): // by then the platform takes its events for known
			t.Fatal("no stream was requested")
		}
	}
	s.feed.Publish(false, scripted.Entry("s-1", old.Addr(), "left"))
	c.expect("release", 2, 41)
	s.feed.Republish(2) // an old event, by which the node is active
	s.feed.Publish(false, scripted.Entry("s-2", newNode(t, scripted.AcceptAll).Addr(), "active"))
	for i := range 8 {
		c.placeTask(3 + i)
	}
	expectNoMessage(t, old, nodebinary.SetUp)
}

// A reloaded configuration names another control feed, whose sequence numbers continue. Its events that are older than the
// last one applied change nothing, nor does an invalid file, nor other settings: the core keeps those of its start.
func TestReload(t *testing.T) {
	s, old, c := startSchedulerWithTask(t)
	entry := scripted.Entry("s-1", old.Addr(), "active")
	s.feed.Publish(true, scripted.Entry("s-2", newNode(t, scripted.AcceptAll).Addr(), "active"))
	c.expect("release", 2, 41)
	if err := os.WriteFile(s.configPath, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	s.reload <- struct{}{}
	if !c.ping() {
		t.Error("an invalid file ended the scheduler")
	}
	task := 3
	for _, settings := range []string{testSettings, strings.Replace(testSettings, `"batch"`, `"other"`, 1)} {
		next := newControlFeed(t)
		s.writeConfig(next, settings, entry)
		s.reload <- struct{}{}
		if last := <-next.Requests; last != "2" {
			t.Errorf("the stream was requested from event %s", last)
		}
		for range 4 {
			c.placeTask(task)
			task++
		}
	}
	expectNoMessage(t, old, nodebinary.SetUp)
}

// During a graceful shutdown pings fail, requests are still served, on new connections too, and everything is answered
// before the scheduler exits; running tasks keep running.
func TestGracefulShutdown(t *testing.T) {
	s, n, c := startSchedulerWithTask(t)
	close(s.stop)
	newOwner := s.connect()
	for c.ping() {
	}
	newOwner.placeTask(3)
	if err := <-s.runResult; err != nil {
		t.Error(err)
	}
	expectNoMessage(t, n, nodebinary.Release)
}

// Misbehaving clients get a rejection or a close, none of their requests is placed, and another owner is served meanwhile.
func TestMisbehavingClients(t *testing.T) {
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
	c.expect("release", 9, 47)
	c.awaitClosed()
	partial := s.connect()
	partial.placeTask(10)
	_, _ = partial.conn.Write([]byte(`{"type":"setup"`))
	idle := []*client{s.connect(), partial}
	for range 100 {
		idle = append(idle, s.connect())
	}
	other.placeTask(3)
	for _, c := range idle {
		c.awaitClosed()
	}
	if len(n.Received) > 2 {
		t.Errorf("the node received %d messages", len(n.Received))
	}
}

// Idle clients keep connecting while the control feed is down: its next stream, a new node and a readiness test still find
// descriptors.
func TestIdleClientsLeaveDescriptorsFree(t *testing.T) {
	s, _, c := startSchedulerWithTask(t)
	s.feed.Break()
	for range 300 {
		s.connect()
	}
	if last := <-s.feed.Requests; last != "1" {
		t.Errorf("the stream was requested from event %s", last)
	}
	if !s.connect().ping() {
		t.Error("the ping did not pass")
	}
	n := newNode(t, scripted.AcceptAll)
	s.feed.Publish(false, scripted.Entry("s-1", "", "leaving"), scripted.Entry("s-2", n.Addr(), "active"))
	if event := <-n.ConnectionEvents; event != scripted.ConnectionOpened {
		t.Error(event)
	}
	c.placeTask(3)
	if m := awaitMessage(t, n, nodebinary.SetUp); m.Task != 3 {
		t.Errorf("%+v", m)
	}
}

// The shares add up to the limit, and owners have the third of it that the protocol gives them.
func TestDivideDescriptors(t *testing.T) {
	for limit := 96; limit <= 1<<14; limit++ {
		b := divideDescriptors(limit)
		if b.ownerConnections+b.links+reservedDescriptors != limit || 3*b.retainedConnections < limit-reservedDescriptors ||
			b.retainedConnections >= b.ownerConnections {
			t.Fatalf("%d: %+v", limit, b)
		}
	}
	if b := divideDescriptors(32); b.retainedConnections < 1 || b.links < 1 || b.ownerConnections+b.links > 16 {
		t.Errorf("%+v", b)
	}
}

// An invalid configuration is reported with the field.
func TestInvalidConfiguration(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(`{"listen":"127.0.0.1:0"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := Run(Options{Config: path}, nil, nil); err == nil || !strings.Contains(err.Error(), "field feed") {
		t.Errorf("%v", err)
	}
}
