package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"
)

// placedAnswer is the answer to a request whose task stands.
const placedAnswer = "placed"

// request is what an owner knows of one set-up.
type request struct {
	id       string
	sentAt   time.Time
	left     time.Duration
	answers  int    // final answers: an answer or a release before one
	answer   string // placedAnswer, "refused", "failed"
	answerAt time.Time
	closedAt time.Time // when its connection ended without its answer
	overAt   time.Time // when the owner was told that the task is over, after it was placed
	overs    int
}

// owners is the owners' side: their connections to one scheduler and their requests.
type owners struct {
	addr string
	host string // the local address of its connections; empty: any
	rec  *recorder

	mu      sync.Mutex
	reqs    map[string]*request
	foreign map[string]bool // tasks of others that it was told of
	next    uint64
	pong    chan struct{}
}

type ownerConn struct {
	o    *owners
	name string
	conn net.Conn
	open map[string]*request // without an answer

	ended chan struct{} // closed when the connection has ended
}

func newOwners(addr string, rec *recorder) *owners {
	return &owners{addr: addr, rec: rec, reqs: map[string]*request{}, foreign: map[string]bool{},
		next: uint64(time.Now().UnixNano()) << 8, pong: make(chan struct{}, 16)}
}

func (o *owners) dial(name string) (*ownerConn, error) {
	d := net.Dialer{Timeout: 2 * time.Second}
	if o.host != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(o.host)}
	}
	conn, err := d.Dial("tcp", o.addr)
	if err != nil {
		return nil, err
	}
	c := &ownerConn{o: o, name: name, conn: conn, open: map[string]*request{}, ended: make(chan struct{})}
	go c.read()
	return c, nil
}

// all returns all requests, in the order in which they were sent.
func (o *owners) all() (reqs []*request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.reqs {
		reqs = append(reqs, r)
	}
	slices.SortFunc(reqs, func(a, b *request) int { return a.sentAt.Compare(b.sentAt) })
	return reqs
}

// answerSlack is how long after its time a request may get its answer, with the slack of every time limit.
const answerSlack = 550 * time.Millisecond

// unanswered says which requests have no answer, one that came too late, or more than one.
func (o *owners) unanswered(reqs []*request) (broken []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	slowest := time.Duration(0)
	for _, r := range reqs {
		waited := r.answerAt.Sub(r.sentAt)
		switch {
		case r.answers == 0 && !r.closedAt.IsZero():
			broken = append(broken, fmt.Sprintf("request %s (left %v): its connection ended after %v without an answer", r.id,
				r.left, r.closedAt.Sub(r.sentAt).Round(time.Millisecond)))
		case r.answers == 0:
			broken = append(broken, fmt.Sprintf("request %s (left %v) has no answer", r.id, r.left))
		case r.answers > 1:
			broken = append(broken, fmt.Sprintf("request %s has %d answers", r.id, r.answers))
		case waited > r.left+answerSlack:
			broken = append(broken, fmt.Sprintf("request %s (left %v) got its answer after %v", r.id, r.left,
				waited.Round(time.Millisecond)))
		}
		slowest = max(slowest, waited)
	}
	o.rec.say("%d requests judged, %d broken, slowest answer after %v", len(reqs), len(broken), slowest.Round(time.Millisecond))
	return broken
}

