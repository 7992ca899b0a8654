package scripted

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Feed is a control feed whose events a test writes. Event 1 is the configuration's; each other one is written twice, as
// happens.
type Feed struct {
	// Calls has the Last-Event-ID of each call.
	Calls chan string

	ln     net.Listener
	srv    *http.Server
	done   chan struct{}
	mu     sync.Mutex
	events []string
	more   chan struct{}
	cut    chan bool
	again  chan int
}

// NewFeed starts a feed on a port of its own.
func NewFeed() (*Feed, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("scripted: feed: %w", err)
	}
	f := &Feed{ln: ln, Calls: make(chan string, Kept), more: make(chan struct{}, Kept), cut: make(chan bool),
		again: make(chan int), done: make(chan struct{})}
	f.srv = &http.Server{Handler: http.HandlerFunc(f.serve)}
	go func() {
		defer close(f.done)
		_ = f.srv.Serve(ln)
	}()
	return f, nil
}

// Addr is where it listens.
func (f *Feed) Addr() string { return f.ln.Addr().String() }

// Close ends it and all calls.
func (f *Feed) Close() {
	_ = f.srv.Close()
	<-f.done
}

func (f *Feed) serve(w http.ResponseWriter, r *http.Request) {
	f.Calls <- r.Header.Get("Last-Event-ID")
	last := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-ID"), &last)
	beat := time.NewTicker(time.Second)
	defer beat.Stop()
	for {
		f.mu.Lock()
		for ; last < len(f.events)+1; last++ {
			f.write(w, last+1)
			f.write(w, last+1)
		}
		f.mu.Unlock()
		_ = http.NewResponseController(w).Flush()
		select {
		case <-f.more:
		case <-beat.C:
			fmt.Fprint(w, ": still here\n\n")
		case n := <-f.again:
			f.mu.Lock()
			f.write(w, n)
			f.mu.Unlock()
		case open := <-f.cut:
			fmt.Fprint(w, "id: 99\ndata: {\"n\":99,\"mem") // half an event
			if open {
				<-r.Context().Done()
			}
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (f *Feed) write(w http.ResponseWriter, n int) {
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, f.events[n-2])
}

// Tell adds an event that lists nodes, whole or as a change.
func (f *Feed) Tell(whole bool, nodes ...string) {
	f.mu.Lock()
	f.events = append(f.events, Event(len(f.events)+2, whole, nodes...))
	f.mu.Unlock()
	f.more <- struct{}{}
}

// Break ends the call in hand in the middle of an event.
func (f *Feed) Break() { f.cut <- false }

// Hush stops the call in hand in the middle of an event, and leaves it open.
func (f *Feed) Hush() { f.cut <- true }

// Again writes an old event once more.
func (f *Feed) Again(n int) { f.again <- n }

// Event is the data of an event.
func Event(n int, whole bool, nodes ...string) string {
	return fmt.Sprintf(`{"n":%d,"members":{"version":%d,"full":%v,"servers":[%s]}}`, n, n, whole, strings.Join(nodes, ","))
}

// Entry is a node in an event: its state is active, leaving or left.
func Entry(id, addr, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"east","kind":"std","cell":1,"state":%q,"weight":1,"started_ms":0}`,
		id, addr, state)
}
