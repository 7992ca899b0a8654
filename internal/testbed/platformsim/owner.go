package platformsim

import (
	"fmt"
	"strconv"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/ownerjson"
	"flaxshelf.example/flaxshelf/internal/requests"
)

// request is a request of an owner, or a task that an owner hands over.
type request struct {
	id       uint64
	class    string
	key      string
	service  string
	cores    float64
	memory   float64
	lifetime time.Duration // of the task, if it comes to its end by itself
	timeLeft time.Duration
	sentAt   Time
	conn     *conn

	answers    int    // final answers that the owner has received
	abandoned  bool   // the owner has given it up, or its connection has ended
	runsAt     string // the node that has the task, according to the answer or the hand-over
	placed     bool   // an answer has arrived, or the task was handed over
	terminated bool   // the owner needs no notification of its end: it has one, or has ended the task itself
	handedOver Time   // when it was last handed over
}

func (r *request) name() string { return fmt.Sprintf("%016x", r.id) }

// owner is the client of a scheduler. It submits tasks, ends some of them, submits a task again that may not run any more, and
// hands over what runs to a scheduler that has just started.
type owner struct {
	sim       *simulation
	conn      *conn
	buffer    []byte
	admitted  bool // the scheduler has passed a health check since the connection was opened
	connected Time // since when conn is open and admitted
	// handOverLost says that a connection has ended soon after a hand-over, which is to be repeated.
	handOverLost bool
	requests     map[uint64]*request
	lastID       uint64
	submitted    int
	placed       int
}

const (
	pingInterval     = time.Second
	reconnectDelay   = 5 * time.Millisecond
	handOverLag      = 100 * time.Millisecond // for which an owner may not know that a task has ended
	ownerGiveUpRate  = 0.05                   // fraction of the requests that their owner takes back
	maxGiveUpDelay   = 200 * time.Millisecond
	ownerReleaseRate = 0.2 // fraction of the tasks that their owner ends
)

func newOwner(s *simulation) *owner { return &owner{sim: s, requests: map[uint64]*request{}} }

// start connects, and submits requests from the first passed health check on.
func (o *owner) start() {
	o.connect()
	o.scheduleSubmission()
}

func (o *owner) connect() {
	o.buffer, o.admitted = nil, false
	o.conn = o.sim.scheduler.accept(o, "10.9.0.1")
	if o.conn == nil {
		o.sim.after(pingInterval, o.connect)
		return
	}
	o.ping(o.conn)
}

// ping sends a health check each second while the connection is open.
func (o *owner) ping(c *conn) {
	if c != o.conn || c.isClosed {
		return
	}
	o.sendLine(c, `{"type":"ping","id":"%016x","fields":{},"cause":0}`, o.newID())
	o.sim.after(pingInterval, func() { o.ping(c) })
}

// reachable reports whether the owner has an open connection to a scheduler that has passed a health check.
func (o *owner) reachable() bool { return o.conn != nil && !o.conn.isClosed && o.admitted }

func (o *owner) newID() uint64 {
	o.lastID++
	return o.lastID<<16 | uint64(o.sim.rng.IntN(1<<16))
}

func (o *owner) sendLine(c *conn, format string, args ...any) {
	c.send(dialer, fmt.Appendf(nil, format+"\n", args...))
}

// prepareStandby makes tasks run at the nodes before the scheduler starts. The owner hands them over.
func (o *owner) prepareStandby() {
	for i := range o.sim.day.Standby {
		req := o.newRequest(classIdempotent)
		n := o.sim.nodes[i%len(o.sim.nodes)]
		req.placed, req.runsAt = true, n.id
		r := &run{id: req.id, request: req, node: n, startedAt: o.sim.now}
		n.hold(r)
		n.scheduleEnd(r)
	}
}

