package platformsim

import (
	"fmt"
	"strconv"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodebinary"
	"flaxshelf.example/flaxshelf/internal/requests"
)

const (
	answerDelay  = 8 * time.Millisecond    // between an offer and its answer
	slowAnswer   = 1500 * time.Millisecond // the longest answer delay of a slow node
	usageReports = 250 * time.Millisecond  // between the reports on a running task
	nodeCores    = 30 * 1.5                // cores that the tasks of a node may request in all
)

// node is a stand-in node. It accepts what fits, reports the usage of each running task, and sends a release when a task ends.
type node struct {
	sim     *simulation
	id      string
	addr    string
	room    int
	started int64 // Unix milliseconds of a late start, else 0
	state   string

	down         bool // its process has died
	replaced     bool // it has died for good, and another node gets its address
	closing      bool // it closes each connection at once
	cutOffUntil  Time
	conns        []*conn // open ones in the order of their opening
	tasks        map[uint64]*run
	buffers      map[*conn][]byte
	spoilt       []FaultKind // how to spoil the next answers
	hungUntil    Time        // until when its process does not run
	slowUntil    Time        // until when its answers take slowAnswer
	lateUntil    Time        // until when new connections come up late
	serviceUntil Time        // until when idempotent-by-key tasks get poor service
	unreported   [][]byte    // releases to send again on the next connection
}

// run is a task that runs at a node.
type run struct {
	id        uint64
	request   *request
	node      *node
	conn      *conn // of its offer; nil if it was handed over
	startedAt Time
	endedAt   Time // 0 while it runs
	endCause  requests.Cause
}

func newNode(s *simulation, id, addr string, room int) *node {
	return &node{sim: s, id: id, addr: addr, room: room, state: "active", tasks: map[uint64]*run{}, buffers: map[*conn][]byte{}}
}

// entry returns the node's entry in the list.
func (n *node) entry(state string) string {
	n.state = state
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":%q,"kind":"medium","cell":%d,"state":%q,"weight":1,"started_ms":%d}`,
		n.id, n.addr, roomName(n.room), n.room, state, n.started)
}

// opened handles a new connection of a scheduler.
func (n *node) opened(c *conn) {
	if n.sim.now < n.hungUntil { // the connection waits in the listen backlog
		n.sim.timers.Schedule(n.hungUntil, func() {
			if !c.isClosed && !n.down {
				n.opened(c)
			}
		})
		return
	}
	n.conns = append(n.conns, c)
	if n.closing {
		n.forget(c)
		c.close(listener)
		c.isClosed = true
		return
	}
	for _, message := range n.unreported {
		c.send(listener, message)
	}
	n.unreported = nil
}

func (n *node) forget(c *conn) {
	for i, open := range n.conns {
		if open == c {
			n.conns = append(n.conns[:i:i], n.conns[i+1:]...)
			break
		}
	}
	delete(n.buffers, c)
}

// closed implements connHandler.
func (n *node) closed(c *conn, _ bool) { n.forget(c) }

// received implements connHandler. While the process does not run, the bytes wait.
func (n *node) received(c *conn, data []byte) {
	if n.sim.now < n.hungUntil {
		n.sim.timers.Schedule(max(n.hungUntil, c.lastAt[listener]+1), func() { n.received(c, data) })
		return
	}
	buffer := append(n.buffers[c], data...)
	for {
		m, size, err := nodebinary.Next(buffer)
		if err != nil {
			n.sim.judge.violate(ruleProtocol, "node %s: malformed message: %v", n.id, err)
			return
		}
		if size == 0 {
			n.buffers[c] = buffer
			return
		}
		buffer = append([]byte(nil), buffer[size:]...)
		n.handle(c, m)
	}
}

func (n *node) handle(c *conn, m nodebinary.Message) {
	if n.down {
		return
	}
	switch m.Type {
	case nodebinary.SetUp:
		n.handleOffer(c, &m)
	case nodebinary.Release:
		n.sim.logf("%s: release of %016x, cause %d", n.id, m.Task, m.Cause)
		if r := n.tasks[m.Task]; r != nil {
			n.end(r, requests.CauseCanceled)
			n.send(c, nodebinary.Message{Type: nodebinary.Release, Task: m.Task, Cause: int(requests.CauseCanceled)})
		}
	}
}

func (n *node) handleOffer(c *conn, m *nodebinary.Message) {
	s := n.sim
	s.logf("%s: offer of %016x, key %s", n.id, m.Task, m.Key)
	req := s.owner.requests[m.Task]
	s.judge.offerArrived(n, m.Task, req)
	if req == nil {
		return
	}
	if r := n.tasks[m.Task]; r != nil { // the offer is repeated: the copy that runs is the answer
		r.conn = c
		s.after(answerDelay, func() { n.answer(c, r) })
		return
	}
	if reason := n.rejection(req); reason != "" {
		s.after(answerDelay, func() {
			s.judge.offerRejected(n, req)
			n.send(c, nodebinary.Message{Type: nodebinary.Release, Task: m.Task, Cause: int(requests.CauseRejected),
				Token: reason})
		})
		return
	}
	r := &run{id: m.Task, request: req, node: n, conn: c, startedAt: s.now}
	n.hold(r)
	n.scheduleEnd(r)
	s.after(n.answerDelay(), func() { n.answer(c, r) })
}

