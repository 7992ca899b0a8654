package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	// gnet keeps a pool of workers for the process.
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"),
		goleak.IgnoreTopFunction("github.com/panjf2000/gnet/v2/pkg/logging.init.0.func1"))
}

// echo answers each line with itself, and tells when it has closed.
type echo struct {
	closed chan error
	hold   bool // leave what comes unused
}

func (e *echo) Receive(c *Conn, in []byte) (int, error) {
	if e.hold {
		return 0, nil
	}
	i := strings.IndexByte(string(in), '\n')
	if i < 0 {
		return 0, nil
	}
	if string(in[:i]) == "bad" {
		return 0, errors.New("bad line")
	}
	c.WriteInLoop(append([]byte(nil), in[:i+1]...))
	return i + 1, nil
}

func (e *echo) Closed(_ *Conn, why error) { e.closed <- why }

func listen(t *testing.T, opt Options, peer func(c *Conn) Handler) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", opt, peer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := s.Stop(ctx); err != nil {
			t.Error(err)
		}
	})
	return s
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func why(t *testing.T, closed chan error) error {
	t.Helper()
	select {
	case err := <-closed:
		return err
	case <-time.After(10 * time.Second):
		t.Fatal("it was not closed")
		return nil
	}
}

// Partial input is kept; several messages in one read are all taken; what the peer says is told.
func TestEcho(t *testing.T) {
	closed := make(chan error, 1)
	s := listen(t, Options{}, func(*Conn) Handler { return &echo{closed: closed} })
	c := dial(t, s)
	for _, part := range []string{"o", "ne\ntw", "o\nthree\n"} {
		if _, err := io.WriteString(c, part); err != nil {
			t.Fatal(err)
		}
	}
	b := make([]byte, len("one\ntwo\nthree\n"))
	if _, err := io.ReadFull(c, b); err != nil || string(b) != "one\ntwo\nthree\n" {
		t.Errorf("%q, %v", b, err)
	}
	_ = c.Close()
	if err := why(t, closed); !errors.Is(err, ErrPeerClosed) {
		t.Error(err)
	}
}

// Each way in which this side ends a connection is told with its reason.
func TestCutOffs(t *testing.T) {
	for _, c := range []struct {
		name string
		opt  Options
		hold bool
		do   func(t *testing.T, c net.Conn, at *Conn)
		want string
	}{
		{"idle", Options{IdleTimeout: 50 * time.Millisecond}, false, func(*testing.T, net.Conn, *Conn) {}, ErrIdleTimeout.Error()},
		{"too much", Options{MaxReadBuffer: 1000}, true, func(t *testing.T, c net.Conn, _ *Conn) {
			_, _ = c.Write(make([]byte, 5000))
		}, ErrReadBufferFull.Error()},
		{"bad", Options{}, false, func(t *testing.T, c net.Conn, _ *Conn) {
			_, _ = io.WriteString(c, "bad\n")
		}, "bad line"},
		{"does not read", Options{MaxWriteQueue: 1 << 16}, false, func(t *testing.T, _ net.Conn, at *Conn) {
			for at.Send(make([]byte, 1<<14)) && !at.IsClosed() {
			}
		}, ErrSlowReader.Error()},
		{"our wish", Options{}, false, func(t *testing.T, _ net.Conn, at *Conn) { at.Close(ErrStopping) }, ErrStopping.Error()},
	} {
		t.Run(c.name, func(t *testing.T) {
			closed, conns := make(chan error, 1), make(chan *Conn, 1)
			s := listen(t, c.opt, func(x *Conn) Handler { conns <- x; return &echo{closed: closed, hold: c.hold} })
			k := dial(t, s)
			c.do(t, k, <-conns)
			if err := why(t, closed); !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v, want %s", err, c.want)
			}
		})
	}
}

// Keep lifts the idle time-out.
func TestKeep(t *testing.T) {
	closed := make(chan error, 1)
	s := listen(t, Options{IdleTimeout: 30 * time.Millisecond}, func(c *Conn) Handler { c.DisableIdleTimeout(); return &echo{closed: closed} })
	c := dial(t, s)
	select {
	case err := <-closed:
		t.Errorf("closed: %v", err)
	case <-time.After(150 * time.Millisecond):
	}
	_, _ = io.WriteString(c, "x\n")
	b := make([]byte, 2)
	if _, err := io.ReadFull(c, b); err != nil {
		t.Error(err)
	}
}

