package rules

import (
	"errors"
	"fmt"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/httpcodec"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy/recordingpb"
)

// The protocols of connections, as a recording names them.
const (
	ClientWire    = "client"    // clients to schedulers, HTTP
	NodeWire      = "node"      // schedulers to nodes, frames
	InventoryWire = "inventory" // schedulers to the inventory, frames
)

// connection is a recorded connection of a dialer, which is a client or a scheduler, to a listener.
type connection struct {
	id         uint64
	wire       string
	dialer     string // known from its hello, or from its proxy
	listener   string
	openedAt   time.Duration
	directions [2]stream
	undecoded  bool // bytes of it made no sense; the rest is ignored

	requests       []*clientRequest // without a complete response
	parser         httpcodec.Parser
	responses      httpcodec.ResponseReader
	consumedEvents int // bytes of a streamed body that were read

	reportedAttempts map[string]bool // of a node's welcome
}

// stream is one direction of a connection.
type stream struct {
	undelivered        []byte
	sentRemainder      []byte // the start of a message that was not sent completely
	deliveredRemainder []byte // the same of what was delivered
}

// clientRequest is an HTTP request.
type clientRequest struct {
	receivedAt time.Duration
	method     string
	path       string
	body       []byte
}

// direction is the index of a connection's direction.
func direction(fromListener bool) int {
	if fromListener {
		return 1
	}
	return 0
}

func (c *checker) connectionOpened(open *recordingpb.Open) {
	c.connections[open.Conn] = &connection{id: open.Conn, wire: open.Wire, listener: open.To, dialer: open.Via,
		openedAt: c.now, reportedAttempts: map[string]bool{}}
}

func (c *checker) connectionClosed(closed *recordingpb.Close) {
	link := c.connections[closed.Conn]
	if link == nil {
		return
	}
	if link.wire == NodeWire {
		c.linkLost(link)
	}
	delete(c.connections, closed.Conn)
}

// decodable returns a connection whose bytes can be decoded; nil for another.
func (c *checker) decodable(id uint64) *connection {
	link := c.connections[id]
	if link == nil || link.undecoded {
		return nil
	}
	return link
}

// bytesSent takes bytes as they leave a party.
func (c *checker) bytesSent(sent *recordingpb.Sent) {
	link := c.decodable(sent.Conn)
	if link == nil {
		return
	}
	s := &link.directions[direction(sent.Back)]
	s.undelivered = append(s.undelivered, sent.Data...)
	switch {
	case link.wire != ClientWire:
		s.sentRemainder = append(s.sentRemainder, sent.Data...)
		s.sentRemainder = c.decodeFrames(link, s.sentRemainder, func(frame *nodepb.Frame) { c.frameSent(link, sent.Back, frame) })
	case sent.Back:
		c.responseBytes(link, sent.Data)
	default:
		c.requestBytes(link, sent.Data)
	}
}

var errExcessDelivery = errors.New("more was passed on than had come")

// bytesDelivered takes bytes as they reach a party.
func (c *checker) bytesDelivered(delivered *recordingpb.Delivered) {
	link := c.decodable(delivered.Conn)
	if link == nil {
		return
	}
	s := &link.directions[direction(delivered.Back)]
	kept, removed := int(delivered.Bytes), int(delivered.Bytes+delivered.Dropped)
	if removed > len(s.undelivered) {
		c.undecodable(link, errExcessDelivery)
		return
	}
	if link.wire != ClientWire {
		s.deliveredRemainder = append(s.deliveredRemainder, s.undelivered[:kept]...)
		s.deliveredRemainder = c.decodeFrames(link, s.deliveredRemainder,
			func(frame *nodepb.Frame) { c.frameDelivered(link, delivered.Back, frame) })
	}
	s.undelivered = append(s.undelivered[:0], s.undelivered[removed:]...)
}

// decodeFrames calls handle for each complete frame of buffer and returns the rest.
func (c *checker) decodeFrames(link *connection, buffer []byte, handle func(*nodepb.Frame)) []byte {
	used := 0
	for {
		frame, size, err := nodeframe.Next(buffer[used:])
		if err != nil {
			c.undecodable(link, err)
			return nil
		}
		if frame == nil {
			return append(buffer[:0], buffer[used:]...)
		}
		used += size
		handle(frame)
	}
}

// undecodable gives up a connection. After a proxy has dropped bytes on purpose that is to be expected, and the parties
// close the connection as well; otherwise the verdict can't be trusted and says so.
func (c *checker) undecodable(link *connection, err error) {
	link.undecoded = true
	if !c.bytesDropped {
		c.verdict.Undecoded = append(c.verdict.Undecoded, fmt.Sprintf("connection %d to %s (%s): %v", link.id, link.listener,
			link.wire, err))
	}
}

// frameSent takes a frame as it leaves a party.
func (c *checker) frameSent(link *connection, fromListener bool, frame *nodepb.Frame) {
	switch {
	case !fromListener:
		c.schedulerFrameSent(link, frame)
	case link.wire == NodeWire:
		c.nodeFrameSent(link, frame)
	}
}

// frameDelivered takes a frame as it reaches a party.
func (c *checker) frameDelivered(link *connection, fromListener bool, frame *nodepb.Frame) {
	switch {
	case fromListener && link.wire == NodeWire:
		c.nodeFrameDelivered(link, frame)
	case fromListener && link.wire == InventoryWire:
		if listing := frame.GetListing(); listing != nil {
			c.listingDelivered(link.dialer, listing)
		}
	case link.wire == NodeWire:
		if frame.GetOffer() != nil {
			c.offerDelivered(link)
		}
	}
}

// requestBytes parses the requests of a client.
func (c *checker) requestBytes(link *connection, data []byte) {
	s := &link.directions[direction(false)]
	s.sentRemainder = append(s.sentRemainder, data...)
	for {
		request, used, _, err := link.parser.Parse(s.sentRemainder)
		if err != nil { // a client that sends malformed requests on purpose
			link.undecoded = true
			return
		}
		if request == nil {
			return
		}
		link.requests = append(link.requests, &clientRequest{receivedAt: c.now, method: request.Method,
			path: request.Path, body: append([]byte(nil), request.Body...)})
		s.sentRemainder = append(s.sentRemainder[:0], s.sentRemainder[used:]...)
	}
}

// responseBytes parses the responses of a scheduler, of which the first belongs to the oldest request.
func (c *checker) responseBytes(link *connection, data []byte) {
	err := link.responses.Feed(data, func(response *httpcodec.Response) {
		if len(link.requests) == 0 {
			return
		}
		if response.Get("content-type") == "text/event-stream" {
			c.eventsReceived(link, response)
		} else if response.Done {
			c.responseReceived(link.listener, link.requests[0], response)
		}
		if response.Done {
			link.requests, link.consumedEvents = link.requests[1:], 0
		}
	})
	if err != nil {
		c.undecodable(link, err)
	}
}
