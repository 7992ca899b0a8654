package platform

import (
	"os"
	"runtime"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/channeltest"
	"flaxshelf.example/flaxshelf/internal/codec/nodebinary"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/scripted"
)

// usage is the resource usage of the process.
type usage struct{ goroutines, descriptors, heapBytes int }

func measureUsage(t *testing.T) usage {
	t.Helper()
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	files, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return usage{runtime.NumGoroutine(), len(files), int(memory.HeapAlloc)}
}

// discardReports drains the channels on which a node reports to the test, so that they do not fill up.
func discardReports(n *scripted.Node) {
	for len(n.Received) > 0 {
		<-n.Received
	}
	for len(n.ConnectionEvents) > 0 {
		<-n.ConnectionEvents
	}
}

// The number of goroutines and descriptors and the size of the heap do not grow while thousands of owners connect and
// disconnect, a thousand links break, streams of the control feed end and the configuration is reloaded.
func TestNoLeaks(t *testing.T) {
	const tolerance = 4 // goroutines and descriptors
	s, n, _ := startSchedulerWithTask(t)
	task := 10
	runRounds := func(count int) {
		for i := range count {
			c := s.dial() // not connect, whose cleanup would retain the client
			c.placeTask(task)
			n.Send(nodebinary.Message{Type: nodebinary.Release, Task: uint64(task), Cause: 16})
			c.expectReply("release", task, 16)
			_ = c.conn.Close()
			task++
			switch {
			case i%2 == 0:
				n.ResetConnections()
			case i%50 == 25:
				s.feed.Break()
				channeltest.Await(t, s.feed.LastEventIDs, "a request of the control feed")
			case i%50 == 49:
				s.reload <- struct{}{}
				channeltest.Await(t, s.feed.LastEventIDs, "a request of the control feed")
			}
			discardReports(n)
		}
	}
	runRounds(60)
	before := measureUsage(t)
	runRounds(2000)
	var after usage
	// Goroutines and descriptors of closed connections are released with a short delay, those of replaced links within 2 s.
	for deadline := time.Now().Add(10 * time.Second); ; {
		after = measureUsage(t)
		released := after.goroutines <= before.goroutines+tolerance && after.descriptors <= before.descriptors+tolerance
		if released || time.Now().After(deadline) {
			break
		}
		runtime.Gosched()
	}
	limit := usage{before.goroutines + tolerance, before.descriptors + tolerance, before.heapBytes + 2<<20}
	if after.goroutines > limit.goroutines || after.descriptors > limit.descriptors || after.heapBytes > limit.heapBytes {
		t.Errorf("got %+v, want at most %+v", after, limit)
	}
}

// Requests that arrive byte by byte, on many connections at once, are handled like any other. Malformed messages that arrive
// byte by byte close their connection.
func TestReadsMessagesWrittenByteByByte(t *testing.T) {
	s, _, other := startSchedulerWithTask(t)
	var clients []*client
	for range 30 {
		clients = append(clients, s.connect())
	}
	// ZZ is replaced by the client's number.
	line := []byte(`{"type":"setup","id":"00000000000000ZZ","fields":{"class":"batch","left":"3000","key":"k",` +
		`"extras":"cores:1;memory:1;service:sZZ"},"sdp":"x"}` + "\n")
	for at := range line {
		for i, c := range clients {
			b := line[at]
			if b == 'Z' {
				b = "0123456789abcdef"[i%16]
				if line[at+1] == 'Z' {
					b = "12"[i/16]
				}
			}
			if _, err := c.conn.Write([]byte{b}); err != nil {
				t.Fatal(err)
			}
		}
	}
	other.placeTask(3)
	for _, c := range clients {
		if r := c.readReply(); r.Type != "answer" {
			t.Errorf("got %+v, want an answer", r)
		}
	}
	for _, malformed := range []string{`{"type":"setup","id":"7"}` + "\n", "GET / HTTP/1.1\r\n\r\n", "\x00\x01\x02\n"} {
		c := s.connect()
		for i := range len(malformed) {
			if _, err := c.conn.Write([]byte{malformed[i]}); err != nil {
				break // the scheduler has closed the connection already
			}
		}
		c.awaitClosed()
	}
}