// A slow reader does not hold up another connection of the same loop.
func TestSlowReaderAlone(t *testing.T) {
	conns := make(chan *Conn, 2)
	s := listen(t, Options{MaxWriteQueue: 64 << 20}, func(c *Conn) Handler { conns <- c; return &echo{closed: make(chan error, 1)} })
	dial(t, s)
	slow := <-conns
	other := dial(t, s)
	<-conns
	for range 32 {
		slow.Send(make([]byte, 1<<20))
	}
	_ = other.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(other, "x\n")
	if _, err := io.ReadFull(other, make([]byte, 2)); err != nil {
		t.Error(err)
	}
}

// client counts what a link's connections say.
type client struct {
	mu    sync.Mutex
	lines []string
	got   chan struct{}
}

func (p *client) Opened(c *Conn) { c.WriteInLoop([]byte("hello\n")) }

func (p *client) Receive(_ *Conn, in []byte) (int, error) {
	p.mu.Lock()
	p.lines = append(p.lines, string(in))
	p.mu.Unlock()
	p.got <- struct{}{}
	return len(in), nil
}

func (p *client) Closed(*Conn, error) {}

// A link connects, is told when its connection is gone, and connects anew when the other side is back.
func TestLink(t *testing.T) {
	d, err := NewDialer(Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := d.Stop(); err != nil {
			t.Error(err)
		}
	}()
	server := func(addr string) *Server {
		s, err := Listen(addr, Options{}, func(*Conn) Handler { return &echo{closed: make(chan error, 1)} })
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	stop := func(s *Server) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = s.Stop(ctx)
	}
	s := server("127.0.0.1:0")
	addr := s.Addr()
	p := &client{got: make(chan struct{}, 100)}
	downs := make(chan error, 100)
	d.Link(addr, time.Second, Backoff{Initial: time.Millisecond, Max: 20 * time.Millisecond},
		func() Handler { return p }, func(err error) { downs <- err })
	wait := func(what string, c <-chan struct{}) {
		t.Helper()
		select {
		case <-c:
		case <-time.After(10 * time.Second):
			t.Fatal(what)
		}
	}
	wait("no answer", p.got)
	stop(s)
	why(t, downs)
	if err := why(t, downs); err == nil || !strings.Contains(err.Error(), "connect") {
		t.Errorf("told %v", err)
	}
	s = server(addr)
	defer stop(s)
	wait("no answer from the one that came back", p.got)
}

// Waits double up to the most, with jitter, and never overflow.
func TestBackoff(t *testing.T) {
	b := Backoff{Initial: 10 * time.Millisecond, Max: time.Second}
	for n := range 100 {
		w := b.wait(n)
		if w > time.Second || w < 5*time.Millisecond || n > 20 && w < 500*time.Millisecond {
			t.Errorf("after %d failures: %v", n, w)
		}
	}
}

func TestBadAddresses(t *testing.T) {
	for _, a := range []string{"", "nonsense", "127.0.0.1:99999", "256.0.0.1:1"} {
		if s, err := Listen(a, Options{}, nil); err == nil {
			_ = s.Stop(context.Background())
			t.Errorf("%q was taken", a)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if s, err := Listen(l.Addr().String(), Options{}, func(*Conn) Handler { return nil }); err == nil {
		_ = s.Stop(context.Background())
		t.Error("a port in use was taken")
	}
}

func BenchmarkEcho(b *testing.B) {
	s, err := Listen("127.0.0.1:0", Options{}, func(*Conn) Handler { return &echo{closed: make(chan error, 1)} })
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = s.Stop(context.Background()) }()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	buf := make([]byte, 64)
	for b.Loop() {
		fmt.Fprintln(c, "0123456789")
		if _, err := io.ReadFull(c, buf[:11]); err != nil {
			b.Fatal(err)
		}
	}
}

// An acceptor outlives the want of descriptors: what connects meanwhile waits, and is served when some come free.
func TestAcceptWithoutDescriptors(t *testing.T) {
	d, err := NewDialer(Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := d.Stop(); err != nil {
			t.Error(err)
		}
	}()
	let, closed := make(chan struct{}), make(chan error, 1)
	a, err := d.Accept("127.0.0.1:0", func() { <-let }, func(*Conn) Handler { return &echo{closed: closed} })
	if err != nil {
		t.Fatal(err)
	}
	defer a.Stop()
	c, err := net.Dial("tcp", a.Addr()) // it waits in the listener's queue
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write([]byte("hello\n")); err != nil {
		t.Fatal(err)
	}
	var was syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	few := was
	few.Cur = 256
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &few); err != nil {
		t.Fatal(err)
	}
	defer syscall.Setrlimit(syscall.RLIMIT_NOFILE, &was)
	var held []int
	for {
		fd, err := syscall.Open("/dev/null", syscall.O_RDONLY|syscall.O_CLOEXEC, 0)
		if err != nil {
			break
		}
		held = append(held, fd)
	}
	close(let)
	_ = c.SetReadDeadline(time.Now().Add(5 * acceptPause))
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("served without a descriptor")
	}
	for _, fd := range held {
		_ = syscall.Close(fd)
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	b := make([]byte, 6)
	if _, err := io.ReadFull(c, b); err != nil || string(b) != "hello\n" {
		t.Fatalf("%q, %v", b, err)
	}
	_ = c.Close()
	<-closed
}