// ready waits until the scheduler passes a test.
func (o *owners) ready(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		c, err := o.dial("test")
		if err == nil {
			c.write(jsonMessage{Type: "ping", ID: "00000000000000aa", Fields: map[string]any{}, Cause: new(int)})
			select {
			case <-o.pong:
				_ = c.conn.Close()
				return true
			case <-time.After(500 * time.Millisecond):
			}
			_ = c.conn.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

func (c *ownerConn) write(messages ...jsonMessage) {
	var b []byte
	for _, m := range messages {
		line, _ := json.Marshal(m)
		b = append(append(b, line...), '\n')
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
	_, _ = c.conn.Write(b)
}

type task struct {
	class, service string
	cores, memory  float64
	left           time.Duration
	leftText       string // instead of left
	sdp            string
	at             string
}

// message returns the set-up of a task.
func message(id string, t task) jsonMessage {
	if t.sdp == "" {
		t.sdp = "d " + id + "\r\nc=IN\r\n"
	}
	left := t.leftText
	if left == "" {
		left = strconv.FormatInt(t.left.Milliseconds(), 10)
	}
	extras := fmt.Sprintf("cores:%g;memory:%g;service:%s", t.cores, t.memory, t.service)
	if t.at != "" {
		extras += ";at:" + t.at
	}
	return jsonMessage{Type: "setup", ID: id, SDP: &t.sdp,
		Fields: map[string]any{"class": t.class, "left": left, "key": "k" + id, "extras": extras}}
}

// register registers a new request.
func (c *ownerConn) register(t task) *request {
	c.o.mu.Lock()
	defer c.o.mu.Unlock()
	c.o.next += 0x9e3779b97f4a7c15
	r := &request{id: fmt.Sprintf("%016x", c.o.next), sentAt: time.Now(), left: t.left}
	c.o.reqs[r.id], c.open[r.id] = r, r
	return r
}

// submit sends requests together.
func (c *ownerConn) submit(tasks ...task) (reqs []*request) {
	var messages []jsonMessage
	for _, t := range tasks {
		r := c.register(t)
		m := message(r.id, t)
		c.o.rec.add("owner %s setup %s class %s left %v", c.name, r.id, t.class, m.Fields["left"])
		messages, reqs = append(messages, m), append(reqs, r)
	}
	c.write(messages...)
	return reqs
}

func (c *ownerConn) read() {
	r := bufio.NewReaderSize(c.conn, 64<<10)
	var end error
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			end = err
			break
		}
		var m jsonMessage
		if err := json.Unmarshal(line, &m); err != nil {
			c.o.rec.add("owner %s got a line that can't be read: %q", c.name, line)
			continue
		}
		c.handle(&m)
	}
	c.o.mu.Lock()
	defer c.o.mu.Unlock()
	for _, r := range c.open {
		r.closedAt = time.Now()
		c.o.rec.add("owner %s connection ended (%v) without the answer to %s", c.name, end, r.id)
	}
	c.open = map[string]*request{}
	_ = c.conn.Close()
	c.o.rec.add("owner %s connection ended (%v)", c.name, end)
	close(c.ended)
}

// strange reports whether the owner was told of a task that is not its own.
func (o *owners) strange(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.foreign[id]
}

func (c *ownerConn) handle(m *jsonMessage) {
	now := time.Now()
	if m.Type == "pong" {
		if m.Cause != nil && *m.Cause == 1 {
			select {
			case c.o.pong <- struct{}{}:
			default:
			}
		}
		return
	}
	cause := -1
	if m.Cause != nil {
		cause = *m.Cause
	}
	c.o.rec.add("owner %s got %s %s cause %d", c.name, m.Type, m.ID, cause)
	c.o.mu.Lock()
	defer c.o.mu.Unlock()
	r := c.o.reqs[m.ID]
	if r == nil {
		c.o.foreign[m.ID] = true
		return
	}
	delete(c.open, m.ID)
	switch m.Type {
	case "answer":
		r.answers++
		r.answer, r.answerAt = placedAnswer, now
	case "release", "move":
		if r.answer == placedAnswer {
			r.overs++
			if r.overAt.IsZero() {
				r.overAt = now
			}
			return
		}
		r.answers++
		r.answerAt = now
		r.answer = "failed"
		if cause == 34 || cause == 42 || cause == 102 {
			r.answer = "refused"
		}
	}
}

// handOver sends the set-up of a task that a node holds already. The request of its owner stays as it is.
func (c *ownerConn) handOver(id string, t task) {
	m := message(id, t)
	c.o.rec.add("owner %s setup %s at %s", c.name, id, t.at)
	c.write(m)
}
