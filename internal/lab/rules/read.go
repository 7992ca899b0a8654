package rules

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/httpcodec"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/lab/recordproxy"
	"flaxshelf.example/flaxshelf/internal/lab/recordproxy/tappb"
)

// The wires, as a recording names them.
const (
	ClientWire    = "client"
	NodeWire      = "node"
	InventoryWire = "inventory"
)

// Check judges a recording.
func Check(r io.Reader) (*Verdict, error) {
	rd, err := recordproxy.NewReader(r)
	if err != nil {
		return nil, err
	}
	var f Figures
	if err := json.Unmarshal(rd.Figures, &f); err != nil {
		return nil, fmt.Errorf("rules: the recording's figures: %w", err)
	}
	c := newChecker(f)
	for {
		rec, err := rd.Next()
		if errors.Is(err, io.EOF) {
			return c.finish(), nil
		}
		if err != nil {
			return nil, fmt.Errorf("rules: %w", err)
		}
		c.record(rec)
	}
}

// stream is one direction of a connection: bytes that have come and are not yet passed on, and readers of what
// came and of what was passed on.
type stream struct {
	pending []byte
	came    []byte // not yet read as a whole message
	passed  []byte
}

type conn struct {
	id        uint64
	wire      string
	to        string
	from      string // known from its hello
	life      int64
	ways      [2]stream // there, back
	opened    time.Duration
	unread    bool
	requests  []*request // asked and not answered
	parser    httpcodec.Parser
	responses httpcodec.ResponseReader
	events    int // bytes of a streamed body that have been read
	welcome   map[string]bool
}

type request struct {
	at     time.Duration
	method string
	path   string
	body   []byte
}

func (c *checker) record(r *tappb.Record) {
	now := time.Duration(r.TimeNs)
	if c.start == 0 {
		c.start = now
	}
	c.now = now
	switch b := r.Body.(type) {
	case *tappb.Record_Open:
		c.conns[b.Open.Conn] = &conn{id: b.Open.Conn, wire: b.Open.Wire, to: b.Open.To, from: b.Open.Via,
			opened:  now,
			welcome: map[string]bool{}}
	case *tappb.Record_Sent:
		if k := c.conns[b.Sent.Conn]; k != nil && !k.unread {
			c.came(k, b.Sent.Back, b.Sent.Data)
		}
	case *tappb.Record_Delivered:
		if k := c.conns[b.Delivered.Conn]; k != nil && !k.unread {
			c.passed(k, b.Delivered)
		}
	case *tappb.Record_Close:
		if k := c.conns[b.Close.Conn]; k != nil {
			c.connClosed(k)
			delete(c.conns, b.Close.Conn)
		}
	case *tappb.Record_Mark:
		c.mark(b.Mark.What, b.Mark.Party)
	}
}

func way(back bool) int {
	if back {
		return 1
	}
	return 0
}

func (c *checker) came(k *conn, back bool, data []byte) {
	s := &k.ways[way(back)]
	s.pending = append(s.pending, data...)
	if k.wire == ClientWire {
		c.http(k, back, data)
		return
	}
	s.came = append(s.came, data...)
	s.came = c.frames(k, s.came, func(f *nodepb.Frame) { c.frameSent(k, back, f) })
}

func (c *checker) passed(k *conn, d *tappb.Delivered) {
	s := &k.ways[way(d.Back)]
	n, all := int(d.Bytes), int(d.Bytes+d.Dropped)
	if all > len(s.pending) {
		c.unreadable(k, errors.New("more was passed on than had come"))
		return
	}
	if k.wire != ClientWire {
		s.passed = append(s.passed, s.pending[:n]...)
		s.passed = c.frames(k, s.passed, func(f *nodepb.Frame) { c.frameDelivered(k, d.Back, f) })
	}
	s.pending = append(s.pending[:0], s.pending[all:]...)
}

// frames reads whole frames off the front.
func (c *checker) frames(k *conn, b []byte, each func(*nodepb.Frame)) []byte {
	used := 0
	for {
		f, n, err := nodeframe.Next(b[used:])
		if err != nil {
			c.unreadable(k, err)
			return nil
		}
		if f == nil {
			return append(b[:0], b[used:]...)
		}
		used += n
		each(f)
	}
}

// unreadable notes a connection whose bytes make no sense any more. After a proxy has dropped bytes on purpose
// that is to be expected, and the parties close it as well; without, the verdict is not to be trusted.
func (c *checker) unreadable(k *conn, err error) {
	k.unread = true
	if !c.dropping {
		c.v.Unread = append(c.v.Unread, fmt.Sprintf("connection %d to %s (%s): %v", k.id, k.to, k.wire, err))
	}
}

func (c *checker) http(k *conn, back bool, data []byte) {
	if !back {
		s := &k.ways[0]
		s.came = append(s.came, data...)
		for {
			req, used, _, err := k.parser.Parse(s.came)
			if err != nil { // a client that sends rubbish on purpose
				k.unread = true
				return
			}
			if req == nil {
				return
			}
			k.requests = append(k.requests, &request{at: c.now, method: req.Method, path: req.Path,
				body: append([]byte(nil), req.Body...)})
			s.came = append(s.came[:0], s.came[used:]...)
		}
	}
	err := k.responses.Feed(data, func(r *httpcodec.Response) {
		if len(k.requests) == 0 {
			return
		}
		q := k.requests[0]
		if r.Get("content-type") == "text/event-stream" {
			c.eventStream(k, r)
		} else if r.Done {
			c.answered(k, q, r)
		}
		if r.Done {
			k.requests, k.events = k.requests[1:], 0
		}
	})
	if err != nil {
		c.unreadable(k, err)
	}
}
