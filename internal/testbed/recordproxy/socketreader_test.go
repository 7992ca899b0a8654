package recordproxy

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/clock"
)

// readableConnection returns a connection whose listening end has a socketReader.
func readableConnection(t *testing.T) (dialer net.Conn, reader *socketReader) {
	t.Helper()
	config := net.ListenConfig{Control: enableTimestamps}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	if dialer, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialer.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	monitor := startStallMonitor(func(time.Duration) {})
	t.Cleanup(monitor.close)
	if reader, err = newSocketReader(accepted, monitor); err != nil {
		t.Fatal(err)
	}
	return dialer, reader
}

// The time of receipt is the kernel's, not that of the read. On a busy machine the kernel may receive a few writes after their
// end, so one of many is enough.
func TestBytesAreReceivedBeforeTheyAreRead(t *testing.T) {
	dialer, reader := readableConnection(t)
	buffer := make([]byte, maxReadSize)
	const writes = 100
	for range writes {
		before := clock.Now()
		if _, err := io.WriteString(dialer, "x"); err != nil {
			t.Fatal(err)
		}
		after := clock.Now()
		size, received, err := reader.read(buffer)
		if err != nil || size != 1 {
			t.Fatalf("got %d bytes, error %v, want 1 byte", size, err)
		}
		if received.earliest > received.latest {
			t.Fatalf("got an interval from %v to %v, want it in order", received.earliest, received.latest)
		}
		if received.latest >= before && received.latest <= after {
			return
		}
	}
	t.Errorf("got no time of receipt within the write in %d writes, want one", writes)
}

// Two writes that one read returns were received at different times, and only that of the last is known.
func TestBytesOfSeveralSegmentsWereReceivedInAnInterval(t *testing.T) {
	dialer, reader := readableConnection(t)
	for range 2 {
		if _, err := io.WriteString(dialer, "x"); err != nil {
			t.Fatal(err)
		}
	}
	buffer := make([]byte, maxReadSize)
	for read := 0; read < 2; {
		size, received, err := reader.read(buffer)
		if err != nil {
			t.Fatal(err)
		}
		if wide := received.latest > received.earliest; wide != (size == 2) {
			t.Errorf("got %d bytes received between %v and %v, want an interval for 2 bytes only", size, received.earliest,
				received.latest)
		}
		read += size
	}
}

func TestReadReportsTheEndOfAConnection(t *testing.T) {
	dialer, reader := readableConnection(t)
	before := clock.Now()
	if err := dialer.Close(); err != nil {
		t.Fatal(err)
	}
	size, received, err := reader.read(make([]byte, maxReadSize))
	if size != 0 || !errors.Is(err, io.EOF) {
		t.Fatalf("got %d bytes, error %v, want the end", size, err)
	}
	const kernelTick = 10e6 // nanoseconds; the kernel tells the time since an acknowledgement in ticks
	if received.earliest < before-kernelTick || received.earliest > received.latest {
		t.Errorf("got the end between %v and %v after the close, want it after", received.earliest-before, received.latest-before)
	}
}
