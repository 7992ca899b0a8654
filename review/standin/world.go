package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world holds the stand-ins of one run: the platform (configuration, control feed, processes), the nodes and the owners.
type world struct {
	root    string
	dir     string
	trouble bool
	start   time.Time

	mu     sync.Mutex
	record *os.File
	broken []string

	feedListener net.Listener
	events       []string // data of the events of the control feed; event n is events[n-1]
	changed      chan struct{}

	nodes []*node
	procs []*exec.Cmd
}

type cannotRun struct{ text string }

func fail(format string, args ...any) { panic(cannotRun{fmt.Sprintf(format, args...)}) }

func must[T any](v T, err error) T {
	if err != nil {
		fail("%v", err)
	}
	return v
}

// log writes a line to the record, with the seconds since the start.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// violated records that the rule was broken.
func (w *world) violated(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.log("BROKEN %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

// settings returns the settings of a small deployment, with the names and units of the simulator's first message.
func settings() map[string]any {
	ms := func(n int64) int64 { return n * 1_000_000 }
	class := func(name, effect, scope string, objective, deadline int64, worth float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "key_scope": scope, "key_ttl_ns": ms(5000),
			"objective_ns": ms(objective), "deadline_ns": ms(deadline), "late_worth": 0.1, "stays": true, "worth": worth}
	}
	return map[string]any{
		"balancers": 1, "index": 0, "layer": 0, "zone": "sala-a", "zones": []string{"sala-a", "sala-b", "sala-c"},
		"domain_type": "place", "discovery": "on_request", "round_ns": ms(2), "kinds": []string{"node-medio", "node-grande"},
		"weight_source": "off", "worth_by": "work", "over_share_worth": 0.1, "customers": []any{},
		"tiers":   []string{"frota-calculo"},
		"clients": map[string]any{"marks_retry": false},
		"caps": map[string]any{"cancel": true, "conn_idle_ns": ms(30000), "connect_timeout_ns": ms(250),
			"cpu_us_per_request": 0.0, "cpu_us_per_s": 500000, "max_open": 1000000, "max_retry_after_ns": ms(3000),
			"most_tries": 3, "peers": false, "per_conn": 1048576, "probes": false, "retry_after": false,
			"second_copies": false},
		"categories": []any{
			class("leitura-sensores", "read_like", "all", 600, 6000, 3),
			class("simulacao-rede", "idempotency_key", "zone", 5000, 9000, 9),
		},
		"goal": map[string]any{"whole": 0.5, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.3},
		"obligations": map[string]any{"answer_slack_ns": ms(8), "ask_within_ns": ms(10000), "cold_from": 0.17,
			"cold_ns": ms(15000), "fall_multiple": 4.0, "fall_ns": ms(3000), "stop_sending_within_ns": ms(2000)},
		"prices": map[string]any{"cross_zone": 0.03, "discovery": 0.004, "moves": 0.08, "waste": 0.08},
		"specifics": map[string]any{"admit_cores": 1.5, "class_calm": []float64{1, 0.8}, "confirms": "accepted",
			"eviction_as_moves": 2.0, "fade_span": []float64{1, 0.2}, "fresh_offers": 86.0,
			"kind_by_class": []int{-1, -1}, "kind_cores": []int{30, 48}, "make_sure_ns": ms(3000), "measured_by": "used",
			"mem_of_kind": []float64{86, 155}, "memory_multiple": 1.5, "one_home": false,
			"priority_by_class": []int{0, 1}, "pushes_out": true, "quota_cores": []float64{}, "refusal_fee": 0.02,
			"says_pressure": true, "shows_free": false, "spread_over": []string{"zone", "off"},
			"start_seconds": []float64{12, 8}, "tells_use": true, "together_max": []int{4, 2}, "unit_cores": 0.86,
			"unit_memory": 2.33},
		"telemetry": map[string]any{"fields": []string{}, "via": "off"},
	}
}

// startFeed starts the control feed, which at first has one event with all nodes.
func (w *world) startFeed() {
	var servers []string
	for _, n := range w.nodes {
		servers = append(servers, n.entry("active", 0))
	}
	w.changed = make(chan struct{})
	w.events = []string{fmt.Sprintf(`{"n":1,"members":{"version":1,"full":true,"servers":[%s]}}`, strings.Join(servers, ","))}
	w.feedListener = must(net.Listen("tcp", "127.0.0.1:0"))
	server := &http.Server{Handler: http.HandlerFunc(w.serveFeed)}
	go server.Serve(w.feedListener)
}

func (w *world) serveFeed(out http.ResponseWriter, in *http.Request) {
	var last int
	fmt.Sscan(in.Header.Get("Last-Event-ID"), &last)
	w.log("feed: call of %s after event %d", in.URL.Path, last)
	out.Header().Set("Content-Type", "text/event-stream")
	out.WriteHeader(http.StatusOK)
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		w.mu.Lock()
		events, changed := w.events, w.changed
		w.mu.Unlock()
		for ; last < len(events); last++ {
			fmt.Fprintf(out, "id: %d\ndata: %s\n\n", last+1, events[last])
		}
		out.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-ticker.C:
			fmt.Fprint(out, ": still here\n\n")
		case <-in.Context().Done():
			return
		}
	}
}

