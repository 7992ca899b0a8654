package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
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

// errBadLine is the error of echoHandler for the line "bad".
var errBadLine = errors.New("bad line")

// echoHandler echoes each line, and reports the reason for the close of its connection.
type echoHandler struct {
	closed  chan error
	discard bool // use no bytes
}

func (h *echoHandler) Receive(c *Conn, in []byte) (int, error) {
	if h.discard {
		return 0, nil
	}
	i := strings.IndexByte(string(in), '\n')
	if i < 0 {
		return 0, nil
	}
	if string(in[:i]) == "bad" {
		return 0, errBadLine
	}
	c.WriteInLoop(append([]byte(nil), in[:i+1]...))
	return i + 1, nil
}

func (h *echoHandler) Closed(_ *Conn, reason error) { h.closed <- reason }

// newEchoHandler returns an echoHandler whose close reason is not read.
func newEchoHandler(*Conn) Handler { return &echoHandler{closed: make(chan error, 1)} }

// greetingHandler sends a line when its connection opens, and reports that bytes were received.
type greetingHandler struct{ received chan struct{} }

func (h *greetingHandler) Opened(c *Conn) { c.WriteInLoop([]byte("hello\n")) }

func (h *greetingHandler) Receive(_ *Conn, in []byte) (int, error) {
	h.received <- struct{}{}
	return len(in), nil
}

func (h *greetingHandler) Closed(*Conn, error) {}

// lineHandler reports each line that it receives.
type lineHandler struct{ lines chan string }

func (h *lineHandler) Receive(_ *Conn, in []byte) (int, error) {
	i := strings.IndexByte(string(in), '\n')
	if i >= 0 {
		h.lines <- string(in[:i])
	}
	return i + 1, nil
}

func (h *lineHandler) Closed(*Conn, error) {}

// blockingHandler blocks the event loop in Receive, so that a test determines what is queued when the loop continues.
type blockingHandler struct {
	echoHandler
	blocked chan struct{} // receives when the loop is blocked
	release chan struct{} // a value lets the loop continue
}

func newBlockingHandler() *blockingHandler {
	return &blockingHandler{echoHandler{closed: make(chan error, 1)}, make(chan struct{}), make(chan struct{})}
}

func (h *blockingHandler) Receive(_ *Conn, in []byte) (int, error) {
	h.blocked <- struct{}{}
	<-h.release
	return len(in), nil
}

// releaseDuringStop lets the event loop continue after a concurrent Stop has progressed as far as it can.
func (h *blockingHandler) releaseDuringStop() {
	for range 1000 {
		runtime.Gosched()
	}
	h.release <- struct{}{}
}

// openedHandler is an echoHandler that reports its connection when it opens.
type openedHandler struct {
	echoHandler
	conns chan *Conn
}

func (h *openedHandler) Opened(c *Conn) { h.conns <- c }

// listen starts a server at a free port, which the end of the test stops.
func listen(t testing.TB, options Options, newHandler func(c *Conn) Handler) *Server {
	t.Helper()
	s := startServer(t, "127.0.0.1:0", options, newHandler)
	t.Cleanup(func() { stopServer(t, s) })
	return s
}

// startServer starts a server at addr, which the test stops.
func startServer(t testing.TB, addr string, options Options, newHandler func(c *Conn) Handler) *Server {
	t.Helper()
	s, err := Listen(addr, options, newHandler)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func stopServer(t testing.TB, s *Server) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := s.Stop(ctx); err != nil {
		t.Error(err)
	}
}

// newDialer returns a dialer and a function that stops it.
func newDialer(t *testing.T) (d *Dialer, stop func()) {
	t.Helper()
	d, err := NewDialer(Options{})
	if err != nil {
		t.Fatal(err)
	}
	return d, func() {
		t.Helper()
		if err := d.Stop(); err != nil {
			t.Error(err)
		}
	}
}

// accept returns an acceptor of a new dialer, and a function that stops the dialer.
func accept(t *testing.T, admit func(), newHandler func(c *Conn) Handler) (*Acceptor, func()) {
	t.Helper()
	d, stop := newDialer(t)
	a, err := d.StartAcceptor("127.0.0.1:0", admit, newHandler)
	if err != nil {
		t.Fatal(err)
	}
	return a, stop
}

// dial opens a connection to addr, which the end of the test closes.
func dial(t testing.TB, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// writeText writes text to a connection.
func writeText(t testing.TB, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatalf("write %q: %v", text, err)
	}
}

// expectText reads the length of want from a connection and compares.
func expectText(t testing.TB, c net.Conn, want string) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(want))
	if n, err := io.ReadFull(c, got); err != nil || string(got) != want {
		t.Fatalf("read: got %q, %v, want %q", got[:n], err, want)
	}
}

// expectReason waits for the close of a connection and compares its reason.
func expectReason(t *testing.T, closed <-chan error, want error) {
	t.Helper()
	if got := awaitReason(t, closed); !errors.Is(got, want) {
		t.Errorf("close reason: got %v, want %v", got, want)
	}
}

// awaitReason waits for the reason of a close.
func awaitReason(t *testing.T, closed <-chan error) error {
	t.Helper()
	select {
	case err := <-closed:
		return err
	case <-time.After(10 * time.Second):
		t.Fatal("the connection was not closed")
		return nil
	}
}
