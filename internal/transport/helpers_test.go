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

	"flaxshelf.example/flaxshelf/internal/channeltest"
)

func TestMain(m *testing.M) {
	// gnet starts these goroutines once and they run until the process ends.
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"),
		goleak.IgnoreTopFunction("github.com/panjf2000/gnet/v2/pkg/logging.init.0.func1"))
}

// errBadLine is the error of echoHandler for the line "bad".
var errBadLine = errors.New("bad line")

// echoHandler echoes each line and sends the close reason of its connection to closed.
type echoHandler struct {
	closed  chan error
	discard bool // Receive uses no bytes
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

// newEchoHandler returns an echoHandler for tests that don't check its close reason.
func newEchoHandler(*Conn) Handler { return &echoHandler{closed: make(chan error, 1)} }

// greetingHandler sends a line when its connection opens, and signals each receipt of bytes on received.
type greetingHandler struct{ received chan struct{} }

func (h *greetingHandler) Opened(c *Conn) { c.WriteInLoop([]byte("hello\n")) }

func (h *greetingHandler) Receive(_ *Conn, in []byte) (int, error) {
	h.received <- struct{}{}
	return len(in), nil
}

func (h *greetingHandler) Closed(*Conn, error) {}

// lineHandler sends each line that it receives to lines.
type lineHandler struct{ lines chan string }

func (h *lineHandler) Receive(_ *Conn, in []byte) (int, error) {
	i := strings.IndexByte(string(in), '\n')
	if i >= 0 {
		h.lines <- string(in[:i])
	}
	return i + 1, nil
}

func (h *lineHandler) Closed(*Conn, error) {}

// blockingHandler blocks the event loop in Receive, so that a test controls what is queued when the loop continues.
type blockingHandler struct {
	echoHandler
	blocked chan struct{} // Receive sends to it when it blocks the loop
	release chan struct{} // a value sent to it lets the loop continue
}

func newBlockingHandler() *blockingHandler {
	return &blockingHandler{echoHandler{closed: make(chan error, 1)}, make(chan struct{}), make(chan struct{})}
}

func (h *blockingHandler) Receive(_ *Conn, in []byte) (int, error) {
	channeltest.Hold(h.blocked, h.release)
	return len(in), nil
}

// releaseDuringStop lets the event loop continue, after it has yielded often enough for a concurrent Stop to reach the point
// where it waits for the loop.
func (h *blockingHandler) releaseDuringStop() {
	for range 1000 {
		runtime.Gosched()
	}
	h.release <- struct{}{}
}

// openedHandler is an echoHandler that sends its connection to conns when it opens.
type openedHandler struct {
	echoHandler
	conns chan *Conn
}

func (h *openedHandler) Opened(c *Conn) { h.conns <- c }

// listen starts a server at a free port. The server is stopped when the test ends.
func listen(t testing.TB, options Options, newHandler func(c *Conn) Handler) *Server {
	t.Helper()
	s := startServer(t, "127.0.0.1:0", options, newHandler)
	t.Cleanup(func() { stopServer(t, s) })
	return s
}

// startServer starts a server at addr. The caller must stop it.
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

// dial opens a connection to addr. The connection is closed when the test ends.
func dial(t testing.TB, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func writeText(t testing.TB, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatalf("write %q: %v", text, err)
	}
}

// expectText reads as many bytes as want has and compares them with it.
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

// expectReason waits until a connection closes and compares the close reason.
func expectReason(t *testing.T, closed <-chan error, want error) {
	t.Helper()
	if got := awaitReason(t, closed); !errors.Is(got, want) {
		t.Errorf("close reason: got %v, want %v", got, want)
	}
}

// awaitReason waits until a connection closes and returns the close reason.
func awaitReason(t *testing.T, closed <-chan error) error {
	t.Helper()
	select {
	case err := <-closed:
		return err
	case <-time.After(10 * time.Second):
		t.Fatal("the connection was not closed within 10 s")
		return nil
	}
}