// scheduleSubmission submits requests with random intervals, while the day lasts.
func (o *owner) scheduleSubmission() {
	if o.sim.day.Rate <= 0 {
		return
	}
	interval := time.Duration(o.sim.rng.ExpFloat64() / o.sim.day.Rate * float64(time.Second))
	o.sim.after(interval, func() {
		if o.sim.sinceStart() > o.sim.day.Length {
			return
		}
		if o.reachable() {
			o.submit(o.newRequest(o.randomClass()))
		}
		o.scheduleSubmission()
	})
}

func (o *owner) randomClass() string {
	switch draw := o.sim.rng.Float64(); {
	case draw < o.sim.day.Keyed:
		return classKeyed
	case draw < o.sim.day.Keyed+o.sim.day.Unsafe:
		return classUnsafe
	}
	return classIdempotent
}

func (o *owner) newRequest(class string) *request {
	req := &request{id: o.newID(), class: class, cores: 0.5, memory: 1, timeLeft: smallTimeLeft,
		lifetime: o.sim.between(2*time.Second, 12*time.Second)}
	if class == classKeyed {
		req.cores, req.memory, req.timeLeft = 6, 14, largeTimeLeft
		req.lifetime = o.sim.between(8*time.Second, 30*time.Second)
	}
	req.key, req.service = "k"+strconv.FormatUint(req.id, 16), "v"+strconv.Itoa(o.sim.rng.IntN(40))
	o.requests[req.id] = req
	return req
}

// submit sends a request.
func (o *owner) submit(req *request) {
	req.sentAt, req.conn = o.sim.now, o.conn
	o.submitted++
	o.sim.logf("owner: request %s, %s, key %s", req.name(), req.class, req.key)
	o.sendSetUp(req, "")
	o.sim.judge.submitted(req)
	if o.sim.day.GiveUps > 0 && o.sim.rng.Float64() < o.sim.day.GiveUps {
		o.sim.after(o.sim.between(0, maxGiveUpDelay), func() { o.giveUp(req) })
	}
}

// giveUp takes a request back that has no answer yet.
func (o *owner) giveUp(req *request) {
	if req.answers > 0 || req.abandoned || !o.reachable() {
		return
	}
	req.abandoned, req.terminated = true, true
	o.sim.logf("owner: gives up %s", req.name())
	o.sendLine(o.conn, `{"type":"release","id":"%s","fields":{},"cause":16}`, req.name())
	o.sim.judge.givenUp(req)
}

func (o *owner) sendSetUp(req *request, at string) {
	if at != "" {
		at = ";at:" + at
	}
	o.sendLine(o.conn, `{"type":"setup","id":"%s","fields":{"class":"%s","left":"%d","key":"%s","idem":"%s","extras":`+
		`"cores:%g;memory:%g;service:%s%s"},"sdp":"%s"}`, req.name(), req.class, req.timeLeft.Milliseconds(), req.key, req.key,
		req.cores, req.memory, req.service, at, req.name())
}

// submitAgain submits the task of a request under a new ID.
func (o *owner) submitAgain(req *request) {
	if o.sim.sinceStart() > o.sim.day.Length {
		return
	}
	if !o.reachable() {
		o.sim.after(100*time.Millisecond, func() { o.submitAgain(req) })
		return
	}
	next := o.newRequest(req.class)
	next.key, next.service = req.key, req.service
	o.submit(next)
}

// received implements connHandler.
func (o *owner) received(c *conn, data []byte) {
	o.buffer = append(o.buffer, data...)
	for {
		m, size, err := ownerjson.Next(o.buffer)
		if err != nil {
			o.sim.judge.violate(ruleProtocol, "the owner got a malformed line: %v", err)
			return
		}
		if size == 0 {
			return
		}
		o.buffer = append([]byte(nil), o.buffer[size:]...)
		o.handle(c, m)
	}
}

