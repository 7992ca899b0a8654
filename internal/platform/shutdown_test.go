package platform

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/channeltest"
	"flaxshelf.example/flaxshelf/internal/codec/nodebinary"
	"flaxshelf.example/flaxshelf/internal/requests"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/scripted"
)

// The next step of a shutdown depends on the time since it was requested and on the conditions that delay the exit.
func TestShutdownSteps(t *testing.T) {
	const requestedAt = requests.Time(time.Hour)
	listening := shutdownState{idle: true, listening: true}
	partial := shutdownState{idle: true, partialMessages: true}
	idle := shutdownState{idle: true}
	unread := shutdownState{idle: true, unreadSockets: true}
	for _, c := range []struct {
		name         string
		elapsed      time.Duration
		lastReceived time.Duration // since the request
		state        shutdownState
		want         shutdownStep
	}{
		{"new requests are accepted", acceptPeriod - 1, 0, listening, shutdownStep{recheck: 1}},
		{"the listener is drained first", acceptPeriod, 0, listening, shutdownStep{drain: true, recheck: quietPeriod}},
		{"a request is pending", time.Minute, 0, shutdownState{partialMessages: true}, shutdownStep{recheck: quietPeriod}},
		{"a partial request", partialMessageDeadline - 1, 0, partial, shutdownStep{recheck: quietPeriod}},
		{"a partial request past its deadline", partialMessageDeadline, 0, partial, shutdownStep{exit: true}},
		{"an owner sent just now", acceptPeriod + 30, acceptPeriod, idle, shutdownStep{recheck: quietPeriod - 30}},
		{"everything is answered", acceptPeriod + quietPeriod, acceptPeriod, idle, shutdownStep{exit: true}},
		{"an owner may have sent what is not read yet", acceptPeriod + quietPeriod, acceptPeriod, unread,
			shutdownStep{read: true, recheck: quietPeriod}},
		{"the event loop reads nothing until the deadline", partialMessageDeadline, 0, unread, shutdownStep{exit: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gracefulShutdown{requestedAt: requestedAt, lastReceived: requestedAt + c.lastReceived}
			if got := g.nextStep(requestedAt+c.elapsed, c.state); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
	t.Run("the listener's queue waits for slots", func(t *testing.T) {
		g := gracefulShutdown{requestedAt: requestedAt}
		g.nextStep(requestedAt+acceptPeriod, shutdownState{listening: true})
		if got := g.nextStep(requestedAt+acceptPeriod+quietPeriod, listening); got.drain || got.exit {
			t.Errorf("got %+v before the deadline, want a step that waits", got)
		}
		if got := g.nextStep(requestedAt+partialMessageDeadline, listening); !got.exit {
			t.Errorf("got %+v at the deadline, want an exit", got)
		}
	})
}

// listenerPollInterval is longer than the listener waits for each further connection while it is drained. Polls without a pause
// kept it open for a second longer, and a partial request then came close to its timeout.
const listenerPollInterval = 50 * time.Millisecond

// awaitListenerClosed waits until connections to the scheduler are refused.
func (s *testScheduler) awaitListenerClosed() {
	s.t.Helper()
	polls := time.NewTicker(listenerPollInterval)
	defer polls.Stop()
	for deadline := time.Now().Add(10 * time.Second); ; <-polls.C {
		conn, err := net.Dial("tcp", s.addr)
		if err != nil {
			return
		}
		_ = conn.Close()
		if time.Now().After(deadline) {
			s.t.Fatal("the scheduler still listens after 10 s")
		}
	}
}

// A request whose last byte arrives after the scheduler has stopped listening is served, since its connection was accepted
// before.
func TestShutdownWaitsForPartialRequest(t *testing.T) {
	s, _, other := startSchedulerWithTask(t)
	c := s.connect()
	c.placeTask(3) // marks the connection as one of an owner
	line := `{"type":"setup","id":"0000000000000004","fields":{"class":"batch","left":"3000","key":"k",` +
		`"extras":"cores:1;memory:1;service:s"},"sdp":"x"}` + "\n"
	if _, err := c.conn.Write([]byte(line[:20])); err != nil {
		t.Fatal(err)
	}
	close(s.stop)
	s.awaitListenerClosed()
	_ = other.conn.SetReadDeadline(time.Now().Add(4 * quietPeriod))
	if _, err := other.reader.ReadByte(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got error %v, want %v: the scheduler must wait for the partial request", err, os.ErrDeadlineExceeded)
	}
	if _, err := c.conn.Write([]byte(line[20:])); err != nil {
		t.Fatal(err)
	}
	c.expectReply("answer", 4, 0)
	s.awaitExit()
}

// Guards against an exit before the event loop, which does not get the processor, has read a request that was written in time. The
// event loop is held until the scheduler would have exited.
func TestShutdownWaitsForUnreadRequest(t *testing.T) {
	blocker := newEventLoopBlocker("Terminated")
	other, n := newNode(t, scripted.AcceptAll), newNode(t, scripted.AcceptAll)
	s := startSchedulerWith(t, schedulerOptions{logHook: blocker.hook}, scripted.Entry("s-1", other.Addr(), "leaving"),
		scripted.Entry("s-2", n.Addr(), "active"))
	c := s.connect()
	c.placeTask(3) // marks the connection as one of an owner
	for range 2 {
		channeltest.Await(t, blocker.linkUps, "a link to be up")
	}
	blocker.armed.Store(true)
	other.ResetConnections()
	channeltest.Await(t, blocker.blocked, "the event loop to block")
	c.submit(4)
	close(s.stop)
	const untilExit = acceptPeriod + 4*quietPeriod + ownerCloseTimeout // of a scheduler that does not wait for its event loop
	select {
	case err := <-s.runResult:
		t.Errorf("got the exit, error %v, want the scheduler to wait for its event loop", err)
	case <-time.After(untilExit):
	}
	close(blocker.release)
	c.expectReply("answer", 4, 0)
	s.awaitExit()
}

// When the scheduler exits while an owner still sends messages, the last response arrives completely. The messages that the
// owner sends meanwhile must not cause a reset, which could destroy a response that the owner has not read yet.
func TestShutdownDeliversLastAnswers(t *testing.T) {
	delayed := make(chan func(), 1)
	n := newNode(t, func(c net.Conn, m nodebinary.Message) {
		if m.Type == nodebinary.SetUp {
			delayed <- func() { scripted.AcceptAll(c, m) }
		}
	})
	longObjective := strings.Replace(testSettings, `"objective_ns":600000000`, `"objective_ns":6000000000`, 1)
	s := startSchedulerWith(t, schedulerOptions{settings: longObjective}, scripted.Entry("s-1", n.Addr(), "active"))
	c := s.connect()
	c.submit(2)
	answer := channeltest.Await(t, delayed, "the offer of task 2") // the attempt does not time out before the listener closes
	close(s.stop)
	s.awaitListenerClosed()
	answer() // nothing else delays the exit
	c.expectReply("answer", 2, 0)
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got error %v at the end of the connection, want EOF", err)
	}
	for range 2 { // if the scheduler had closed the socket, the first write would cause a reset and the second would fail
		c.send(`{"type":"progress","id":"%016x","fields":{}}`, 2)
	}
	_ = c.conn.Close()
	s.awaitExit()
}

// The scheduler exits without an error if the configuration is reloaded during a shutdown, and if the shutdown was requested
// before the start.
func TestShutdownSignalOrder(t *testing.T) {
	s, _, c := startSchedulerWithTask(t)
	close(s.stop)
	s.writeConfig(s.feed.Addr(), testSettings)
	s.reload <- struct{}{}
	c.placeTask(3)
	s.awaitExit()
	stop := make(chan struct{})
	close(stop)
	if err := Run(Options{ConfigPath: s.configPath}, stop, nil); err != nil {
		t.Errorf("got error %v from Run, want none", err)
	}
}

// Node updates in a reloaded configuration are applied even if its settings are ignored, including a drain that only the
// configuration file reports.
func TestReloadAppliesDrain(t *testing.T) {
	s, drained, c := startSchedulerWithTask(t)
	b, err := os.ReadFile(s.configPath)
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(b), `"batch"`, `"other"`, 1)
	text = strings.Replace(text, `"known":{"n":1,"events":[`, `"known":{"n":2,"events":[`+scripted.Event(2, false,
		scripted.Entry("s-1", drained.Addr(), "leaving"),
		scripted.Entry("s-2", newNode(t, scripted.AcceptAll).Addr(), "active"))+`,`, 1)
	if err := os.WriteFile(s.configPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s.reload <- struct{}{}
	expectStream(t, s.feed, "2")
	for i := range 6 {
		c.placeTask(3 + i)
	}
	expectNoMessage(t, drained, nodebinary.SetUp)
}

// After two reloads in immediate succession, the scheduler follows the control feed that the second file names, from the last
// event applied on.
func TestConsecutiveReloads(t *testing.T) {
	s, drained, c := startSchedulerWithTask(t)
	first, second := newControlFeed(t), newControlFeed(t)
	entry := scripted.Entry("s-1", drained.Addr(), "active")
	s.writeConfig(first.Addr(), testSettings, entry)
	s.reload <- struct{}{}
	s.writeConfig(second.Addr(), testSettings, entry)
	s.reload <- struct{}{}
	expectStream(t, second, "1")
	n := newNode(t, scripted.AcceptAll)
	second.Publish(false, scripted.Entry("s-1", drained.Addr(), "leaving"), scripted.Entry("s-2", n.Addr(), "active"))
	expectConnection(t, n) // ensures that the watch event was applied
	for i := range 4 {
		c.placeTask(3 + i)
	}
	expectNoMessage(t, drained, nodebinary.SetUp)
}