// answerDelay returns how long the node takes to answer an offer.
func (n *node) answerDelay() time.Duration {
	if n.sim.now < n.slowUntil {
		return n.sim.between(answerDelay, slowAnswer)
	}
	return answerDelay
}

// rejection returns why the node rejects an offer, or "".
func (n *node) rejection(req *request) string {
	if n.state != "active" {
		return "drained"
	}
	used := req.cores
	for _, r := range n.tasks {
		used += r.request.cores
	}
	if used > nodeCores {
		return "cpu_full"
	}
	if req.class != classKeyed {
		return ""
	}
	for _, other := range n.sim.rooms[n.room] {
		for _, r := range other.tasks {
			if r.request.key == req.key {
				return "wrong_host"
			}
		}
	}
	return ""
}

// hold makes a task run at the node.
func (n *node) hold(r *run) {
	n.tasks[r.id] = r
	n.sim.judge.started(r)
	n.reportUsage(r)
}

// reportUsage reports the service of a task until it ends.
func (n *node) reportUsage(r *run) {
	if r.endedAt != 0 || n.down {
		return
	}
	if n.sim.now < n.hungUntil {
		n.sim.timers.Schedule(n.hungUntil, func() { n.reportUsage(r) })
		return
	}
	service := 1.0
	if r.request.class == classKeyed && n.sim.now < n.serviceUntil {
		service = 0.2
	}
	if c := n.connOf(r); c != nil {
		n.send(c, nodebinary.Message{Type: nodebinary.Note, Task: r.id, Cause: nodebinary.NoCause, Token: "share",
			Value: strconv.FormatFloat(service, 'g', -1, 64)})
	}
	n.sim.after(usageReports, func() { n.reportUsage(r) })
}

// connOf returns the connection on which to report on a task: that of its offer, otherwise the newest one that works.
func (n *node) connOf(r *run) *conn {
	if r.conn != nil && !r.conn.isClosed && !r.conn.finished && !r.conn.useless {
		return r.conn
	}
	for i := len(n.conns) - 1; i >= 0; i-- {
		if c := n.conns[i]; !c.isClosed && !c.useless {
			return c
		}
	}
	return nil
}

// scheduleEnd lets a task come to its end by itself.
func (n *node) scheduleEnd(r *run) {
	n.sim.after(r.request.lifetime, func() {
		if r.endedAt == 0 && n.sim.now < n.hungUntil {
			n.sim.timers.Schedule(n.hungUntil, func() { n.finish(r) })
			return
		}
		n.finish(r)
	})
}

// finish lets a task come to its end now.
func (n *node) finish(r *run) {
	if r.endedAt == 0 {
		n.end(r, requests.CauseNormal)
		n.reportEnd(r)
	}
}

// reportEnd sends the release of a task that has ended by itself, also on the next connection that is opened.
func (n *node) reportEnd(r *run) {
	m := nodebinary.Message{Type: nodebinary.Release, Task: r.id, Cause: int(r.endCause)}
	encoded, err := nodebinary.Append(nil, &m)
	if err != nil {
		panic(err) // the message is always valid
	}
	n.unreported = append(n.unreported, encoded)
	if c := n.connOf(r); c != nil {
		c.send(listener, encoded)
	}
}

// end ends a task without a message.
func (n *node) end(r *run, cause requests.Cause) {
	delete(n.tasks, r.id)
	r.endedAt, r.endCause = n.sim.now, cause
	n.sim.logf("%s: %016x ends, cause %d", n.id, r.id, cause)
	n.sim.judge.ended(r)
}

// answer answers an offer that the node has accepted, spoilt as the current faults want it.
func (n *node) answer(c *conn, r *run) {
	m := nodebinary.Message{Type: nodebinary.Answer, Task: r.id, Cause: nodebinary.NoCause, HasDescription: true,
		Description: n.id}
	if len(n.spoilt) == 0 {
		n.send(c, m)
		return
	}
	kind := n.spoilt[0]
	n.spoilt = n.spoilt[1:]
	n.sim.logf("%s: the answer to %016x is spoilt: %s", n.id, r.id, kind)
	switch kind {
	case AnswerLost:
		c.useless = true
	case AnswerNoise:
		m.Description = "\x9d\xff\x00\xfe noise"
		n.sendLast(c, m)
	case AnswerCut:
		encoded, _ := nodebinary.Append(nil, &m)
		c.send(listener, encoded[:len(encoded)/2])
		n.sim.after(2*latency, func() { c.useless = true })
	case AnswerLate:
		n.sim.after(3*time.Second, func() { n.send(c, m) })
	case AnswerTwice:
		n.send(c, m)
		n.sim.after(5*time.Millisecond, func() { n.send(c, m) })
	}
}

// sendLast sends a message after which the connection stays open and is of no further use.
func (n *node) sendLast(c *conn, m nodebinary.Message) {
	n.send(c, m)
	n.sim.after(2*latency, func() { c.useless = true })
}

func (n *node) send(c *conn, m nodebinary.Message) {
	encoded, err := nodebinary.Append(nil, &m)
	if err != nil {
		panic(err) // the messages of this file are always valid
	}
	c.send(listener, encoded)
}

// die ends the node's process: its connections are reset and its tasks end without a message.
func (n *node) die() {
	n.down = true
	for _, c := range append([]*conn(nil), n.conns...) {
		c.reset()
	}
	for _, r := range sortedRuns(n.tasks) {
		n.end(r, requests.CauseLost)
	}
	n.unreported = nil
}