func (o *owner) handle(c *conn, m *ownerjson.Message) {
	if m.Type == ownerjson.Pong {
		if m.Cause == 1 && !o.admitted && c == o.conn {
			o.admitted, o.connected = true, o.sim.now
			o.handOver()
		}
		return
	}
	id, _ := strconv.ParseUint(m.ID, 16, 64)
	req := o.requests[id]
	if req == nil {
		return // of a misbehaving client's report
	}
	o.sim.logf("owner: %s of %s, cause %d", m.Type, req.name(), m.Cause)
	switch {
	case m.Type == ownerjson.Answer:
		o.handleAnswer(req, m.Description)
	case m.Type == ownerjson.Move && req.placed:
		req.terminated = true
		o.submitAgain(req)
	case m.Type == ownerjson.Release && req.placed:
		o.handleEnd(req, requests.Cause(m.Cause))
	case m.Type == ownerjson.Release:
		o.handleFailure(req, requests.Cause(m.Cause))
	}
}

func (o *owner) handleAnswer(req *request, node string) {
	o.sim.judge.answered(req, true, 0)
	if req.abandoned {
		return
	}
	req.placed, req.runsAt = true, node
	o.placed++
	if o.sim.rng.Float64() < ownerReleaseRate {
		o.sim.after(o.sim.between(0, req.lifetime), func() { o.release(req) })
	}
}

// release ends a running task.
func (o *owner) release(req *request) {
	if req.terminated || !o.reachable() {
		return
	}
	req.terminated = true
	o.sim.logf("owner: releases %s", req.name())
	o.sendLine(o.conn, `{"type":"release","id":"%s","fields":{},"cause":16}`, req.name())
}

// handleEnd handles the notification that a running task has ended.
func (o *owner) handleEnd(req *request, cause requests.Cause) {
	if req.terminated {
		return
	}
	req.terminated = true
	if cause != requests.CauseNormal && req.class != classIdempotent {
		o.sim.after(makeSureDelay, func() { o.makeSure(req) })
	}
}

// handleFailure handles the rejection or failure of a request.
func (o *owner) handleFailure(req *request, cause requests.Cause) {
	o.sim.judge.answered(req, false, cause)
	if req.class != classIdempotent && cause != requests.CauseRejected {
		o.sim.after(makeSureDelay, func() { o.makeSure(req) })
	}
}

// makeSure hands a task over if it runs nevertheless, and otherwise submits it again.
func (o *owner) makeSure(req *request) {
	if r := o.sim.runOf(req); r != nil {
		req.placed, req.terminated = true, false
		o.handOverOne(r)
		return
	}
	o.submitAgain(req)
}

// handOver hands over all tasks that run according to the owner, after the scheduler has started.
func (o *owner) handOver() {
	if o.sim.scheduler.startedAt <= o.sim.judge.lastHandOver && !o.handOverLost {
		return
	}
	o.handOverLost = false
	o.sim.judge.lastHandOver = o.sim.now
	for _, req := range sortedRequests(o.requests) {
		r := o.sim.lastRunOf(req)
		switch {
		case !req.placed || req.terminated || r == nil:
		case r.endedAt != 0 && o.sim.now-r.endedAt > handOverLag:
			req.terminated = true // the owner has found out by itself
		default:
			o.handOverOne(r)
		}
	}
}

func (o *owner) handOverOne(r *run) {
	if !o.reachable() {
		return
	}
	r.request.handedOver, r.request.runsAt = o.sim.now, r.node.id
	o.sim.logf("owner: hands over %s at %s", r.request.name(), r.node.id)
	o.sendSetUp(r.request, r.node.id)
}

// closed implements connHandler. The owner connects again at once. What it had requested counts as failed.
func (o *owner) closed(c *conn, _ bool) {
	handOverLost := false
	for _, req := range sortedRequests(o.requests) {
		if req.conn == c {
			req.abandoned = true
		}
		handOverLost = handOverLost || req.handedOver > 0 && o.sim.now-req.handedOver < handOverPeriod
	}
	if c == o.conn {
		o.handOverLost = handOverLost
		o.sim.logf("owner: its connection has ended")
		o.admitted = false
		o.sim.after(reconnectDelay, o.connect)
	}
}