// scheduler is one process of the program under test.
type scheduler struct {
	w      *world
	addr   string
	config string
	cmd    *exec.Cmd
	exited chan struct{}
}

// newScheduler writes the configuration of a scheduler.
func (w *world) newScheduler() *scheduler {
	l := must(net.Listen("tcp", "127.0.0.1:0"))
	s := &scheduler{w: w, addr: l.Addr().String(), config: filepath.Join(w.dir, "config.json")}
	l.Close()
	return s
}

// run starts the process by the line run of the deploy file.
func (s *scheduler) run() {
	w := s.w
	w.mu.Lock()
	var events []json.RawMessage
	for _, e := range w.events {
		events = append(events, json.RawMessage(e))
	}
	w.mu.Unlock()
	text := must(json.Marshal(map[string]any{"name": "n1", "listen": s.addr, "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "feed": w.feedListener.Addr().String(),
		"known": map[string]any{"n": len(events), "events": events}, "settings": settings()}))
	if err := os.WriteFile(s.config, text, 0o644); err != nil {
		fail("%v", err)
	}
	s.cmd = exec.Command("/bin/sh", "-c", w.deployLine("run"))
	s.cmd.Dir = w.root
	s.cmd.Env = append(os.Environ(), "GW_CONFIG="+s.config, "GW_LISTEN="+s.addr, "GW_NAME=n1", "TMPDIR="+w.dir)
	logFile := must(os.OpenFile(filepath.Join(w.dir, "scheduler.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644))
	s.cmd.Stdout, s.cmd.Stderr = logFile, logFile
	if err := s.cmd.Start(); err != nil {
		fail("start the scheduler: %v", err)
	}
	w.mu.Lock()
	w.procs = append(w.procs, s.cmd)
	w.mu.Unlock()
	exited := make(chan struct{})
	s.exited = exited
	cmd := s.cmd
	go func() {
		cmd.Wait()
		w.log("platform: scheduler process %d ended: %v", cmd.Process.Pid, cmd.ProcessState)
		close(exited)
	}()
	w.log("platform: scheduler started, process %d, address %s", s.cmd.Process.Pid, s.addr)
}

// kill ends the process outright.
func (s *scheduler) kill() {
	s.w.log("platform: SIGKILL to the scheduler")
	s.cmd.Process.Kill()
	<-s.exited
}

// alive reports whether the process runs.
func (s *scheduler) alive() bool {
	select {
	case <-s.exited:
		return false
	default:
		return true
	}
}

// deployLine returns the value of a line of the deploy file.
func (w *world) deployLine(name string) string {
	text := must(os.ReadFile(filepath.Join(w.root, "deploy/balancer.toml")))
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, name+" = "); ok {
			value = value[1:]
			return value[:strings.IndexByte(value, '"')]
		}
	}
	fail("deploy/balancer.toml has no line %s", name)
	return ""
}

// close ends all processes.
func (w *world) close() {
	w.mu.Lock()
	procs := w.procs
	w.mu.Unlock()
	for _, p := range procs {
		p.Process.Kill()
	}
}

// task is a task that a node holds.
type task struct {
	id      uint64
	key     string // its name
	class   string
	idem    string // the key of keyed classes
	conn    *nodeConn
	placed  time.Time
	ended   time.Time // zero while it stands
	service float64   // what the notes on its service say
}

// node is a stand-in node: it answers each set-up after a few milliseconds, and holds its tasks until they end.
type node struct {
	w        *world
	id       string
	zone     string
	listener net.Listener

	mu    sync.Mutex
	conns []*nodeConn
	tasks map[uint64]*task
	past  []*task
	// repeats are the releases that are also sent on the next connection that is opened.
	repeats [][]byte

	// onSetUp, if set, may handle a set-up in place of the usual answer. It is called without mu.
	onSetUp func(c *nodeConn, f *frame) (handled bool)
}

// nodeConn is a connection from a scheduler to a node.
type nodeConn struct {
	node   *node
	number int
	socket net.Conn
	mu     sync.Mutex
	closed bool
	// useless is set once the connection stays open but is of no further use: nothing on it is read or written.
	useless bool
}

func (w *world) addNode(id, zone string) *node {
	n := &node{w: w, id: id, zone: zone, listener: must(net.Listen("tcp", "127.0.0.1:0")), tasks: map[uint64]*task{}}
	w.nodes = append(w.nodes, n)
	go n.accept()
	go n.sendNotes()
	return n
}

// entry returns the node's entry in the list.
func (n *node) entry(state string, startedMillis int64) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":%q,"kind":"node-grande","cell":1,"state":%q,"weight":1,"started_ms":%d}`,
		n.id, n.listener.Addr(), n.zone, state, startedMillis)
}

