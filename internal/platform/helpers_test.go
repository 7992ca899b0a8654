package platform

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"flaxshelf.example/flaxshelf/internal/channeltest"
	"flaxshelf.example/flaxshelf/internal/codec/nodebinary"
	"flaxshelf.example/flaxshelf/internal/replay"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/scripted"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"),
		goleak.IgnoreTopFunction("github.com/panjf2000/gnet/v2/pkg/logging.init.0.func1"))
}

const testSettings = `{"index":0,"balancers":1,"zone":"east","kinds":["std"],"discovery":"pushed","round_ns":2000000,
"caps":{"cancel":true,"most_tries":3,"connect_timeout_ns":250000000},"obligations":{"stop_sending_within_ns":2000000000},
"categories":[{"name":"batch","effect":"read_like","objective_ns":600000000,"worth":3.0}],
"specifics":{"kind_cores":[32],"mem_of_kind":[64],"admit_cores":1.5,"memory_multiple":1.5}}`

// linkClosedMessage is the message that the scheduler logs when a link to a node closes.
const linkClosedMessage = "link to the node closed"

// testScheduler is a running scheduler with a scripted control feed, on the loopback interface.
type testScheduler struct {
	t             *testing.T
	feed          *scripted.Feed
	configPath    string
	recordingPath string
	addr          string        // where the scheduler listens for owners
	stop, reload  chan struct{} // parameters of Run
	runResult     chan error    // receives the result of Run
	closedLinks   linkLog
	logHook       func(line string) // called with each line of the log by the goroutine that logs it, such as the event loop
}

// Write implements io.Writer. Each call receives one line of the log.
func (s *testScheduler) Write(line []byte) (int, error) {
	if s.logHook != nil {
		s.logHook(string(line))
	}
	return s.closedLinks.Write(line)
}

// linkLog receives the log lines that report closed links. Lines beyond its capacity are dropped.
type linkLog chan string

// Write implements io.Writer. Each call receives one line of the log.
func (l linkLog) Write(line []byte) (int, error) {
	if strings.Contains(string(line), linkClosedMessage) {
		select {
		case l <- string(line):
		default:
		}
	}
	return len(line), nil
}

func newNode(t *testing.T, script scripted.Script) *scripted.Node {
	t.Helper()
	n, err := scripted.NewNode(script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Kill)
	return n
}

