package transport

import (
	"context"
	"errors"
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

// echoHandler answers each line with itself, and passes the reason of its connection's close on.
type echoHandler struct {
	closed  chan error
	discard bool // leave the bytes unused
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

// newEchoHandler makes an echoHandler for a test that does not ask why its connection closes.
func newEchoHandler(*Conn) Handler { return &echoHandler{closed: make(chan error, 1)} }

// greetingHandler sends a line when its connection is open, and reports that something was received.
type greetingHandler struct{ received chan struct{} }

func (h *greetingHandler) Opened(c *Conn) { c.WriteInLoop([]byte("hello\n")) }

func (h *greetingHandler) Receive(_ *Conn, in []byte) (int, error) {
	h.received <- struct{}{}
	return len(in), nil
}

func (h *greetingHandler) Closed(*Conn, error) {}

// lineHandler passes on each line that it receives.
type lineHandler struct{ lines chan string }

func (h *lineHandler) Receive(_ *Conn, in []byte) (int, error) {
	i := strings.IndexByte(string(in), '\n')
	if i >= 0 {
		h.lines <- string(in[:i])
	}
	return i + 1, nil
}

func (h *lineHandler) Closed(*Conn, error) {}

// blockingHandler blocks the event loop in Receive, so that a test decides what the loop finds when it goes on.
type blockingHandler struct {
	echoHandler
	blocked chan struct{} // receives once the loop is blocked
	release chan struct{} // a value lets it go on
}

func newBlockingHandler() *blockingHandler {
	return &blockingHandler{echoHandler{closed: make(chan error, 1)}, make(chan struct{}), make(chan struct{})}
}

func (h *blockingHandler) Receive(_ *Conn, in []byte) (int, error) {
	h.blocked <- struct{}{}
	<-h.release
	return len(in), nil
}

// releaseDuringStop lets the event loop go on after a Stop that runs meanwhile has got as far as it can.
func (h *blockingHandler) releaseDuringStop() {
	for range 1000 {
		runtime.Gosched()
	}
	h.release <- struct{}{}
}

// openedHandler is an echoHandler that passes its connection on when it is open.
type openedHandler struct {
	echoHandler
	conns chan *Conn
}

func (h *openedHandler) Opened(c *Conn) { h.conns <- c }

// listen starts a server that the end of the test stops.
func listen(t *testing.T, options Options, newHandler func(c *Conn) Handler) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", options, newHandler)
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

// newDialer makes a dialer, and returns it with a function that stops it.
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

// accept makes a dialer that listens too. The test stops it.
func accept(t *testing.T, admit func(), newHandler func(c *Conn) Handler) (*Acceptor, func()) {
	t.Helper()
	d, stop := newDialer(t)
	a, err := d.Accept("127.0.0.1:0", admit, newHandler)
	if err != nil {
		t.Fatal(err)
	}
	return a, stop
}

// dial connects to addr until the end of the test.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
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