func (n *node) accept() {
	for {
		socket, err := n.listener.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		c := &nodeConn{node: n, number: len(n.conns) + 1, socket: socket}
		n.conns = append(n.conns, c)
		repeats := n.repeats
		n.repeats = nil
		n.mu.Unlock()
		n.w.log("%s: connection %d opened", n.id, c.number)
		for _, message := range repeats {
			c.send(message)
		}
		go c.read()
	}
}

func (c *nodeConn) isUseless() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.useless
}

func (c *nodeConn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.useless && !c.closed
}

func (c *nodeConn) send(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.useless && !c.closed {
		c.socket.Write(b)
	}
}

func (c *nodeConn) read() {
	n := c.node
	in := bufio.NewReader(c.socket)
	for {
		f, err := readFrame(in)
		if c.isUseless() {
			return // the socket stays open; what arrives on it is not read any more
		}
		if err != nil {
			c.mu.Lock()
			c.closed = true
			c.mu.Unlock()
			c.socket.Close()
			n.w.log("%s: connection %d closed: %v", n.id, c.number, err)
			return
		}
		switch f.kind {
		case typeSetUp:
			key, _ := f.get(codeKey)
			class, _ := f.get(codeClass)
			left, _ := f.get(codeLeft)
			n.w.log("%s: connection %d: set-up %016x key %s class %s left %s", n.id, c.number, f.task, key, class, left)
			if n.onSetUp != nil && n.onSetUp(c, f) {
				continue
			}
			if n.copyStands(f) {
				n.w.log("%s: connection %d: refusal of %016x, cause %d wrong_host: a copy stands",
					n.id, c.number, f.task, causeFull)
				c.send(encodeFrame(typeRelease, f.task, param{codeWord, "wrong_host"},
					param{codeCause, string([]byte{causeFull})}))
				continue
			}
			n.hold(c, f)
			time.AfterFunc(8*time.Millisecond, func() {
				n.w.log("%s: connection %d: answer to %016x", n.id, c.number, f.task)
				c.send(encodeFrame(typeAnswer, f.task, param{codeDescription, description(n, f.task)}))
			})
		case typeRelease:
			n.w.log("%s: connection %d: release of %016x, cause %d", n.id, c.number, f.task, f.cause())
			if n.end(f.task) != nil {
				c.send(encodeFrame(typeRelease, f.task, param{codeCause, string([]byte{causeCancelled})}))
			}
		case typePing:
			c.send(encodeFrame(typePong, f.task, param{codeCause, "\x01"}))
		}
	}
}

func description(n *node, id uint64) string {
	return fmt.Sprintf("%016x\r\nc=IN IP4 127.0.0.1\r\nm=audio %d RTP/AVP 0 8 101\r\n", id, len(n.id))
}

// hold makes the task of a set-up stand.
func (n *node) hold(c *nodeConn, f *frame) *task {
	key, _ := f.get(codeKey)
	class, _ := f.get(codeClass)
	idem, _ := f.get(codeIdem)
	t := &task{id: f.task, key: key, class: class, idem: idem, conn: c, placed: time.Now(), service: 1}
	n.mu.Lock()
	n.tasks[f.task] = t
	n.mu.Unlock()
	return t
}

// end ends a task that stands, without a message.
func (n *node) end(id uint64) *task {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.tasks[id]
	if t != nil {
		t.ended = time.Now()
		delete(n.tasks, id)
		n.past = append(n.past, t)
	}
	return t
}

