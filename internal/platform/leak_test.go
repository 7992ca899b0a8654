package platform

import (
	"bufio"
	"net"
	"os"
	"runtime"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeparam"
)

// held is what a process has.
type held struct{ goroutines, descriptors, heap int }

func holds(t *testing.T) held {
	t.Helper()
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	files, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return held{runtime.NumGoroutine(), len(files), int(m.HeapAlloc)}
}

// Thousands of owners that come and go, a thousand links that break, calls of the feed that end and files that are read again: goroutines,
// descriptors and heap are what they were.
func TestNothingLeaks(t *testing.T) {
	s, n, _ := placed(t)
	task := 10
	rounds := func(count int) {
		for i := range count {
			conn, err := net.Dial("tcp", s.addr)
			if err != nil {
				t.Fatal(err)
			}
			c := &client{t, conn, bufio.NewReader(conn)} // without a cleanup each, which the test would hold
			c.place(task)
			n.Say(nodeparam.Message{Type: nodeparam.Release, Task: uint64(task), Cause: 16})
			c.want("release", task, 16)
			_ = c.c.Close()
			task++
			switch {
			case i%2 == 0:
				n.Cut()
			case i%50 == 25:
				s.feed.Break()
				<-s.feed.Calls
			case i%50 == 49:
				s.reload <- struct{}{}
				<-s.feed.Calls
			}
			for len(n.Heard) > 0 {
				<-n.Heard
			}
			for len(n.Conns) > 0 {
				<-n.Conns
			}
		}
	}
	rounds(60)
	before := holds(t)
	rounds(2000)
	var after held
	for end := time.Now().Add(10 * time.Second); ; { // what has ended is gone in a moment, replaced links in two seconds
		after = holds(t)
		if after.goroutines <= before.goroutines+4 && after.descriptors <= before.descriptors+4 || time.Now().After(end) {
			break
		}
		runtime.Gosched()
	}
	if after.goroutines > before.goroutines+4 || after.descriptors > before.descriptors+4 || after.heap > before.heap+2<<20 {
		t.Errorf("%+v, before %+v", after, before)
	}
}

// A whole set-up in pieces of one byte, on many connections at once, is read like any other.
func TestPiecesOfOneByte(t *testing.T) {
	s, _, usual := placed(t)
	var all []*client
	for range 30 {
		all = append(all, s.client())
	}
	line := []byte(`{"type":"setup","id":"00000000000000ZZ","fields":{"class":"batch","left":"3000","key":"k","extras":"cores:1;memory:1;service:sZZ"},"sdp":"x"}` + "\n")
	for at := range line {
		for i, c := range all {
			b := line[at]
			if b == 'Z' {
				b = "0123456789abcdef"[i%16]
				if line[at+1] == 'Z' {
					b = "12"[i/16]
				}
			}
			if _, err := c.c.Write([]byte{b}); err != nil {
				t.Fatal(err)
			}
		}
	}
	usual.place(3)
	for _, c := range all {
		if r := c.read(); r.Type != "answer" {
			t.Errorf("%+v", r)
		}
	}
	for _, bad := range []string{`{"type":"setup","id":"7"}` + "\n", "GET / HTTP/1.1\r\n\r\n", "\x00\x01\x02\n"} {
		c := s.client()
		for i := range len(bad) {
			if _, err := c.c.Write([]byte{bad[i]}); err != nil {
				break // closed already
			}
		}
		c.closed()
	}
}
