package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"flaxshelf.example/flaxshelf/internal/codec/nodeparam"
	"flaxshelf.example/flaxshelf/internal/replay"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"),
		goleak.IgnoreTopFunction("github.com/panjf2000/gnet/v2/pkg/logging.init.0.func1"))
}

// scripted is a node that does what a test says with each message that comes.
type scripted struct {
	ln     net.Listener
	mu     sync.Mutex
	conns  []net.Conn
	wg     sync.WaitGroup
	heard  chan nodeparam.Message
	conned chan string // each connection that came or went
}

func newNode(t *testing.T, addr string, do func(c net.Conn, m nodeparam.Message)) *scripted {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	n := &scripted{ln: ln, heard: make(chan nodeparam.Message, 1000), conned: make(chan string, 1000)}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n.mu.Lock()
			n.conns = append(n.conns, c)
			n.mu.Unlock()
			n.conned <- "came"
			n.wg.Add(1)
			go n.read(c, do)
		}
	}()
	t.Cleanup(n.die)
	return n
}

func (n *scripted) read(c net.Conn, do func(c net.Conn, m nodeparam.Message)) {
	defer n.wg.Done()
	var buf []byte
	piece := make([]byte, 4096)
	for {
		k, err := c.Read(piece)
		if err != nil {
			n.conned <- "went"
			return
		}
		buf = append(buf, piece[:k]...)
		for {
			m, used, err := nodeparam.Next(buf)
			if err != nil || used == 0 {
				break
			}
			buf = buf[used:]
			n.heard <- m
			do(c, m)
		}
	}
}

func (n *scripted) addr() string { return n.ln.Addr().String() }

// cut resets all connections.
func (n *scripted) cut() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	n.conns = nil
}

// die ends the process that it stands for.
func (n *scripted) die() {
	_ = n.ln.Close()
	n.cut()
	n.wg.Wait()
}

func (n *scripted) next(t *testing.T, want nodeparam.Type) nodeparam.Message {
	t.Helper()
	late := time.After(10 * time.Second)
	for {
		select {
		case m := <-n.heard:
			if m.Type == want {
				return m
			}
		case <-late:
			t.Fatalf("the node never heard a message of type %d", want)
		}
	}
}

func say(c net.Conn, m nodeparam.Message) {
	b, err := nodeparam.Append(nil, &m)
	if err == nil {
		_, _ = c.Write(b)
	}
}

// answers is a node that takes everything.
func answers(c net.Conn, m nodeparam.Message) {
	switch m.Type {
	case nodeparam.SetUp:
		say(c, nodeparam.Message{Type: nodeparam.Answer, Task: m.Task, Cause: -1, Description: "node's\r\n", Described: true})
	case nodeparam.Release:
		say(c, nodeparam.Message{Type: nodeparam.Release, Task: m.Task, Cause: 31})
	}
}

// feedServer is a control feed whose events a test writes.
type feedServer struct {
	ln     net.Listener
	srv    *http.Server
	mu     sync.Mutex
	events []string
	more   chan struct{}
	calls  chan string // the Last-Event-ID of each
	break_ chan struct{}
	again  chan int // the number of an event to write once more
}

func newFeedServer(t *testing.T) *feedServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &feedServer{ln: ln, more: make(chan struct{}, 100), calls: make(chan string, 100), break_: make(chan struct{}), again: make(chan int)}
	f.srv = &http.Server{Handler: http.HandlerFunc(f.serve)}
	go func() { _ = f.srv.Serve(ln) }()
	t.Cleanup(func() { _ = f.srv.Close() })
	return f
}

