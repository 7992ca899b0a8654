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

// TestMain checks that no goroutine of a proxy is left after the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// proxiedConnection is a connection from a client through a proxy to a listening party, with its recording.
type proxiedConnection struct {
	t              *testing.T
	recording      bytes.Buffer
	recorder       *Recorder
	proxy          *Proxy
	client         net.Conn
	listeningParty net.Conn
	listener       net.Listener
}

// testTimeout limits each wait for expected bytes.
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
	if c.listeningParty, err = c.listener.Accept(); err != nil {
		c.t.Fatal(err)
	}
}

// closeAndFormat closes the connection, the proxy and the recorder, and returns the recording with a word for each record.
func (c *proxiedConnection) closeAndFormat() string {
	c.t.Helper()
	_, _ = c.client.Close(), c.listeningParty.Close()
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
			c.t.Errorf("got time %d after %d, want times in order", record.TimeNs, lastTime)
		}
		lastTime = record.TimeNs
		words = append(words, formatRecord(record))
	}
}

// formatRecord formats a record as one word. ">" stands for bytes of the client and "<" for bytes of the listening party, with
// the data where they were sent and one character for each byte where they were delivered; "x" stands for a dropped byte.
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

// checkForwarded sends a text and checks that it arrives at the other end.
func (c *proxiedConnection) checkForwarded(from, to net.Conn, text string) {
	c.t.Helper()
	_, _ = io.WriteString(from, text)
	received := make([]byte, len(text))
	_ = to.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := io.ReadFull(to, received); err != nil || string(received) != text {
		c.t.Fatalf("got %q, error %v, want %q", received, err, text)
	}
}

// readToEnd reads until the connection is closed and returns the bytes that it received.
func (c *proxiedConnection) readToEnd(connection net.Conn) string {
	c.t.Helper()
	_ = connection.SetReadDeadline(time.Now().Add(testTimeout))
	received, err := io.ReadAll(connection)
	var netError net.Error
	if errors.As(err, &netError) && netError.Timeout() {
		c.t.Fatalf("got the connection still open after %v, want it closed", testTimeout)
	}
	return string(received)
}

// checkRecording compares the records of the replies and those of the requests with the wanted ones, each for itself: each
// direction of a connection has its own goroutine, so that the order of records across directions is not determined.
func checkRecording(t *testing.T, recorded, wantReplies, wantRequests string) {
	t.Helper()
	without := func(firstLetters string) string {
		var kept []string
		for word := range strings.FieldsSeq(recorded) {
			if !strings.Contains(firstLetters, word[:1]) {
				kept = append(kept, word)
			}
		}
		return strings.Join(kept, " ")
	}
	if got := without(">o"); got != wantReplies {
		t.Errorf("got %q recorded of replies, want %q", got, wantReplies)
	}
	if got := without("<x"); got != wantRequests {
		t.Errorf("got %q recorded of requests, want %q", got, wantRequests)
	}
}

func TestBytesAndEventsAreRecordedInOrder(t *testing.T) {
	c := newProxiedConnection(t)
	c.checkForwarded(c.client, c.listeningParty, "ab")
	c.recorder.RecordEvent("m", "p")
	c.checkForwarded(c.listeningParty, c.client, "c")
	if got, want := c.closeAndFormat(), "open >ab >> mark:m <c < close"; got != want {
		t.Errorf("got recording %q, want %q", got, want)
	}
}

func TestStalledBytesAreForwardedWhenTheStallEnds(t *testing.T) {
	c := newProxiedConnection(t)
	c.proxy.SetFault(Fault{Stall: true})
	_, _ = io.WriteString(c.client, "a")
	_ = c.listeningParty.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if n, err := c.listeningParty.Read(make([]byte, 1)); err == nil {
		t.Errorf("got %d bytes during the stall, want none", n)
	}
	c.proxy.SetFault(Fault{})
	received := make([]byte, 1)
	_ = c.listeningParty.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := io.ReadFull(c.listeningParty, received); err != nil || received[0] != 'a' {
		t.Errorf("got %q, error %v, want the stalled byte", received, err)
	}
	checkRecording(t, c.closeAndFormat(), "close", "open >a > close")
}

func TestDelayedBytesAreForwardedAfterTheDelay(t *testing.T) {
	const delay = 30 * time.Millisecond
	c := newProxiedConnection(t)
	c.proxy.SetFault(Fault{Delay: delay})
	began := time.Now()
	c.checkForwarded(c.client, c.listeningParty, "a")
	if got := time.Since(began); got < delay {
		t.Errorf("got the bytes after %v, want them after %v at the earliest", got, delay)
	}
	checkRecording(t, c.closeAndFormat(), "close", "open >a > close")
}

