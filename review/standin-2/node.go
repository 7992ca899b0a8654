package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// node is a stand-in node: it reviews one set-up at a time, answers, runs tasks, reports their use and their ends.
type node struct {
	id       string
	rec      *recorder
	listener net.Listener

	admit    time.Duration        // review of one set-up
	maxTasks int                  // tasks that it accepts; further ones are refused as full
	life     func() time.Duration // how long a task runs
	crowded  bool                 // another program takes a part of the machine
	rng      *rand.Rand
	onEnd    func(task string)

	mu      sync.Mutex
	conns   map[net.Conn]bool
	tasks   map[uint64]*nodeTask
	pending map[uint64]*binaryMessage // releases that are sent on the next connection that is opened
	sent    map[uint64]time.Time      // when a release was first sent
	setups  chan setup
	closed  bool
}

type nodeTask struct {
	conn       net.Conn
	nextChange time.Time
}

type setup struct {
	conn net.Conn
	m    *binaryMessage
}

func newNode(id string, rec *recorder) (*node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{id: id, rec: rec, listener: listener, admit: 5 * time.Millisecond, maxTasks: 100, conns: map[net.Conn]bool{},
		tasks: map[uint64]*nodeTask{}, pending: map[uint64]*binaryMessage{}, sent: map[uint64]time.Time{},
		setups: make(chan setup, 4096)}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	n.rng = rand.New(rand.NewPCG(hash.Sum64(), 1))
	n.life = func() time.Duration { return 20 * time.Second }
	return n, nil
}

func (n *node) start() {
	go n.accept()
	go n.review()
	go n.notes()
}

func (n *node) addr() string { return n.listener.Addr().String() }

func (n *node) accept() {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		if n.closed {
			n.mu.Unlock()
			_ = conn.Close()
			return
		}
		n.conns[conn] = true
		repeats := n.pending
		n.pending = map[uint64]*binaryMessage{}
		for task, m := range repeats {
			n.send(conn, m)
			if _, ok := n.sent[task]; !ok {
				n.sent[task] = time.Now()
				n.rec.add("node %s release %016x cause %d sent on a new connection", n.id, task, m.params[paramCause][0])
			}
		}
		n.mu.Unlock()
		go n.serve(conn)
	}
}

func (n *node) send(conn net.Conn, m *binaryMessage) bool {
	_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, err := conn.Write(m.encode())
	return err == nil
}

func (n *node) serve(conn net.Conn) {
	r := bufio.NewReader(conn)
	for {
		m, err := readBinary(r)
		if err != nil {
			break
		}
		switch m.kind {
		case typeSetUp:
			n.rec.add("node %s got setup %016x", n.id, m.task)
			n.setups <- setup{conn, m}
		case typeRelease:
			n.rec.add("node %s got release %016x cause %d", n.id, m.task, m.params[paramCause][0])
			n.cut(m.task)
		case typePing:
			n.mu.Lock()
			n.send(conn, &binaryMessage{kind: typePong, task: m.task, params: map[byte]string{paramCause: "\x01"}})
			n.mu.Unlock()
		}
	}
	n.mu.Lock()
	delete(n.conns, conn)
	n.mu.Unlock()
	_ = conn.Close()
}

// review answers the set-ups, one at a time.
func (n *node) review() {
	for s := range n.setups {
		time.Sleep(n.admit)
		n.mu.Lock()
		if !n.conns[s.conn] { // the set-ups open on a closed connection are given up
			n.mu.Unlock()
			continue
		}
		if len(n.tasks) >= n.maxTasks {
			n.rec.add("node %s refused %016x", n.id, s.m.task)
			n.send(s.conn, releaseMessage(s.m.task, 34, "cpu_full"))
			n.mu.Unlock()
			continue
		}
		task := s.m.task
		id := fmt.Sprintf("%016x", task)
		if strings.HasPrefix(s.m.params[paramDescription], "bad ") {
			n.send(s.conn, releaseMessage(task, 47, ""))
			n.mu.Unlock()
			continue
		}
		n.rec.add("node %s answered %s", n.id, id)
		n.tasks[task] = &nodeTask{conn: s.conn, nextChange: n.nextChange()}
		n.send(s.conn, answerMessage(task, "run "+id+" at "+n.id))
		n.mu.Unlock()
		time.AfterFunc(n.life(), func() { n.end(task, 16) })
	}
}

// cut ends a task that the scheduler released.
func (n *node) cut(task uint64) {
	n.end(task, 31)
}

func (n *node) end(task uint64, cause byte) {
	n.mu.Lock()
	t := n.tasks[task]
	if t == nil || n.closed {
		n.mu.Unlock()
		return
	}
	delete(n.tasks, task)
	m := releaseMessage(task, cause, "")
	conn := n.connFor(t)
	sent := conn != nil && n.send(conn, m)
	if sent {
		n.sent[task] = time.Now()
	}
	n.pending[task] = m
	n.rec.add("node %s end of %016x cause %d, release sent: %v", n.id, task, cause, sent)
	n.mu.Unlock()
	if n.onEnd != nil {
		n.onEnd(fmt.Sprintf("%016x", task))
	}
}

// notes reports what the tasks use whenever that changes, and once a second how well the worst-served task is served while the
// node is crowded.
func (n *node) notes() {
	for tick := 0; ; tick++ {
		time.Sleep(time.Second)
		n.mu.Lock()
		if n.closed {
			n.mu.Unlock()
			return
		}
		crowded := n.crowded
		for task, t := range n.tasks {
			changes := time.Now().After(t.nextChange)
			if !changes && !crowded {
				continue
			}
			conn := n.connFor(t)
			if conn == nil {
				continue
			}
			if changes {
				t.nextChange = n.nextChange()
				n.send(conn, noteMessage(task, "cpu", 0.4))
				n.send(conn, noteMessage(task, "mem", 1.2))
			}
			if crowded {
				n.send(conn, noteMessage(task, "share", 0.9))
				crowded = false
			}
		}
		n.mu.Unlock()
	}
}

// nextChange draws when the use of a task changes next: after 4 to 15 s.
func (n *node) nextChange() time.Time {
	return time.Now().Add(4*time.Second + time.Duration(n.rng.Int64N(int64(11*time.Second))))
}

// connFor returns the connection of a task's set-up, otherwise any open connection; nil if none is open.
func (n *node) connFor(t *nodeTask) net.Conn {
	if n.conns[t.conn] {
		return t.conn
	}
	for conn := range n.conns {
		return conn
	}
	return nil
}

// firstSent returns when the release of a task was first sent.
func (n *node) firstSent(id string) (time.Time, bool) {
	task, _ := strconv.ParseUint(id, 16, 64)
	n.mu.Lock()
	defer n.mu.Unlock()
	at, ok := n.sent[task]
	return at, ok
}

// held returns the tasks that stand.
func (n *node) held() map[string]bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	held := map[string]bool{}
	for task := range n.tasks {
		held[fmt.Sprintf("%016x", task)] = true
	}
	return held
}