func (f *feedServer) serve(w http.ResponseWriter, r *http.Request) {
	f.calls <- r.Header.Get("Last-Event-ID")
	var last int
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-ID"), &last)
	beat := time.NewTicker(time.Second)
	defer beat.Stop()
	for {
		f.mu.Lock()
		for ; last < len(f.events)+1; last++ { // event 1 is the configuration's
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", last+1, f.events[last-1])
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", last+1, f.events[last-1]) // twice, as happens
		}
		f.mu.Unlock()
		_ = http.NewResponseController(w).Flush()
		select {
		case <-f.more:
		case <-beat.C:
			fmt.Fprint(w, ": still here\n\n")
		case k := <-f.again:
			f.mu.Lock()
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", k, f.events[k-2])
			f.mu.Unlock()
		case <-f.break_:
			fmt.Fprint(w, "id: 99\ndata: {\"n\":99,\"mem") // half an event
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (f *feedServer) tell(full bool, servers ...string) {
	f.mu.Lock()
	f.events = append(f.events, event(len(f.events)+2, full, servers...))
	f.mu.Unlock()
	f.more <- struct{}{}
}

func event(n int, full bool, servers ...string) string {
	return fmt.Sprintf(`{"n":%d,"members":{"version":%d,"full":%v,"servers":[%s]}}`, n, n, full, strings.Join(servers, ","))
}

func server(id, addr, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"east","kind":"std","cell":1,"state":%q,"weight":1,"started_ms":0}`, id, addr, state)
}

const settings = `{"index":0,"balancers":1,"zone":"east","kinds":["std"],"discovery":"pushed","round_ns":2000000,
"caps":{"cancel":true,"most_tries":3,"connect_timeout_ns":250000000},"obligations":{"stop_sending_within_ns":2000000000},
"categories":[{"name":"batch","effect":"read_like","objective_ns":600000000,"worth":3.0}],
"specifics":{"kind_cores":[32],"mem_of_kind":[64],"admit_cores":1.5,"memory_multiple":1.5}}`

// site is a scheduler with its feed on loopback.
type site struct {
	t      *testing.T
	feed   *feedServer
	path   string
	tap    string
	addr   string
	stop   chan struct{}
	reload chan struct{}
	ended  chan error
}

func newSite(t *testing.T, servers ...string) *site {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &site{t: t, feed: newFeedServer(t), addr: ln.Addr().String(), stop: make(chan struct{}), reload: make(chan struct{}),
		ended: make(chan error, 1)}
	_ = ln.Close()
	dir := t.TempDir()
	s.path, s.tap = filepath.Join(dir, "config.json"), filepath.Join(dir, "tap")
	s.write(s.feed.ln.Addr().String(), servers...)
	go func() {
		s.ended <- Run(Options{Config: s.path, Tap: s.tap, Log: zerolog.Nop()}, s.stop, s.reload)
	}()
	t.Cleanup(s.leave)
	<-s.feed.calls
	return s
}

func (s *site) write(feed string, servers ...string) {
	s.t.Helper()
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1f","feed":%q,"limits":{"cores":0.5,"memory_mb":64,"sockets":128},
"known":{"n":1,"events":[%s]},"settings":%s}`, s.addr, feed, event(1, true, servers...), settings)
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

func (c *client) setUp(n int) {
	c.t.Helper()
	c.send(`{"type":"setup","id":"%016x","fields":{"class":"batch","left":"3000","key":"k%d","extras":"cores:1;memory:1;service:s"},"sdp":"owner's"}`, n, n)
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

// The whole path: a test is passed, a set-up is answered with the node's own description, the end comes back, an owner
// ends what stands, and the node hears what the platform says it hears.
func TestPath(t *testing.T) {
	n := newNode(t, "127.0.0.1:0", answers)
	s := newSite(t, server("s-1", n.addr(), "active"))
	c := s.client()
	c.send(`{"type":"ping","id":"%016x","fields":{},"cause":0}`, 1)
	c.want("pong", 1, 1)
	c.setUp(2)
	if m := n.next(t, nodeparam.SetUp); m.Task != 2 || m.Class != "batch" || m.Key != "k2" || m.Description != "owner's" || m.Left == "" {
		t.Errorf("%+v", m)
	}
	if r := c.want("answer", 2, 0); r.SDP != "node's\r\n" {
		t.Errorf("%+v", r)
	}
	n.mu.Lock()
	say(n.conns[0], nodeparam.Message{Type: nodeparam.Release, Task: 2, Cause: 16})
	n.mu.Unlock()
	c.want("release", 2, 16)
	c.setUp(3)
	c.want("answer", 3, 0)
	c.send(`{"type":"release","id":"%016x","fields":{},"cause":31}`, 3)
	if m := n.next(t, nodeparam.Release); m.Task != 3 {
		t.Errorf("%+v", m)
	}
}

// What stood before a start comes back by set-ups that carry at, which are not answered; the node is not asked again, its
// word of the end reaches the owner, and a set-up for what is held already changes nothing.
func TestHandedOver(t *testing.T) {
	n := newNode(t, "127.0.0.1:0", answers)
	s := newSite(t, server("s-1", n.addr(), "active"))
	c := s.client()
	for range 2 {
		c.send(`{"type":"setup","id":"%016x","fields":{"class":"batch","left":"0","key":"k","extras":"cores:1;memory:1;service:s;at:s-1"},"sdp":"d"}`, 7)
	}
	c.send(`{"type":"ping","id":"%016x"}`, 1)
	c.want("pong", 1, 1)
	c.setUp(8)
	c.want("answer", 8, 0)
	if m := n.next(t, nodeparam.SetUp); m.Task != 8 {
		t.Errorf("%+v", m)
	}
	n.mu.Lock()
	say(n.conns[0], nodeparam.Message{Type: nodeparam.Release, Task: 7, Cause: 41, Word: "oom"})
	n.mu.Unlock()
	c.want("release", 7, 41)
}

// Spoilt bytes end a connection to a node; the set-up goes elsewhere, and is answered.
func TestSpoiltAnswers(t *testing.T) {
	n := newNode(t, "127.0.0.1:0", func(c net.Conn, m nodeparam.Message) {
		if m.Type == nodeparam.SetUp {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n"))
		}
	})
	s := newSite(t, server("s-1", n.addr(), "active"))
	c := s.client()
	c.setUp(2)
	n.next(t, nodeparam.SetUp)
	good := newNode(t, "127.0.0.1:0", answers)
	s.feed.tell(false, server("s-2", good.addr(), "active"))
	if r := c.want("answer", 2, 0); r.SDP != "node's\r\n" {
		t.Errorf("%+v", r)
	}
}

// A connection on which half a message stays is ended before a newer one is made, though no set-up waits on it: else
// what follows would be swallowed. A link that is merely doubted is replaced the other way round.
func TestHalfAMessage(t *testing.T) {
	n := newNode(t, "127.0.0.1:0", func(c net.Conn, m nodeparam.Message) {
		answers(c, m)
		if m.Type == nodeparam.SetUp {
			_, _ = c.Write([]byte("\x00\x40\x0c\x00"))
		}
	})
	s := newSite(t, server("s-1", n.addr(), "active"))
	c := s.client()
	c.setUp(2)
	c.want("answer", 2, 0)
	if got := <-n.conned; got != "came" {
		t.Fatal(got)
	}
	for _, want := range []string{"went", "came"} {
		if got := <-n.conned; got != want {
			t.Errorf("a connection %s, want one that %s", got, want)
		}
	}
}

// A node that dies has cut what stood there: owners hear at once.
func TestNodeDies(t *testing.T) {
	n := newNode(t, "127.0.0.1:0", answers)
	s := newSite(t, server("s-1", n.addr(), "active"))
	c := s.client()
	c.setUp(2)
	c.want("answer", 2, 0)
	n.die()
	c.want("release", 2, 41)
}

// The feed's word is taken once, half an event is dropped, and after a break the feed is asked from where it broke.
func TestFeedBreaks(t *testing.T) {
	s := newSite(t)
	n, other := newNode(t, "127.0.0.1:0", answers), newNode(t, "127.0.0.1:0", answers)
	s.feed.tell(false, server("s-1", n.addr(), "active"))
	c := s.client()
	c.setUp(2)
	c.want("answer", 2, 0)
	n.next(t, nodeparam.SetUp)
	s.feed.break_ <- struct{}{}
	if last := <-s.feed.calls; last != "2" {
		t.Errorf("asked from %s", last)
	}
	s.feed.tell(false, server("s-1", n.addr(), "left"))
	c.want("release", 2, 41)
	s.feed.again <- 2 // the node is active, by an event that is old
	s.feed.tell(false, server("s-2", other.addr(), "active"))
	for i := range 8 {
		c.send(`{"type":"setup","id":"%016x","fields":{"class":"batch","left":"3000","key":"k%d","extras":"cores:1;memory:1;service:s%d"},"sdp":"x"}`,
			3+i, i, i)
		c.want("answer", 3+i, 0)
	}
	for len(n.heard) > 0 {
		if m := <-n.heard; m.Type == nodeparam.SetUp {
			t.Error("an old event was taken again")
		}
	}
	other.next(t, nodeparam.SetUp)
}

// A new configuration names another feed, whose numbers go on; what it knows that is older than the feed's last word
// changes nothing, nor does a broken file.
func TestReload(t *testing.T) {
	n, old := newNode(t, "127.0.0.1:0", answers), newNode(t, "127.0.0.1:0", answers)
	s := newSite(t, server("s-1", old.addr(), "active"))
	s.feed.tell(true, server("s-2", n.addr(), "active"))
	c := s.client()
	c.setUp(2)
	c.want("answer", 2, 0)
	if err := os.WriteFile(s.path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	s.reload <- struct{}{}
	c.send(`{"type":"ping","id":"%016x"}`, 1)
	c.want("pong", 1, 1)
	other := newFeedServer(t)
	s.write(other.ln.Addr().String(), server("s-1", old.addr(), "active"))
	s.reload <- struct{}{}
	if last := <-other.calls; last != "2" {
		t.Errorf("asked from %s", last)
	}
	for i := range 4 {
		c.setUp(3 + i)
		c.want("answer", 3+i, 0)
	}
	for len(old.heard) > 0 {
		if m := <-old.heard; m.Type == nodeparam.SetUp && m.Task > 2 {
			t.Error("the list of the file took the place of the feed's")
		}
	}
}

// Asked to leave it fails its tests, serves what still comes, on new connections too, answers all and goes.
func TestLeave(t *testing.T) {
	n := newNode(t, "127.0.0.1:0", answers)
	s := newSite(t, server("s-1", n.addr(), "active"))
	c := s.client()
	c.setUp(2)
	c.want("answer", 2, 0)
	close(s.stop)
	late := s.client()
	for c.send(`{"type":"ping","id":"%016x"}`, 1); c.read().Cause != 0; c.send(`{"type":"ping","id":"%016x"}`, 1) {
	}
	late.setUp(3)
	late.want("answer", 3, 0)
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
	select {
	case m := <-n.heard:
		for m.Type == nodeparam.SetUp && len(n.heard) > 0 {
			m = <-n.heard
		}
		if m.Type == nodeparam.Release {
			t.Error("what stood was cut")
		}
	default:
	}
}

// Bad clients hear a refusal or a close, none is ever answered as placed, and an owner beside them is served.
func TestBadClients(t *testing.T) {
	n := newNode(t, "127.0.0.1:0", answers)
	s := newSite(t, server("s-1", n.addr(), "active"))
	usual := s.client()
	usual.setUp(2)
	usual.want("answer", 2, 0)
	for _, bytes := range []string{"\x16\x03\x01\n", "{\n", strings.Repeat("x", 1<<20), `{"type":"setup","id":"7"}` + "\n"} {
		c := s.client()
		_, _ = c.c.Write([]byte(bytes)) // the scheduler may close before all is written
		c.closed()
	}
	c := s.client()
	for range 4 {
		c.send(`{"type":"setup","id":"%016x","fields":{"class":"odd","left":"1000"},"sdp":"x"}`, 9)
	}
	c.want("release", 9, 47)
	c.closed()
	silent := s.client()
	var flood []*client
	for range 100 {
		flood = append(flood, s.client())
	}
	usual.setUp(3)
	usual.want("answer", 3, 0)
	silent.closed()
	for _, c := range flood {
		c.closed()
	}
	if len(n.heard) > 2 {
		t.Errorf("%d messages came to the node", len(n.heard))
	}
}

func TestBadConfiguration(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.json")
	if err := os.WriteFile(path, []byte(`{"listen":"127.0.0.1:0"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := Run(Options{Config: path}, nil, nil); err == nil || !strings.Contains(err.Error(), "field feed") {
		t.Errorf("%v", err)
	}
}
