package recordproxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"flaxshelf.example/flaxshelf/internal/lab/recordproxy/tappb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// pipe is a client, a proxy and a party that listens.
type pipe struct {
	t      *testing.T
	out    bytes.Buffer
	rec    *Recorder
	p      *Proxy
	client net.Conn
	party  net.Conn
	l      net.Listener
}

func newPipe(t *testing.T) *pipe {
	t.Helper()
	x := &pipe{t: t}
	var err error
	if x.l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	x.rec = NewRecorder(&x.out, []byte("{}"))
	if x.p, err = NewProxy(x.rec, "node", "n", "", func() string { return x.l.Addr().String() }); err != nil {
		t.Fatal(err)
	}
	x.connect()
	return x
}

func (x *pipe) connect() {
	x.t.Helper()
	var err error
	if x.client, err = net.Dial("tcp", x.p.Addr()); err != nil {
		x.t.Fatal(err)
	}
	if x.party, err = x.l.Accept(); err != nil {
		x.t.Fatal(err)
	}
}

// end closes all and returns the recording, a word for each record.
func (x *pipe) end() string {
	x.t.Helper()
	_, _ = x.client.Close(), x.party.Close()
	x.p.Close()
	_ = x.l.Close()
	if err := x.rec.Close(); err != nil {
		x.t.Fatal(err)
	}
	r, err := NewReader(&x.out)
	if err != nil {
		x.t.Fatal(err)
	}
	var words []string
	arrow := func(back bool) string {
		if back {
			return "<"
		}
		return ">"
	}
	last := int64(0)
	for {
		rec, err := r.Next()
		if errors.Is(err, io.EOF) {
			return strings.Join(words, " ")
		}
		if err != nil {
			x.t.Fatal(err)
		}
		if rec.TimeNs < last {
			x.t.Error("times go back")
		}
		last = rec.TimeNs
		switch b := rec.Body.(type) {
		case *tappb.Record_Open:
			words = append(words, "open")
		case *tappb.Record_Sent:
			words = append(words, arrow(b.Sent.Back)+string(b.Sent.Data))
		case *tappb.Record_Delivered:
			words = append(words, strings.Repeat(arrow(b.Delivered.Back), int(b.Delivered.Bytes))+
				strings.Repeat("x", int(b.Delivered.Dropped)))
		case *tappb.Record_Close:
			words = append(words, "close")
		case *tappb.Record_Mark:
			words = append(words, "mark:"+b.Mark.What)
		}
	}
}

func (x *pipe) pass(from, to net.Conn, text string) {
	x.t.Helper()
	_, _ = io.WriteString(from, text)
	b := make([]byte, len(text))
	_ = to.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.ReadFull(to, b); err != nil || string(b) != text {
		x.t.Fatalf("%q, %v", b, err)
	}
}

// gone waits until the connection has ended.
func (x *pipe) gone(c net.Conn) string {
	x.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	b, err := io.ReadAll(c)
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		x.t.Fatal("the connection stands")
	}
	return string(b)
}

func TestPass(t *testing.T) {
	x := newPipe(t)
	x.pass(x.client, x.party, "ab")
	x.rec.Mark("m", "p")
	x.pass(x.party, x.client, "c")
	if got := x.end(); got != "open >ab >> mark:m <c < close" {
		t.Errorf("recorded %q", got)
	}
}

// Bytes that a stall keeps back are recorded when they come, and pass when it ends.
func TestStall(t *testing.T) {
	x := newPipe(t)
	x.p.Set(Fault{Stall: true})
	_, _ = io.WriteString(x.client, "a")
	_ = x.party.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := x.party.Read(make([]byte, 1)); err == nil {
		t.Error("it passed")
	}
	x.p.Set(Fault{})
	x.pass(x.client, x.party, "") // what was kept back comes first
	b := make([]byte, 1)
	_ = x.party.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.ReadFull(x.party, b); err != nil || b[0] != 'a' {
		t.Errorf("%q, %v", b, err)
	}
	x.end()
}

func TestFaults(t *testing.T) {
	x := newPipe(t)
	x.p.Set(Fault{Delay: 30 * time.Millisecond})
	began := time.Now()
	x.pass(x.client, x.party, "a")
	if time.Since(began) < 30*time.Millisecond {
		t.Error("it was not late")
	}
	x.p.Set(Fault{DropBack: true})
	_, _ = io.WriteString(x.party, "lost")
	for until := time.Now().Add(10 * time.Second); x.p.Dropped() < 4 && time.Now().Before(until); {
		time.Sleep(time.Millisecond) // nothing else tells that they have come
	}
	x.pass(x.client, x.party, "b")
	x.p.Set(Fault{CutBack: 2})
	_, _ = io.WriteString(x.party, "cut")
	if got := x.gone(x.client); got != "cu" {
		t.Errorf("before the cut came %q", got)
	}
	x.p.Set(Fault{})
	x.connect()
	x.pass(x.client, x.party, "c")
	x.p.Cut()
	x.gone(x.client)
	x.p.Set(Fault{Refuse: true})
	c, err := net.Dial("tcp", x.p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	x.gone(c)
	_ = c.Close()
	got := x.end()
	// The two ways of a connection run on goroutines of their own: each is in order, beside the other in any.
	way := func(skip string) string {
		var kept []string
		for _, w := range strings.Fields(got) {
			if !strings.Contains(skip, w[:1]) {
				kept = append(kept, w)
			}
		}
		return strings.Join(kept, " ")
	}
	if back := way(">o"); !strings.HasPrefix(back, "<lost xxxx <cut <<x close") {
		t.Errorf("recorded back %q", back)
	}
	if there := way("<x"); !strings.HasPrefix(there, "open >a > >b > close open >c > close") {
		t.Errorf("recorded there %q", there)
	}
}

// A recording that was cut off ends where it was cut; another file is none.
func TestReader(t *testing.T) {
	x := newPipe(t)
	x.pass(x.client, x.party, "abc")
	x.end()
	var b bytes.Buffer
	rec := NewRecorder(&b, []byte("{}"))
	rec.Mark("one", "")
	rec.Mark("two", "")
	_ = rec.Close()
	r, err := NewReader(bytes.NewReader(b.Bytes()[:b.Len()-2]))
	if err != nil {
		t.Fatal(err)
	}
	if m, err := r.Next(); err != nil || m.GetMark().What != "one" {
		t.Errorf("%v, %v", m, err)
	}
	if _, err := r.Next(); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
	for _, bad := range []string{"", "x", "\x02\x08\x01"} {
		if _, err := NewReader(strings.NewReader(bad)); err == nil {
			t.Errorf("%q was read", bad)
		}
	}
}
