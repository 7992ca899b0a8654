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
	"google.golang.org/protobuf/encoding/protodelim"

	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy/recordingpb"
)

// TestMain checks that proxies leave no goroutine.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// proxiedConnection is a client, a proxy and a party that listens, with one connection.
type proxiedConnection struct {
	t         *testing.T
	recording bytes.Buffer
	recorder  *Recorder
	proxy     *Proxy
	client    net.Conn
	party     net.Conn
	listener  net.Listener
}

// testTimeout bounds each wait for bytes that must come.
const testTimeout = 10 * time.Second

func newProxiedConnection(t *testing.T) *proxiedConnection {
	t.Helper()
	c := &proxiedConnection{t: t}
	var err error
	if c.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	c.recorder = NewRecorder(&c.recording, []byte("{}"))
	target := func() string { return c.listener.Addr().String() }
	if c.proxy, err = NewProxy(c.recorder, "node", "n", "", target); err != nil {
		t.Fatal(err)
	}
	c.connect()
	return c
}

func (c *proxiedConnection) connect() {
	c.t.Helper()
	var err error
	if c.client, err = net.Dial("tcp", c.proxy.Addr()); err != nil {
		c.t.Fatal(err)
	}
	if c.party, err = c.listener.Accept(); err != nil {
		c.t.Fatal(err)
	}
}

// end closes all and returns the recording, a word for each record.
func (c *proxiedConnection) end() string {
	c.t.Helper()
	_, _ = c.client.Close(), c.party.Close()
	c.proxy.Close()
	_ = c.listener.Close()
	if err := c.recorder.Close(); err != nil {
		c.t.Fatal(err)
	}
	reader, err := NewReader(&c.recording)
	if err != nil {
		c.t.Fatal(err)
	}
	var words []string
	lastTime := int64(0)
	for {
		record, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return strings.Join(words, " ")
		}
		if err != nil {
			c.t.Fatal(err)
		}
		if record.TimeNs < lastTime {
			c.t.Error("times go back")
		}
		lastTime = record.TimeNs
		words = append(words, formatRecord(record))
	}
}

func formatRecord(record *recordingpb.Record) string {
	arrow := func(fromListener bool) string {
		if fromListener {
			return "<"
		}
		return ">"
	}
	switch body := record.Body.(type) {
	case *recordingpb.Record_Open:
		return "open"
	case *recordingpb.Record_Sent:
		return arrow(body.Sent.Back) + string(body.Sent.Data)
	case *recordingpb.Record_Delivered:
		return strings.Repeat(arrow(body.Delivered.Back), int(body.Delivered.Bytes)) +
			strings.Repeat("x", int(body.Delivered.Dropped))
	case *recordingpb.Record_Close:
		return "close"
	case *recordingpb.Record_Mark:
		return "mark:" + string(EventOf(body.Mark))
	}
	return "unknown"
}

// transfer checks that a text passes.
func (c *proxiedConnection) transfer(from, to net.Conn, text string) {
	c.t.Helper()
	_, _ = io.WriteString(from, text)
	received := make([]byte, len(text))
	_ = to.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := io.ReadFull(to, received); err != nil || string(received) != text {
		c.t.Fatalf("%q, %v", received, err)
	}
}

// readToEnd waits until the connection has ended.
func (c *proxiedConnection) readToEnd(connection net.Conn) string {
	c.t.Helper()
	_ = connection.SetReadDeadline(time.Now().Add(testTimeout))
	received, err := io.ReadAll(connection)
	var netError net.Error
	if errors.As(err, &netError) && netError.Timeout() {
		c.t.Fatal("the connection is still open")
	}
	return string(received)
}

// TestForward checks that bytes and marks are recorded in their order.
func TestForward(t *testing.T) {
	c := newProxiedConnection(t)
	c.transfer(c.client, c.party, "ab")
	c.recorder.Mark("m", "p")
	c.transfer(c.party, c.client, "c")
	if got := c.end(); got != "open >ab >> mark:m <c < close" {
		t.Errorf("recorded %q", got)
	}
}