// finish ends a task by itself: it has come to its end, and the node sends its release on the connection of its set-up,
// otherwise on any open connection.
func (n *node) finish(id uint64) {
	t := n.end(id)
	if t == nil {
		return
	}
	message := encodeFrame(typeRelease, id, param{codeCause, string([]byte{causeOK})})
	n.mu.Lock()
	n.repeats = append(n.repeats, message)
	n.mu.Unlock()
	if c := n.connFor(t); c != nil {
		n.w.log("%s: connection %d: release of %016x, cause %d: it has come to its end", n.id, c.number, id, causeOK)
		c.send(message)
		return
	}
	n.w.log("%s: no connection for the release of %016x", n.id, id)
}

func (n *node) connFor(t *task) *nodeConn {
	if t.conn != nil && t.conn.usable() {
		return t.conn
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := len(n.conns) - 1; i >= 0; i-- {
		if n.conns[i].usable() {
			return n.conns[i]
		}
	}
	return nil
}

// sendNotes sends, for each task, four notes a second: how well it is served.
func (n *node) sendNotes() {
	for range time.Tick(250 * time.Millisecond) {
		n.mu.Lock()
		var tasks []task
		for _, t := range n.tasks {
			tasks = append(tasks, *t)
		}
		n.mu.Unlock()
		for i := range tasks {
			if c := n.connFor(&tasks[i]); c != nil {
				c.send(encodeFrame(typeNote, tasks[i].id, param{codeWord, "share"},
					param{codeFigure, fmt.Sprintf("%.2f", tasks[i].service)}))
			}
		}
	}
}

// holds reports whether a task stands at the node.
func (n *node) holds(id uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tasks[id] != nil
}

// where returns the node at which a task stands, or nil.
func (w *world) where(id uint64) *node {
	for _, n := range w.nodes {
		if n.holds(id) {
			return n
		}
	}
	return nil
}

// line is a message on an owner's connection.
type line struct {
	Type   string         `json:"type"`
	ID     string         `json:"id"`
	Fields map[string]any `json:"fields"`
	Cause  *int           `json:"cause,omitempty"`
	SDP    *string        `json:"sdp,omitempty"`
	at     time.Time
	conn   string
}

func (l *line) causeText() string {
	if l.Cause == nil {
		return "none"
	}
	return fmt.Sprint(*l.Cause)
}

// owners is the owners' side of a scheduler: it remembers what was received for each id, on whichever connection.
type owners struct {
	w        *world
	s        *scheduler
	mu       sync.Mutex
	received map[string][]line
	sent     map[string]bool // the ids that the owners have used
}

// ownerConn is an owner's connection.
type ownerConn struct {
	o      *owners
	name   string
	socket net.Conn
	mu     sync.Mutex
	ended  chan struct{}
}

func (w *world) newOwners(s *scheduler) *owners {
	return &owners{w: w, s: s, received: map[string][]line{}, sent: map[string]bool{}}
}

func (o *owners) dial(name string) (*ownerConn, error) {
	socket, err := net.DialTimeout("tcp", o.s.addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &ownerConn{o: o, name: name, socket: socket, ended: make(chan struct{})}
	o.w.log("owner: connection %s opened", name)
	go c.read()
	return c, nil
}

func (c *ownerConn) open() bool {
	select {
	case <-c.ended:
		return false
	default:
		return true
	}
}

func (c *ownerConn) read() {
	in := bufio.NewReaderSize(c.socket, 32<<10)
	for {
		text, err := in.ReadBytes('\n')
		if err != nil {
			c.o.w.log("owner: connection %s ended: %v", c.name, err)
			close(c.ended)
			c.socket.Close()
			return
		}
		var l line
		if err := json.Unmarshal(text, &l); err != nil {
			c.o.w.log("owner: connection %s: unreadable %q", c.name, text)
			continue
		}
		l.at, l.conn = time.Now(), c.name
		if l.Type != "pong" {
			c.o.w.log("owner: connection %s: received %s %s cause %s", c.name, l.Type, l.ID, l.causeText())
		}
		c.o.mu.Lock()
		c.o.received[l.ID] = append(c.o.received[l.ID], l)
		c.o.mu.Unlock()
	}
}

func (c *ownerConn) write(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, id, ok := strings.Cut(text, `"id":"`); ok {
		c.o.mu.Lock()
		c.o.sent[id[:16]] = true
		c.o.mu.Unlock()
	}
	c.socket.Write([]byte(text + "\n"))
}

// reset ends the connection with a reset.
func (c *ownerConn) reset() {
	c.o.w.log("owner: connection %s is reset", c.name)
	c.socket.(*net.TCPConn).SetLinger(0)
	c.socket.Close()
}

// ping tests the scheduler and reports whether the test passed in time.
func (c *ownerConn) ping() bool {
	id := newID()
	c.write(fmt.Sprintf(`{"type":"ping","id":"%s","fields":{},"cause":0}`, id))
	l, ok := c.o.await(id, time.Second, func(l *line) bool { return l.Type == "pong" })
	return ok && l.Cause != nil && *l.Cause == 1
}

// request is a task that an owner asks for.
type request struct {
	class, key, service string
	left                int
	cores, memory       float64
	at                  string // the node that holds it already
	id                  string // given by send
	sent                time.Time
}

// send sends the set-up of a request, with a new id unless it has one.
func (c *ownerConn) send(r *request) {
	if r.id == "" {
		r.id = newID()
	}
	extras := fmt.Sprintf("cores:%g;memory:%g;service:%s", r.cores, r.memory, r.service)
	if r.at != "" {
		extras += ";at:" + r.at
	}
	r.sent = time.Now()
	c.o.w.log("owner: connection %s: set-up %s key %s class %s left %d extras %s", c.name, r.id, r.key, r.class, r.left, extras)
	c.write(fmt.Sprintf(`{"type":"setup","id":"%s","fields":{"class":"%s","left":"%d","key":"%s","idem":"%s%s","extras":"%s"},`+
		`"sdp":"%s\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"}`,
		r.id, r.class, r.left, r.key, r.key, r.key, extras, r.id))
}

// release ends a task that stands, or gives a set-up up.
func (c *ownerConn) release(id string) {
	c.o.w.log("owner: connection %s: release of %s", c.name, id)
	c.write(fmt.Sprintf(`{"type":"release","id":"%s","fields":{},"cause":16}`, id))
}

// messages returns what was received for an id.
func (o *owners) messages(id string) []line {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]line(nil), o.received[id]...)
}

