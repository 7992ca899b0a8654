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

// The protocols of connections, by their names in recordings.
const (
	ClientProtocol    = "client"    // clients to schedulers, HTTP
	NodeProtocol      = "node"      // schedulers to nodes, frames
	InventoryProtocol = "inventory" // schedulers to the inventory, frames
)

// connection is a recorded connection of a dialer, which is a client or a scheduler, to a listener.
type connection struct {
	id         uint64
	protocol   string
	dialer     string // from its hello, or from the proxy if that has only one dialer
	listener   string
	openedAt   time.Duration
	directions [2]stream
	undecoded  bool // a message could not be decoded; later bytes are ignored
	closed     bool // nothing more is delivered to the dialer

	requests           []*clientRequest // oldest first, without a complete response
	parser             httpcodec.Parser
	responses          httpcodec.ResponseReader
	consumedEventBytes int // number of processed bytes of a streamed body

	reportedAttempts map[string]bool // reported in the node's welcome
}

// stream is one direction of a connection.
type stream struct {
	undelivered        []byte // sent bytes that were not delivered or dropped
	sentRemainder      []byte // sent bytes of an incomplete message
	deliveredRemainder []byte // delivered bytes of an incomplete message
}

// clientRequest is an HTTP request of a client to a scheduler.
type clientRequest struct {
	deliveredAt time.Duration
	method      string
	path        string
	body        []byte
}

// direction returns the index of a direction in connection.directions.
func direction(fromListener bool) int {
	if fromListener {
		return 1
	}
	return 0
}

func (c *checker) connectionOpened(open *recordingpb.Open) {
	c.connections[open.Conn] = &connection{id: open.Conn, protocol: open.Wire, listener: open.To, dialer: open.Via,
		openedAt: c.now, reportedAttempts: map[string]bool{}}
}

// connectionClosed processes the end of a connection. One to a node is kept: the node may send until it notices the end.
func (c *checker) connectionClosed(closed *recordingpb.Close) {
	link := c.connections[closed.Conn]
	if link == nil {
		return
	}
	link.closed = true
	if link.protocol == NodeProtocol {
		c.connectionLost(link)
		return
	}
	delete(c.connections, closed.Conn)
}

// decodable returns an open connection, or nil if there is none or its bytes cannot be decoded.
func (c *checker) decodable(id uint64) *connection {
	link := c.connections[id]
	if link == nil || link.undecoded {
		return nil
	}
	return link
}

// bytesSent processes bytes when a party sends them.
func (c *checker) bytesSent(sent *recordingpb.Sent) {
	link := c.decodable(sent.Conn)
	if link == nil {
		return
	}
	s := &link.directions[direction(sent.Back)]
	s.undelivered = append(s.undelivered, sent.Data...)
	switch {
	case link.protocol != ClientProtocol:
		s.sentRemainder = append(s.sentRemainder, sent.Data...)
		s.sentRemainder = c.decodeFrames(link, s.sentRemainder, func(frame *nodepb.Frame) { c.frameSent(link, sent.Back, frame) })
	case sent.Back:
		c.parseResponses(link, sent.Data)
	}
}

var errExcessDelivery = errors.New("more bytes delivered than sent")

// bytesDelivered processes bytes when they are delivered to a party.
func (c *checker) bytesDelivered(delivered *recordingpb.Delivered) {
	link := c.decodable(delivered.Conn)
	if link == nil {
		return
	}
	s := &link.directions[direction(delivered.Back)]
	kept, removed := int(delivered.Bytes), int(delivered.Bytes+delivered.Dropped)
	if removed > len(s.undelivered) {
		c.markUndecoded(link, errExcessDelivery)
		return
	}
	switch {
	case link.protocol != ClientProtocol:
		s.deliveredRemainder = append(s.deliveredRemainder, s.undelivered[:kept]...)
		s.deliveredRemainder = c.decodeFrames(link, s.deliveredRemainder,
			func(frame *nodepb.Frame) { c.frameDelivered(link, delivered.Back, frame) })
	case !delivered.Back:
		c.parseRequests(link, s.undelivered[:kept])
	}
	s.undelivered = append(s.undelivered[:0], s.undelivered[removed:]...)
}

// decodeFrames calls handle for each complete frame of buffer and returns the remaining bytes.
func (c *checker) decodeFrames(link *connection, buffer []byte, handle func(*nodepb.Frame)) []byte {
	used := 0
	for {
		frame, size, err := nodeframe.Next(buffer[used:])
		if err != nil {
			c.markUndecoded(link, err)
			return nil
		}
		if frame == nil {
			return append(buffer[:0], buffer[used:]...)
		}
		used += size
		handle(frame)
	}
}

// markUndecoded marks a connection as undecoded. If a proxy has dropped bytes as an injected fault, this is expected, and the
// parties close the connection as well. Otherwise the verdict is unreliable, and it lists the connection.
func (c *checker) markUndecoded(link *connection, err error) {
	link.undecoded = true
	if !c.bytesDropped {
		c.verdict.Undecoded = append(c.verdict.Undecoded, fmt.Sprintf("connection %d to %s (%s): %v", link.id, link.listener,
			link.protocol, err))
	}
}

// frameSent processes a frame when a party sends it.
func (c *checker) frameSent(link *connection, fromListener bool, frame *nodepb.Frame) {
	switch {
	case !fromListener && link.closed: // it is not delivered
	case !fromListener:
		c.schedulerFrameSent(link, frame)
	case link.protocol == NodeProtocol:
		c.nodeFrameSent(link, frame)
	}
}

// frameDelivered processes a frame when it is delivered to a party.
func (c *checker) frameDelivered(link *connection, fromListener bool, frame *nodepb.Frame) {
	switch {
	case fromListener && link.closed: // the dialer has closed the connection and reads nothing more
	case fromListener && link.protocol == NodeProtocol:
		c.nodeFrameDelivered(link, frame)
	case fromListener && link.protocol == InventoryProtocol:
		if listing := frame.GetListing(); listing != nil {
			c.listingDelivered(link.dialer, listing)
		}
	case link.protocol == NodeProtocol:
		if offer := frame.GetOffer(); offer != nil {
			c.offerDelivered(link, offer.Attempt)
		}
	}
}

// parseRequests parses the bytes of a client that are delivered to a scheduler, whose time for the request begins with it.
func (c *checker) parseRequests(link *connection, data []byte) {
	s := &link.directions[direction(false)]
	s.deliveredRemainder = append(s.deliveredRemainder, data...)
	for {
		request, used, _, err := link.parser.Parse(s.deliveredRemainder)
		if err != nil { // expected: misbehaving clients send malformed requests
			link.undecoded = true
			return
		}
		if request == nil {
			return
		}
		link.requests = append(link.requests, &clientRequest{deliveredAt: c.now, method: request.Method,
			path: request.Path, body: append([]byte(nil), request.Body...)})
		s.deliveredRemainder = append(s.deliveredRemainder[:0], s.deliveredRemainder[used:]...)
	}
}

// parseResponses parses the bytes that a scheduler sends to a client. Responses are in the order of their requests.
func (c *checker) parseResponses(link *connection, data []byte) {
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
			link.requests, link.consumedEventBytes = link.requests[1:], 0
		}
	})
	if err != nil {
		c.markUndecoded(link, err)
	}
}
