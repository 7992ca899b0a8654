package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"flaxshelf.example/flaxshelf/internal/codec/nodeparam"
	"flaxshelf.example/flaxshelf/internal/lab/standin/scripted"
	"flaxshelf.example/flaxshelf/internal/replay"
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

// site is a scheduler with its control feed on loopback.
type site struct {
	t            *testing.T
	feed         *scripted.Feed
	path, tap    string
	addr         string
	stop, reload chan struct{}
	ended        chan error
	lost         ends
	hook         func(line string) // is given each line of the log by who writes it, also by the loop
}

// Write gives a line of the log to the hook and to lost.
func (s *site) Write(line []byte) (int, error) {
	if s.hook != nil {
		s.hook(string(line))
	}
	return s.lost.Write(line)
}

// ends has the log's lines on links that ended; those beyond its room are dropped.
type ends chan string

// Write takes one line of the log.
func (e ends) Write(line []byte) (int, error) {
	if strings.Contains(string(line), "the connection to the node has closed") {
		select {
		case e <- string(line):
		default:
		}
	}
	return len(line), nil
}

func newNode(t *testing.T, play scripted.Script) *scripted.Node {
	t.Helper()
	n, err := scripted.NewNode(play)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Die)
	return n
}

func feedServer(t *testing.T) *scripted.Feed {
	t.Helper()
	f, err := scripted.NewFeed()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// newSite starts a scheduler that knows nodes, and waits until it has called its feed.
func newSite(t *testing.T, nodes ...string) *site {
	t.Helper()
	return newSiteWith(t, testSettings, nodes...)
}

// newSiteWith is newSite with other settings.
func newSiteWith(t *testing.T, settings string, nodes ...string) *site {
	t.Helper()
	return hookedSite(t, nil, settings, nodes...)
}

// hookedSite is newSiteWith whose log, each message in it, goes through a hook: a test holds the loop or the owner of the core
// where it writes a line, and so decides what crosses what.
func hookedSite(t *testing.T, hook func(line string), settings string, nodes ...string) *site {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	s := &site{t: t, feed: feedServer(t), addr: ln.Addr().String(), stop: make(chan struct{}), reload: make(chan struct{}),
		ended: make(chan error, 1), lost: make(ends, 100), hook: hook, path: filepath.Join(dir, "config.json"), tap: filepath.Join(dir, "tap")}
	_ = ln.Close()
	s.write(s.feed, settings, nodes...)
	go func() {
		s.ended <- Run(Options{Config: s.path, Tap: s.tap, Log: zerolog.New(s)}, s.stop, s.reload)
	}()
	t.Cleanup(s.leave)
	<-s.feed.Calls
	return s
}

// placed is a site with one node that takes everything, and an owner whose task 2 stands there.
func placed(t *testing.T) (*site, *scripted.Node, *client) {
	t.Helper()
	n := newNode(t, scripted.Answers)
	s := newSite(t, scripted.Entry("s-1", n.Addr(), "active"))
	c := s.client()
	c.place(2)
	hear(t, n, nodeparam.SetUp)
	return s, n, c
}

// write writes the configuration.
func (s *site) write(feed *scripted.Feed, settings string, nodes ...string) {
	s.t.Helper()
	s.writeFeed(feed.Addr(), settings, nodes...)
}

// writeFeed is write with the address of a feed.
func (s *site) writeFeed(feed, settings string, nodes ...string) {
	s.t.Helper()
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1f","feed":%q,"limits":{"cores":0.5,"memory_mb":64,"sockets":128},
"known":{"n":1,"events":[%s]},"settings":%s}`, s.addr, feed, scripted.Event(1, true, nodes...), settings)
	if err := os.WriteFile(s.path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// leave asks the scheduler to go and checks that its steps are the module's alone.
func (s *site) leave() {
	s.t.Helper()
	select {
	case <-s.stop:
		return
	default:
		close(s.stop)
	}
	select {
	case err := <-s.ended:
		if err != nil {
			s.t.Error(err)
		}
	case <-time.After(10 * time.Second):
		s.t.Fatal("it did not go")
	}
	f, err := os.Open(s.tap)
	if err != nil {
		s.t.Fatal(err)
	}
	defer f.Close()
	if res, err := replay.Check(f); err != nil || res.Steps == 0 {
		s.t.Errorf("the recorded steps, played to the module alone: %+v, %v", res, err)
	}
}

// hear waits for the node's next message of a type.
func hear(t *testing.T, n *scripted.Node, want nodeparam.Type) nodeparam.Message {
	t.Helper()
	late := time.After(10 * time.Second)
	for {
		select {
		case m := <-n.Heard:
			if m.Type == want {
				return m
			}
		case <-late:
			t.Fatalf("the node never heard a message of type %d", want)
		}
	}
}

// unheard fails where the node has heard a message of a type.
func unheard(t *testing.T, n *scripted.Node, not nodeparam.Type) {
	t.Helper()
	for len(n.Heard) > 0 {
		if m := <-n.Heard; m.Type == not {
			t.Errorf("the node heard %+v", m)
		}
	}
}

// client is an owner's connection.
type client struct {
	t *testing.T
	c net.Conn
	r *bufio.Reader
}

func (s *site) client() *client {
	s.t.Helper()
	var c net.Conn
	var err error
	for range 500 {
		if c, err = net.Dial("tcp", s.addr); err == nil {
			break
		}
		time.Sleep(2 * time.Millisecond) // until it listens
	}
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &client{s.t, c, bufio.NewReader(c)}
}

func (c *client) send(format string, args ...any) {
	c.t.Helper()
	if _, err := fmt.Fprintf(c.c, format+"\n", args...); err != nil {
		c.t.Fatal(err)
	}
}

// setUp asks for task n, each of a service of its own; more is added to the extras.
func (c *client) setUp(n int, more ...string) {
	c.t.Helper()
	extras := fmt.Sprintf("cores:1;memory:1;service:s%d", n)
	for _, m := range more {
		extras += ";" + m
	}
	c.send(`{"type":"setup","id":"%016x","fields":{"class":"batch","left":"3000","key":"k%d","extras":%q},"sdp":"owner's"}`, n, n, extras)
}

func (c *client) place(n int) {
	c.t.Helper()
	c.setUp(n)
	if r := c.want("answer", n, 0); r.SDP != scripted.Description {
		c.t.Errorf("%+v: not the node's description", r)
	}
}

type reply struct {
	Type, ID, SDP string
	Cause         int
}

func (c *client) read() (r reply) {
	c.t.Helper()
	line, err := c.r.ReadBytes('\n')
	if err != nil {
		c.t.Fatal(err)
	}
	if err := json.Unmarshal(line, &r); err != nil {
		c.t.Fatalf("%s: %v", line, err)
	}
	return r
}

func (c *client) want(kind string, n, cause int) reply {
	c.t.Helper()
	r := c.read()
	if r.Type != kind || r.ID != fmt.Sprintf("%016x", n) || r.Cause != cause {
		c.t.Fatalf("%+v, want %s of %d with cause %d", r, kind, n, cause)
	}
	return r
}

// test sends a test and tells whether it was passed.
func (c *client) test() bool {
	c.t.Helper()
	c.send(`{"type":"ping","id":"%016x","fields":{},"cause":0}`, 1)
	return c.read().Cause == 1
}

// closed waits until the scheduler has closed the connection.
func (c *client) closed() {
	c.t.Helper()
	for {
		if _, err := c.r.ReadByte(); err != nil {
			if e, ok := err.(net.Error); ok && e.Timeout() {
				c.t.Fatal("the connection is open still")
			}
			return
		}
	}
}
