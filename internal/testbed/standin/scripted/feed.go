package scripted

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is the interval at which a feed writes a comment line to each stream.
const heartbeatInterval = time.Second

// firstMembershipEvent is the number of the first event that a test publishes. Event 1 is in the scheduler's configuration,
// not in the feed.
const firstMembershipEvent = 2

// Feed is a control feed: an HTTP server of the platform's stream of membership events, which a test publishes. Each event is
// written twice, since the platform may do so too. Its methods are safe for concurrent use.
type Feed struct {
	// LastEventIDs receives the Last-Event-ID header of each request.
	LastEventIDs chan string

	listener     net.Listener
	server       *http.Server
	serverDone   chan struct{}    // closed when the server has stopped
	eventAdded   chan struct{}    // receives a value for each published event
	streamBreaks chan streamBreak // receives how to break the current stream
	republishes  chan int         // receives the numbers of events to write again

	mu     sync.Mutex
	events []string // data of the published events, beginning with event firstMembershipEvent
}

// streamBreak is what happens to a stream after an incomplete event.
type streamBreak int

const (
	endStream streamBreak = iota
	leaveStreamOpen
)

// NewFeed starts a feed on a free port. The caller must call Close.
func NewFeed() (*Feed, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("scripted: feed: %w", err)
	}
	f := &Feed{listener: listener, LastEventIDs: make(chan string, channelCapacity),
		eventAdded: make(chan struct{}, channelCapacity), streamBreaks: make(chan streamBreak), republishes: make(chan int),
		serverDone: make(chan struct{})}
	f.server = &http.Server{Handler: http.HandlerFunc(f.serve)}
	go func() {
		defer close(f.serverDone)
		_ = f.server.Serve(listener) // it returns an error after Close
	}()
	return f, nil
}

// Addr returns the address, host:port, on which the feed listens.
func (f *Feed) Addr() string { return f.listener.Addr().String() }

// Close ends the feed and all streams, and waits until its server has stopped.
func (f *Feed) Close() {
	_ = f.server.Close()
	<-f.serverDone
}

// serve writes the events after the one in the Last-Event-ID header, and later ones when they are published, until the stream
// ends.
func (f *Feed) serve(w http.ResponseWriter, r *http.Request) {
	lastEventID := r.Header.Get("Last-Event-ID")
	f.LastEventIDs <- lastEventID
	last := 0
	_, _ = fmt.Sscan(lastEventID, &last) // the first request has no ID
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		last = f.writeFrom(w, last+1)
		_ = http.NewResponseController(w).Flush() // fails only if the client has disconnected, which cancels the context
		select {
		case <-f.eventAdded:
		case <-heartbeat.C:
			writeText(w, ": still here\n\n")
		case number := <-f.republishes:
			f.mu.Lock()
			f.write(w, number)
			f.mu.Unlock()
		case mode := <-f.streamBreaks:
			writeText(w, "id: 99\ndata: {\"n\":99,\"mem") // an incomplete event
			if mode == leaveStreamOpen {
				<-r.Context().Done()
			}
			return
		case <-r.Context().Done():
			return
		}
	}
}

// writeFrom writes the events with numbers of at least first, and returns the number of the last event that the client has.
func (f *Feed) writeFrom(w io.Writer, first int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := len(f.events) + firstMembershipEvent - 1
	for number := max(first, firstMembershipEvent); number <= last; number++ {
		f.write(w, number)
		f.write(w, number)
	}
	return max(first-1, last)
}

// write writes the event with a number. The caller must hold mu.
func (f *Feed) write(w io.Writer, number int) {
	writeText(w, fmt.Sprintf("id: %d\ndata: %s\n\n", number, f.events[number-firstMembershipEvent]))
}

// writeText writes to a client. Errors are ignored, since a disconnect of the client also cancels the context of its request.
func writeText(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// Publish adds an event with nodes, results of Entry, as the complete membership or as a change.
func (f *Feed) Publish(complete bool, nodes ...string) {
	f.mu.Lock()
	f.events = append(f.events, Event(len(f.events)+firstMembershipEvent, complete, nodes...))
	f.mu.Unlock()
	f.eventAdded <- struct{}{}
}

// Break ends the current stream in the middle of an event.
func (f *Feed) Break() { f.streamBreaks <- endStream }

// Stall stops writing to the current stream in the middle of an event, but leaves the stream open.
func (f *Feed) Stall() { f.streamBreaks <- leaveStreamOpen }

// Republish writes an event to the current stream again.
func (f *Feed) Republish(number int) { f.republishes <- number }

// Event returns the data of the event with a number. nodes are results of Entry.
func Event(number int, complete bool, nodes ...string) string {
	return fmt.Sprintf(`{"n":%d,"members":{"version":%d,"full":%v,"servers":[%s]}}`, number, number, complete,
		strings.Join(nodes, ","))
}

// Entry returns a node for Publish and Event. state is active, leaving or left.
func Entry(id, addr, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"east","kind":"std","cell":1,"state":%q,"weight":1,"started_ms":0}`,
		id, addr, state)
}