// TestStall checks that bytes that a stall delays are recorded when they are received, and forwarded when it ends.
func TestStall(t *testing.T) {
	c := newProxiedConnection(t)
	c.proxy.SetFault(Fault{Stall: true})
	_, _ = io.WriteString(c.client, "a")
	_ = c.party.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := c.party.Read(make([]byte, 1)); err == nil {
		t.Error("bytes were forwarded")
	}
	c.proxy.SetFault(Fault{})
	c.transfer(c.client, c.party, "") // what was delayed comes first
	received := make([]byte, 1)
	_ = c.party.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := io.ReadFull(c.party, received); err != nil || received[0] != 'a' {
		t.Errorf("%q, %v", received, err)
	}
	c.end()
}

// TestFaults checks the other faults one after the other.
func TestFaults(t *testing.T) {
	c := newProxiedConnection(t)
	const delay = 30 * time.Millisecond
	c.proxy.SetFault(Fault{Delay: delay})
	began := time.Now()
	c.transfer(c.client, c.party, "a")
	if time.Since(began) < delay {
		t.Error("it was not delayed")
	}
	c.proxy.SetFault(Fault{DropReplies: true})
	_, _ = io.WriteString(c.party, "lost")
	for until := time.Now().Add(testTimeout); c.proxy.DroppedBytes() < 4 && time.Now().Before(until); {
		time.Sleep(time.Millisecond) // nothing else shows that they have come
	}
	c.transfer(c.client, c.party, "b")
	c.proxy.SetFault(Fault{BreakAfterBytes: 2})
	_, _ = io.WriteString(c.party, "cut")
	if got := c.readToEnd(c.client); got != "cu" {
		t.Errorf("before the connection broke came %q", got)
	}
	c.proxy.SetFault(Fault{})
	c.connect()
	c.transfer(c.client, c.party, "c")
	c.proxy.Disconnect()
	c.readToEnd(c.client)
	c.proxy.SetFault(Fault{Reject: true})
	rejected, err := net.Dial("tcp", c.proxy.Addr())
	if err != nil {
		t.Fatal(err)
	}
	c.readToEnd(rejected)
	_ = rejected.Close()
	checkFaultRecording(t, c.end())
}

func checkFaultRecording(t *testing.T, recorded string) {
	t.Helper()
	// The directions of a connection run on goroutines of their own: each is in order, beside the other in any.
	without := func(firstLetters string) string {
		var kept []string
		for word := range strings.FieldsSeq(recorded) {
			if !strings.Contains(firstLetters, word[:1]) {
				kept = append(kept, word)
			}
		}
		return strings.Join(kept, " ")
	}
	if replies := without(">o"); !strings.HasPrefix(replies, "<lost xxxx <cut <<x close") {
		t.Errorf("recorded from the party %q", replies)
	}
	if requests := without("<x"); !strings.HasPrefix(requests, "open >a > >b > close open >c > close") {
		t.Errorf("recorded to the party %q", requests)
	}
}

// TestReader checks that a recording that was cut off ends there, and that another file is none.
func TestReader(t *testing.T) {
	c := newProxiedConnection(t)
	c.transfer(c.client, c.party, "abc")
	c.end()
	var recording bytes.Buffer
	recorder := NewRecorder(&recording, []byte("{}"))
	recorder.Mark("one", "")
	recorder.Mark("two", "")
	if err := recorder.Close(); err != nil {
		t.Fatal(err)
	}
	reader, err := NewReader(bytes.NewReader(recording.Bytes()[:recording.Len()-2]))
	if err != nil {
		t.Fatal(err)
	}
	if record, err := reader.Next(); err != nil || EventOf(record.GetMark()) != "one" {
		t.Errorf("%v, %v", record, err)
	}
	if _, err := reader.Next(); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
	for _, malformed := range []string{"", "x", "\x02\x08\x01"} {
		_, err := NewReader(strings.NewReader(malformed))
		var format *FormatError
		if !errors.As(err, &format) {
			t.Errorf("%q: error %v", malformed, err)
		}
	}
}

// TestVersion checks that a recording of another version is rejected with an error that names it.
func TestVersion(t *testing.T) {
	var recording bytes.Buffer
	head := &recordingpb.Record{Body: &recordingpb.Record_Head{Head: &recordingpb.Head{Version: Version + 1}}}
	if _, err := protodelim.MarshalTo(&recording, head); err != nil {
		t.Fatal(err)
	}
	_, err := NewReader(&recording)
	var version *VersionError
	if !errors.As(err, &version) || version.Version != Version+1 {
		t.Errorf("error %v", err)
	}
}