func TestDroppedRepliesAreRecordedAndNotForwarded(t *testing.T) {
	c := newProxiedConnection(t)
	c.proxy.SetFault(Fault{DropReplies: true})
	_, _ = io.WriteString(c.listeningParty, "lost")
	c.checkForwarded(c.client, c.listeningParty, "b")
	_ = c.listeningParty.Close() // the proxy closes the connection after it has handled the reply
	if got := c.readToEnd(c.client); got != "" {
		t.Errorf("got reply %q, want none", got)
	}
	if got, want := c.proxy.DroppedBytes(), int64(len("lost")); got != want {
		t.Errorf("got %d dropped bytes, want %d", got, want)
	}
	checkRecording(t, c.closeAndFormat(), "<lost xxxx close", "open >b > close")
}

func TestBreakAfterBytesClosesOneConnection(t *testing.T) {
	c := newProxiedConnection(t)
	c.proxy.SetFault(Fault{BreakAfterBytes: 2})
	_, _ = io.WriteString(c.listeningParty, "cut")
	if got, want := c.readToEnd(c.client), "cu"; got != want {
		t.Errorf("got %q before the connection was closed, want %q", got, want)
	}
	c.connect()
	c.checkForwarded(c.listeningParty, c.client, "whole")
	checkRecording(t, c.closeAndFormat(), "<cut <<x close <whole <<<<< close", "open close open close")
}

func TestDisconnectClosesPresentConnections(t *testing.T) {
	c := newProxiedConnection(t)
	c.checkForwarded(c.client, c.listeningParty, "a")
	c.proxy.Disconnect()
	if got := c.readToEnd(c.client); got != "" {
		t.Errorf("got %q, want nothing before the connection was closed", got)
	}
	c.connect()
	c.checkForwarded(c.client, c.listeningParty, "b")
	checkRecording(t, c.closeAndFormat(), "close close", "open >a > close open >b > close")
}

func TestRejectedConnectionsAreClosedAndNotRecorded(t *testing.T) {
	c := newProxiedConnection(t)
	c.proxy.SetFault(Fault{Reject: true})
	rejected, err := net.Dial("tcp", c.proxy.Addr())
	if err != nil {
		t.Fatal(err)
	}
	if got := c.readToEnd(rejected); got != "" {
		t.Errorf("got %q, want nothing before the connection was closed", got)
	}
	_ = rejected.Close()
	checkRecording(t, c.closeAndFormat(), "close", "open close")
}

func TestTruncatedRecordingEndsAfterItsLastCompleteRecord(t *testing.T) {
	var recording bytes.Buffer
	recorder := NewRecorder(&recording, []byte("{}"))
	recorder.RecordEvent("one", "")
	recorder.RecordEvent("two", "")
	if err := recorder.Close(); err != nil {
		t.Fatal(err)
	}
	reader, err := NewReader(bytes.NewReader(recording.Bytes()[:recording.Len()-2]))
	if err != nil {
		t.Fatal(err)
	}
	if record, err := reader.Next(); err != nil || EventOf(record.GetMark()) != "one" {
		t.Errorf("got record %v, error %v, want the first mark", record, err)
	}
	if record, err := reader.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("got record %v, error %v, want io.EOF", record, err)
	}
}

func TestNewReaderRejectsOtherFiles(t *testing.T) {
	for _, c := range []struct{ name, content string }{
		{"empty", ""},
		{"text", "x"},
		{"record that is no head", "\x02\x08\x01"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := NewReader(strings.NewReader(c.content))
			var format *FormatError
			if !errors.As(err, &format) {
				t.Errorf("got error %v, want a FormatError", err)
			}
		})
	}
}

func TestNewReaderRejectsOtherVersions(t *testing.T) {
	var recording bytes.Buffer
	head := &recordingpb.Record{Body: &recordingpb.Record_Head{Head: &recordingpb.Head{Version: Version + 1}}}
	if _, err := protodelim.MarshalTo(&recording, head); err != nil {
		t.Fatal(err)
	}
	_, err := NewReader(&recording)
	var version *VersionError
	if !errors.As(err, &version) || version.Version != Version+1 {
		t.Errorf("got error %v, want a VersionError of version %d", err, Version+1)
	}
}