func newControlFeed(t *testing.T) *scripted.Feed {
	t.Helper()
	f, err := scripted.NewFeed()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// schedulerOptions are the options of a scheduler under test. The zero value means testSettings and no hook.
type schedulerOptions struct {
	settings string // JSON of the field settings in the configuration; empty means testSettings
	// logHook is called with each line of the log, at trace level. A test can block in it when the event loop or the run loop
	// logs a certain line, to control the order of concurrent events.
	logHook func(line string)
}

// startScheduler starts a scheduler whose configuration lists nodes, and waits until it has requested the events of its control
// feed. By then it listens for owners.
func startScheduler(t *testing.T, nodes ...string) *testScheduler {
	t.Helper()
	return startSchedulerWith(t, schedulerOptions{}, nodes...)
}

// startSchedulerWith starts a scheduler with options and otherwise does the same as startScheduler.
func startSchedulerWith(t *testing.T, options schedulerOptions, nodes ...string) *testScheduler {
	t.Helper()
	if options.settings == "" {
		options.settings = testSettings
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	s := &testScheduler{
		t:             t,
		feed:          newControlFeed(t),
		configPath:    filepath.Join(dir, "config.json"),
		recordingPath: filepath.Join(dir, "recording"),
		addr:          listener.Addr().String(),
		stop:          make(chan struct{}),
		reload:        make(chan struct{}),
		runResult:     make(chan error, 1),
		closedLinks:   make(linkLog, 100),
		logHook:       options.logHook,
	}
	_ = listener.Close()
	s.writeConfig(s.feed.Addr(), options.settings, nodes...)
	go func() {
		s.runResult <- Run(Options{ConfigPath: s.configPath, RecordingPath: s.recordingPath, Log: zerolog.New(s)}, s.stop, s.reload)
	}()
	t.Cleanup(s.shutDown)
	channeltest.Await(t, s.feed.LastEventIDs, "the first request of the control feed")
	return s
}

// startSchedulerWithTask starts a scheduler with one node that accepts all tasks, and connects an owner whose task 2 runs there.
func startSchedulerWithTask(t *testing.T) (*testScheduler, *scripted.Node, *client) {
	t.Helper()
	n := newNode(t, scripted.AcceptAll)
	s := startScheduler(t, scripted.Entry("s-1", n.Addr(), "active"))
	c := s.connect()
	c.placeTask(2)
	expectMessage(t, n, nodebinary.SetUp, 2)
	return s, n, c
}

// writeConfig writes the configuration file. feed is the address of the control feed.
func (s *testScheduler) writeConfig(feed, settings string, nodes ...string) {
	s.t.Helper()
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1f","feed":%q,"limits":{"cores":0.5,"memory_mb":64,"sockets":128},
"known":{"n":1,"events":[%s]},"settings":%s}`, s.addr, feed, scripted.Event(1, true, nodes...), settings)
	if err := os.WriteFile(s.configPath, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// shutDown stops the scheduler, unless the test has already requested that, and checks that a replay of the recorded steps
// produces the same actions.
func (s *testScheduler) shutDown() {
	s.t.Helper()
	select {
	case <-s.stop:
		return
	default:
		close(s.stop)
	}
	s.awaitExit()
	f := openFile(s.t, s.recordingPath)
	if result, err := replay.Check(f); err != nil || result.Steps == 0 {
		s.t.Errorf("replay of the recorded steps: got %+v and error %v, want at least one step and no error", result, err)
	}
}

// awaitExit waits until the scheduler has exited, and checks that Run returned no error. The test must have requested the
// shutdown.
func (s *testScheduler) awaitExit() {
	s.t.Helper()
	select {
	case err := <-s.runResult:
		if err != nil {
			s.t.Errorf("got error %v from Run, want none", err)
		}
	case <-time.After(10 * time.Second):
		s.t.Fatal("the scheduler did not exit within 10 s")
	}
}

// openFile opens a file for reading until the end of the test.
func openFile(t *testing.T, path string) *os.File {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() }) // the file is only read, so an error does not matter
	return f
}

// awaitMessage waits until the node receives a message of a type, and returns it. Messages of other types are skipped.
func awaitMessage(t *testing.T, n *scripted.Node, want nodebinary.Type) nodebinary.Message {
	t.Helper()
	timeout := time.After(10 * time.Second)
	for {
		select {
		case m := <-n.Received:
			if m.Type == want {
				return m
			}
		case <-timeout:
			t.Fatalf("the node got no message of type %d within 10 s", want)
		}
	}
}

// expectMessage waits until the node receives a message of a type, and checks its task. Messages of other types are skipped.
func expectMessage(t *testing.T, n *scripted.Node, want nodebinary.Type, task int) {
	t.Helper()
	if got := awaitMessage(t, n, want); got.Task != uint64(task) {
		t.Errorf("the node got message %+v, want one for task %d", got, task)
	}
}

// expectConnection waits for the node's next connection event, which must report a new connection.
func expectConnection(t *testing.T, n *scripted.Node) {
	t.Helper()
	if event := channeltest.Await(t, n.ConnectionEvents, "a connection to the node"); event != scripted.ConnectionOpened {
		t.Fatalf("the node got connection event %q, want %q", event, scripted.ConnectionOpened)
	}
}

// expectStream waits for the next request that a control feed receives, which must ask for the events after last.
func expectStream(t *testing.T, feed *scripted.Feed, last string) {
	t.Helper()
	select {
	case got := <-feed.LastEventIDs:
		if got != last {
			t.Errorf("got a request for the events after %s, want those after %s", got, last)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("got no request within 10 s, want one for the events after %s", last)
	}
}

// expectNoMessage fails the test if the node has received a message of a type.
func expectNoMessage(t *testing.T, n *scripted.Node, unwanted nodebinary.Type) {
	t.Helper()
	for len(n.Received) > 0 {
		if m := <-n.Received; m.Type == unwanted {
			t.Errorf("the node got message %+v, want none of type %d", m, unwanted)
		}
	}
}

// client is the test's end of a connection from an owner.
type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// connect connects an owner. The connection is closed at the end of the test.
func (s *testScheduler) connect() *client {
	s.t.Helper()
	c := s.dial()
	s.t.Cleanup(func() { _ = c.conn.Close() })
	_ = c.conn.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// dial connects an owner. The test must close the connection.
func (s *testScheduler) dial() *client {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	return &client{s.t, conn, bufio.NewReader(conn)}
}

// send writes one message, to which it adds the newline.
func (c *client) send(format string, args ...any) {
	c.t.Helper()
	if _, err := fmt.Fprintf(c.conn, format+"\n", args...); err != nil {
		c.t.Fatal(err)
	}
}

// submit requests the placement of a task with a service of its own. moreExtras are appended to the field extras.
func (c *client) submit(task int, moreExtras ...string) {
	c.t.Helper()
	extras := fmt.Sprintf("cores:1;memory:1;service:s%d", task)
	for _, extra := range moreExtras {
		extras += ";" + extra
	}
	c.send(`{"type":"setup","id":"%016x","fields":{"class":"batch","left":"3000","key":"k%d","extras":%q},"sdp":"owner's"}`,
		task, task, extras)
}

// placeTask submits a task and checks that it is placed.
func (c *client) placeTask(task int) {
	c.t.Helper()
	c.submit(task)
	if r := c.expectReply("answer", task, 0); r.SDP != scripted.Description {
		c.t.Errorf("got response %+v, want the node's description %q", r, scripted.Description)
	}
}

// release sends a release of a task with a cause.
func (c *client) release(task, cause int) {
	c.t.Helper()
	c.send(`{"type":"release","id":"%016x","fields":{},"cause":%d}`, task, cause)
}

// reply is a message from the scheduler.
type reply struct {
	Type, ID, SDP string
	Cause         int
}

// readReply reads the next message from the scheduler.
func (c *client) readReply() (r reply) {
	c.t.Helper()
	line, err := c.reader.ReadBytes('\n')
	if err != nil {
		c.t.Fatal(err)
	}
	if err := json.Unmarshal(line, &r); err != nil {
		c.t.Fatalf("got line %s and error %v, want a message", line, err)
	}
	return r
}

// expectReply reads the next message from the scheduler and checks its type, task and cause.
func (c *client) expectReply(kind string, task, cause int) reply {
	c.t.Helper()
	r := c.readReply()
	if r.Type != kind || r.ID != fmt.Sprintf("%016x", task) || r.Cause != cause {
		c.t.Fatalf("got %+v, want a message of type %s for task %d with cause %d", r, kind, task, cause)
	}
	return r
}

// ping sends a health check and reports whether it passed.
func (c *client) ping() bool {
	c.t.Helper()
	c.send(`{"type":"ping","id":"%016x","fields":{},"cause":0}`, 1)
	return c.readReply().Cause == 1
}

// awaitClosed waits until the scheduler has closed the connection.
func (c *client) awaitClosed() {
	c.t.Helper()
	for {
		if _, err := c.reader.ReadByte(); err != nil {
			var netError net.Error
			if errors.As(err, &netError) && netError.Timeout() {
				c.t.Fatal("the connection is still open, want it closed")
			}
			return
		}
	}
}