// Parts of an outbox that are late at their write are dropped and told, what stands between them is written in order;
// without a connection all of them are late.
func TestOutboxDropsLateParts(t *testing.T) {
	closed := make(chan error, 1)
	s := listen(t, Options{}, func(*Conn) Handler { return &echo{closed: closed} })
	d, err := NewDialer(Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop()
	got := make(chan string, 10)
	c, err := d.Dial(context.Background(), s.Addr(), time.Second, &collect{got})
	if err != nil {
		t.Fatal(err)
	}
	for _, round := range []struct {
		inTime, wanted bool
		want           string
		dropped        int
	}{{true, true, "abcd", 0}, {false, true, "ad", 2}, {true, false, "acd", 1}} {
		inTime := round.inTime
		var o Outbox
		late := make(chan string, 10)
		put := func(text string, timed bool) {
			encode := func(b []byte) ([]byte, error) { return append(b, text+"\n"...), nil }
			if !timed {
				_ = o.Put(encode)
			} else if err := o.PutExpiring(encode, func() bool { return round.wanted || text != "b" }, func() { late <- text }); err != nil {
				t.Fatal(err)
			}
		}
		put("a", false)
		put("b", true)
		put("c", true)
		put("d", false)
		o.Flush(c, func() bool { return inTime })
		for _, w := range round.want {
			if line := <-got; line != string(w) {
				t.Errorf("%+v: %q came, want %q", round, line, w)
			}
		}
		if len(late) != round.dropped || !o.Empty() {
			t.Errorf("%+v: %d told late", round, len(late))
		}
		put("e", true)
		if o.Flush(nil, func() bool { return true }); len(late) != round.dropped+1 {
			t.Error("without a connection nothing was told late")
		}
	}
}

// collect passes on each line that comes.
type collect struct{ got chan string }

func (p *collect) Receive(_ *Conn, in []byte) (int, error) {
	i := strings.IndexByte(string(in), '\n')
	if i >= 0 {
		p.got <- string(in[:i])
	}
	return i + 1, nil
}

func (p *collect) Closed(*Conn, error) {}

// blocker is a peer whose Receive waits, so that a test decides what the loop finds when it goes on.
type blocker struct {
	echo
	in, out chan struct{}
}

func (b *blocker) Receive(_ *Conn, in []byte) (int, error) {
	b.in <- struct{}{}
	<-b.out
	return len(in), nil
}

// opener is a peer that tells of its connection when it is open.
type opener struct {
	echo
	conns chan *Conn
}

func (o *opener) Opened(c *Conn) { o.conns <- c }

// accepting is a dialer that listens too.
func accepting(t *testing.T, admit func(), peer func(c *Conn) Handler) (*Dialer, *Acceptor) {
	t.Helper()
	d, err := NewDialer(Options{})
	if err != nil {
		t.Fatal(err)
	}
	a, err := d.Accept("127.0.0.1:0", admit, peer)
	if err != nil {
		t.Fatal(err)
	}
	return d, a
}

// What was sent before the end reaches each peer, though the loop was busy, and the engine's end overtakes what waits in its
// queue behind the first 1,024.
func TestLastWordsArrive(t *testing.T) {
	const all = 1200
	opened, b := make(chan *Conn, all), &blocker{echo{closed: make(chan error, 1)}, make(chan struct{}), make(chan struct{})}
	n := 0
	d, a := accepting(t, func() {}, func(*Conn) Handler {
		if n++; n > all {
			return b
		}
		return &opener{echo{closed: make(chan error, 1)}, opened}
	})
	var peers []net.Conn
	for range all + 1 {
		c, err := net.Dial("tcp", a.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		peers = append(peers, c)
	}
	var conns []*Conn
	for range all {
		conns = append(conns, <-opened)
	}
	_, _ = io.WriteString(peers[all], "busy")
	<-b.in // the loop is held
	for _, c := range conns {
		c.Send([]byte("last words"))
	}
	a.Stop()
	go func() {
		for range 1000 { // Stop gets as far as it can
			runtime.Gosched()
		}
		b.out <- struct{}{}
	}()
	if err := d.Stop(); err != nil {
		t.Error(err)
	}
	for _, c := range peers[:all] {
		if got, err := io.ReadAll(c); err != nil || string(got) != "last words" {
			t.Fatalf("%q, %v", got, err)
		}
	}
}

// Our side ends after what was queued, and what the peer says until it has closed too is read.
func TestCloseWrite(t *testing.T) {
	conns, closed := make(chan *Conn, 1), make(chan error, 1)
	d, a := accepting(t, func() {}, func(*Conn) Handler { return &opener{echo{closed: closed}, conns} })
	c, err := net.Dial("tcp", a.Addr())
	if err != nil {
		t.Fatal(err)
	}
	conn, big := <-conns, strings.Repeat("x", 4<<20)
	conn.Send([]byte(big))
	conn.CloseWrite()
	if got, err := io.ReadAll(c); err != nil || string(got) != big {
		t.Errorf("%d bytes, %v", len(got), err)
	}
	if _, err := io.WriteString(c, "heard still\n"); err != nil {
		t.Error(err)
	}
	_ = c.Close()
	if err := why(t, closed); !errors.Is(err, ErrPeerClosed) {
		t.Error(err)
	}
	a.Stop()
	if err := d.Stop(); err != nil {
		t.Error(err)
	}
}

// A connection that waits in the listener's queue when listening ends is taken, with what was written on it.
func TestDrainTakesTheQueue(t *testing.T) {
	slots, closed := make(chan struct{}), make(chan error, 2)
	d, a := accepting(t, func() { slots <- struct{}{} }, func(*Conn) Handler { return &echo{closed: closed} })
	var all []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", a.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, "ask\n")
		all = append(all, c)
	}
	a.Drain()
	go func() {
		for range slots {
		}
	}()
	<-slots
	for _, c := range all {
		b := make([]byte, 4)
		if _, err := io.ReadFull(c, b); err != nil || string(b) != "ask\n" {
			t.Errorf("%q, %v", b, err)
		}
	}
	<-a.Done()
	if err := d.Stop(); err != nil {
		t.Error(err)
	}
	close(slots)
}

// What is sent on a connection keeps its order, however much waits for a busy loop, and all of it reaches the peer though
// the engine is stopped right behind it.
func TestOrderUnderLoad(t *testing.T) {
	conns, b := make(chan *Conn, 1), &blocker{echo{closed: make(chan error, 1)}, make(chan struct{}), make(chan struct{})}
	d, a := accepting(t, func() {}, func(c *Conn) Handler { conns <- c; return b })
	c, err := net.Dial("tcp", a.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, "busy")
	<-b.in // the loop is held
	conn, want := <-conns, strings.Builder{}
	const all = 5000
	for i := range all {
		line := fmt.Sprintf("%d\n", i)
		want.WriteString(line)
		conn.Send([]byte(line))
	}
	a.Stop()
	go func() {
		for range 1000 { // Stop gets as far as it can
			runtime.Gosched()
		}
		b.out <- struct{}{}
	}()
	if err := d.Stop(); err != nil {
		t.Error(err)
	}
	if got, err := io.ReadAll(c); err != nil || string(got) != want.String() {
		t.Errorf("%d bytes of %d, %v, in order: %v", len(got), want.Len(), err, strings.HasPrefix(want.String(), string(got)))
	}
}

// Two goroutines may send beside a loop that works: each one's messages keep their order.
func TestOrderBesideTheLoop(t *testing.T) {
	conns := make(chan *Conn, 1)
	d, a := accepting(t, func() {}, func(*Conn) Handler { return &opener{echo{closed: make(chan error, 1)}, conns} })
	c, err := net.Dial("tcp", a.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	conn := <-conns
	const all = 20000
	go func() {
		for i := range all {
			conn.Send(fmt.Appendf(nil, "%d\n", i))
		}
		conn.CloseWrite()
	}()
	got, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	for i, line := range strings.Split(strings.TrimSpace(string(got)), "\n") {
		if line != fmt.Sprint(i) {
			t.Fatalf("line %d is %q", i, line)
		}
	}
	_ = c.Close()
	a.Stop()
	if err := d.Stop(); err != nil {
		t.Error(err)
	}
}
