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
	ClientProtocol    = "client"    // clients to schedulers, HTTP
	NodeProtocol      = "node"      // schedulers to nodes, frames
	InventoryProtocol = "inventory" // schedulers to the inventory, frames
)

// connection is a recorded connection of a dialer, which is a client or a scheduler, to a listener.
type connection struct {
	id         uint64
	protocol   string
	dialer     string // from its hello, or from its proxy if that serves only one
	listener   string
	openedAt   time.Duration
	directions [2]stream
	undecoded  bool // its bytes could not be decoded; the rest is ignored

	requests           []*clientRequest // without a complete response
	parser             httpcodec.Parser
	responses          httpcodec.ResponseReader
	consumedEventBytes int // number of bytes of a streamed body that were handled

	reportedAttempts map[string]bool // in the welcome of the node
}

// stream is one direction of a connection.
type stream struct {
	undelivered        []byte
	sentRemainder      []byte // sent bytes of an incomplete message
	deliveredRemainder []byte // delivered bytes of an incomplete message
}

// clientRequest is an HTTP request.
type clientRequest struct {
	sentAt time.Duration
	method string
	path   string
	body   []byte
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

func (c *checker) connectionClosed(closed *recordingpb.Close) {
	link := c.connections[closed.Conn]
	if link == nil {
		return
	}
	if link.protocol == NodeProtocol {
		c.connectionLost(link)
	}
	delete(c.connections, closed.Conn)
}

// decodable returns the connection if its bytes can be decoded, otherwise nil.
func (c *checker) decodable(id uint64) *connection {
	link := c.connections[id]
	if link == nil || link.undecoded {
		return nil
	}
	return link
}

// bytesSent handles bytes when a party sends them.
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
	default:
		c.parseRequests(link, sent.Data)
	}
}

var errExcessDelivery = errors.New("more bytes delivered than sent")

// bytesDelivered handles bytes when they are delivered to a party.
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
	if link.protocol != ClientProtocol {
		s.deliveredRemainder = append(s.deliveredRemainder, s.undelivered[:kept]...)
		s.deliveredRemainder = c.decodeFrames(link, s.deliveredRemainder,
			func(frame *nodepb.Frame) { c.frameDelivered(link, delivered.Back, frame) })
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

// undecodable marks a connection as undecoded. After a proxy has dropped bytes on purpose that is expected, and the parties
// close the connection, too; otherwise the verdict is not reliable and lists the connection.
func (c *checker) markUndecoded(link *connection, err error) {
	link.undecoded = true
	if !c.bytesDropped {
		c.verdict.Undecoded = append(c.verdict.Undecoded, fmt.Sprintf("connection %d to %s (%s): %v", link.id, link.listener,
			link.protocol, err))
	}
}

// frameSent handles a frame when a party sends it.
func (c *checker) frameSent(link *connection, fromListener bool, frame *nodepb.Frame) {
	switch {
	case !fromListener:
		c.schedulerFrameSent(link, frame)
	case link.protocol == NodeProtocol:
		c.nodeFrameSent(link, frame)
	}
}

// frameDelivered handles a frame when it is delivered to a party.
func (c *checker) frameDelivered(link *connection, fromListener bool, frame *nodepb.Frame) {
	switch {
	case fromListener && link.protocol == NodeProtocol:
		c.nodeFrameDelivered(link, frame)
	case fromListener && link.protocol == InventoryProtocol:
		if listing := frame.GetListing(); listing != nil {
			c.listingDelivered(link.dialer, listing)
		}
	case link.protocol == NodeProtocol:
		if frame.GetOffer() != nil {
			c.offerDelivered(link)
		}
	}
}

// requestBytes parses the bytes of requests of a client.
func (c *checker) parseRequests(link *connection, data []byte) {
	s := &link.directions[direction(false)]
	s.sentRemainder = append(s.sentRemainder, data...)
	for {
		request, used, _, err := link.parser.Parse(s.sentRemainder)
		if err != nil { // a misbehaving client sends malformed requests on purpose
			link.undecoded = true
			return
		}
		if request == nil {
			return
		}
		link.requests = append(link.requests, &clientRequest{sentAt: c.now, method: request.Method,
			path: request.Path, body: append([]byte(nil), request.Body...)})
		s.sentRemainder = append(s.sentRemainder[:0], s.sentRemainder[used:]...)
	}
}

// responseBytes parses the bytes of responses of a scheduler, which are in the order of the requests.
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