// await waits for a message for an id.
func (o *owners) await(id string, within time.Duration, wanted func(*line) bool) (line, bool) {
	for end := time.Now().Add(within); ; time.Sleep(2 * time.Millisecond) {
		for _, l := range o.messages(id) {
			if wanted(&l) {
				return l, true
			}
		}
		if time.Now().After(end) {
			return line{}, false
		}
	}
}

func isAnswer(l *line) bool { return l.Type == "answer" }
func isEnd(l *line) bool    { return l.Type == "release" || l.Type == "move" }

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func parseID(id string) (n uint64) {
	fmt.Sscanf(id, "%x", &n)
	return n
}

// connectWhenReady connects to a scheduler that has just started, as the front does: it tests it each second.
func (o *owners) connectWhenReady(name string) *ownerConn {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		time.Sleep(time.Second)
		c, err := o.dial(name)
		if err != nil {
			continue
		}
		if c.ping() {
			o.w.log("owner: the scheduler has passed a test")
			return c
		}
		c.socket.Close()
	}
	fail("the scheduler passes no test")
	return nil
}

// endGroup ends what is left of the run when a signal arrives.
func endOnSignal(w *world, signals chan os.Signal) {
	<-signals
	w.close()
	os.Exit(2)
}

var interrupts = []os.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP}

// copyStands reports whether a copy of a keyed task stands at a node of the same room, which lets one copy stand.
func (n *node) copyStands(f *frame) bool {
	class, _ := f.get(codeClass)
	idem, _ := f.get(codeIdem)
	if class != "simulacao-rede" {
		return false
	}
	for _, other := range n.w.nodes {
		if other.zone != n.zone {
			continue
		}
		other.mu.Lock()
		for _, t := range other.tasks {
			if t.class == class && t.idem == idem {
				other.mu.Unlock()
				return true
			}
		}
		other.mu.Unlock()
	}
	return false
}

// place sends set-ups of small tasks and waits until they stand.
func place(w *world, o *owners, c *ownerConn, count int, name string) (placed []*request) {
	for i := range count {
		r := &request{class: "leitura-sensores", key: fmt.Sprintf("%s%d", name, i), service: fmt.Sprintf("%s-svc%d", name, i),
			left: 6000, cores: 0.5, memory: 1}
		c.send(r)
		if _, ok := o.await(r.id, 7*time.Second, isAnswer); !ok {
			fail("task %s was not placed", r.id)
		}
		placed = append(placed, r)
		time.Sleep(50 * time.Millisecond)
	}
	return placed
}
