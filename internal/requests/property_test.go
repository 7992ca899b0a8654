package requests

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// randomRun drives a core with random inputs. Each source (an owner's connection, a link, the discovery service) keeps its
// order, as a socket does; which sources the core reads in a step, and in what order, is drawn. It checks what must hold in
// any order.
type randomRun struct {
	*harness
	rng         *rand.Rand
	nodes       []string
	unread      map[string][]Input // what each source has sent and the core has not read
	sources     []string           // the keys of unread, in the order of their first input
	conns       []Conn             // open from the outside
	lastConn    Conn
	openLinks   map[Link]string // the node of each link that is up or on its way
	lastTask    int
	submissions map[string]*submission
	inactive    map[string]bool // nodes that the core has read a draining or removing update of
}

// submission is a request as the outside sees it.
type submission struct {
	conn         Conn
	deadline     Time
	read         bool // by the core
	abandoned    bool // the core has read that its owner has canceled or left it, or has closed the connection
	connClosed   bool // by the core
	responses    int
	placed       bool
	terminations int // notified after it was placed
}

// discoverySource is the source of endpoint list updates.
const discoverySource = "discovery"

func connSource(conn Conn) string { return fmt.Sprint("conn", conn) }
func linkSource(link Link) string { return fmt.Sprint("link", link) }

func newRandomRun(t *testing.T, seed uint64) *randomRun {
	t.Helper()
	c := &randomRun{
		harness:     newHarness(t, func(c *Config) { c.MaxLinks = 6; c.NodeIdleTimeout = 4 * time.Second }),
		rng:         rand.New(rand.NewPCG(seed, 7)),
		nodes:       []string{"n0", "n1", "n2", "n3", "n4"},
		unread:      map[string][]Input{},
		openLinks:   map[Link]string{},
		submissions: map[string]*submission{},
		inactive:    map[string]bool{},
	}
	for _, node := range c.nodes {
		c.sendNodeState(node, flaxshelf.Active)
	}
	return c
}

// drawn returns an element that is drawn.
func drawn[T any](rng *rand.Rand, all []T) T { return all[rng.IntN(len(all))] }

// send has a source send an input, for the core to read in a later step.
func (c *randomRun) send(source string, in Input) {
	if _, ok := c.unread[source]; !ok {
		c.sources = append(c.sources, source)
	}
	c.unread[source] = append(c.unread[source], in)
}

// sendNodeState has the discovery service send an update of one node.
func (c *randomRun) sendNodeState(node string, state flaxshelf.MachineState) {
	c.send(discoverySource, nodeUpdated(machine(node, state, 0), node))
}

// randomEvent has an owner, the discovery service or a link do something.
func (c *randomRun) randomEvent() {
	switch r := c.rng.IntN(20); {
	case r < 3 || len(c.conns) == 0:
		c.openConn()
	case r < 11:
		c.submitTask()
	case r < 13 && c.lastTask > 0:
		conn, task := drawn(c.rng, c.conns), taskID(1+c.rng.IntN(c.lastTask))
		c.send(connSource(conn), drawn(c.rng, []Input{Release{conn, task}, Migrated{conn, task}}))
	case r < 14:
		i := c.rng.IntN(len(c.conns))
		c.send(connSource(c.conns[i]), OwnerDisconnected{c.conns[i]})
		c.conns = slices.Delete(c.conns, i, i+1)
	case r < 15:
		conn, node := drawn(c.rng, c.conns), drawn(c.rng, c.nodes)
		c.send(connSource(conn), c.newAdopt(conn, node, 1_000_000+c.rng.IntN(50)))
	case r < 16:
		node := drawn(c.rng, c.nodes)
		c.sendNodeState(node, drawn(c.rng, []flaxshelf.MachineState{
			flaxshelf.Active, flaxshelf.Active, flaxshelf.Draining, flaxshelf.Removed,
		}))
	case r < 17:
		c.breakLink()
	}
}

// openConn opens an owner's connection.
func (c *randomRun) openConn() {
	c.lastConn++
	c.conns = append(c.conns, c.lastConn)
	c.send(connSource(c.lastConn), OwnerConnected{Conn: c.lastConn, Host: fmt.Sprint("h", c.rng.IntN(3))})
}

// submitTask submits a new task on one of the connections.
func (c *randomRun) submitTask() {
	c.lastTask++
	conn := drawn(c.rng, c.conns)
	in := c.newSubmitOf(drawn(c.rng, []int{classIdempotent, classKeyed}), conn, c.lastTask)
	in.Task.Service = fmt.Sprint("s", c.rng.IntN(4))
	in.Task.Deadline = c.now + time.Second
	c.submissions[in.Task.ID] = &submission{conn: conn, deadline: in.Task.Deadline}
	c.send(connSource(conn), in)
}

// breakLink breaks one of the links, or none.
func (c *randomRun) breakLink() {
	for _, link := range slices.Sorted(maps.Keys(c.openLinks)) {
		if c.rng.IntN(4) == 0 {
			c.send(linkSource(link), LinkDown{Link: link, ConnectionRefused: c.rng.IntN(4) == 0})
			delete(c.openLinks, link)
			return
		}
	}
}

// read draws the inputs that the core reads in this step.
func (c *randomRun) read() []Input {
	var inputs []Input
	for range c.rng.IntN(8) {
		if len(c.sources) == 0 {
			break
		}
		source := drawn(c.rng, c.sources)
		if queue := c.unread[source]; len(queue) > 0 {
			inputs = append(inputs, queue[0])
			c.unread[source] = queue[1:]
			continue
		}
		delete(c.unread, source)
		c.sources = slices.DeleteFunc(c.sources, func(s string) bool { return s == source })
	}
	return inputs
}

// runStep has the core do one step, checks its effects and lets some time pass.
func (c *randomRun) runStep() {
	c.t.Helper()
	inputs := c.read()
	for _, in := range inputs { // what permits offers counts in this step, what forbids them from the next one on
		if update, ok := in.(NodesUpdated); ok && update.Machines[0].State == flaxshelf.Active {
			c.inactive[update.Machines[0].ID] = false
		}
	}
	c.step(inputs...)
	for _, effect := range c.effects {
		c.checkEffect(effect)
	}
	for _, in := range inputs {
		c.recordInput(in)
	}
	c.now += time.Duration(c.rng.IntN(40)) * time.Millisecond
}

// checkEffect checks an effect against what the core has read before this step, and carries it out.
func (c *randomRun) checkEffect(effect Effect) {
	c.t.Helper()
	switch effect := effect.(type) {
	case Offer:
		c.checkOffer(effect)
		c.respondToOffer(effect)
	case Accepted:
		c.checkAccepted(effect)
	case Terminated:
		c.checkTerminated(effect)
	case Dial:
		c.dial(effect)
	case CloseLink:
		delete(c.openLinks, effect.Link)
	case CloseOwner:
		c.closeConn(effect.Conn)
	}
}

func (c *randomRun) checkOffer(offer Offer) {
	c.t.Helper()
	submitted := c.submissions[offer.Task]
	if submitted.abandoned {
		c.t.Fatalf("%s is offered after its owner has left it", offer.Task)
	}
	if c.inactive[offer.Node] {
		c.t.Fatalf("%s is offered to %s, which is draining or removed", offer.Task, offer.Node)
	}
	if submitted.responses > 0 {
		c.t.Fatalf("%s is offered after its response", offer.Task)
	}
	// A link without a node has broken, which the core has not read.
	if node := c.openLinks[offer.Link]; node != offer.Node && node != "" {
		c.t.Fatalf("%s is offered on link %d, which is not one to %s", offer.Task, offer.Link, offer.Node)
	}
}

func (c *randomRun) checkAccepted(accepted Accepted) {
	c.t.Helper()
	submitted := c.submissions[accepted.Task]
	submitted.responses++
	if submitted.responses > 1 || submitted.abandoned {
		c.t.Fatalf("%s: response %d, abandoned before: %v", accepted.Task, submitted.responses, submitted.abandoned)
	}
	submitted.placed = true
}

func (c *randomRun) checkTerminated(terminated Terminated) {
	c.t.Helper()
	submitted := c.submissions[terminated.Task]
	switch {
	case submitted == nil: // it was adopted
	case submitted.placed:
		submitted.terminations++
		if submitted.terminations > 1 {
			c.t.Fatalf("%s: its end is notified %d times", terminated.Task, submitted.terminations)
		}
	case terminated.Conn == submitted.conn:
		submitted.responses++
		if submitted.responses > 1 || terminated.Migrate || submitted.abandoned {
			c.t.Fatalf("%s: response %d %+v", terminated.Task, submitted.responses, terminated)
		}
	}
}

// dial has a link come up, or fail.
func (c *randomRun) dial(dial Dial) {
	if c.rng.IntN(8) == 0 {
		c.send(linkSource(dial.Link), LinkDown{Link: dial.Link, ConnectionRefused: c.rng.IntN(3) == 0})
		return
	}
	c.openLinks[dial.Link] = dial.Node
	c.send(linkSource(dial.Link), LinkUp{dial.Link})
}

// closeConn records that the core has closed an owner's connection.
func (c *randomRun) closeConn(conn Conn) {
	c.conns = slices.DeleteFunc(c.conns, func(open Conn) bool { return open == conn })
	for _, submitted := range c.submissions {
		if submitted.conn == conn {
			submitted.connClosed = true
			submitted.abandoned = true
		}
	}
}

// respondToOffer has the node respond to an offer on its link, in one of the ways that nodes may.
func (c *randomRun) respondToOffer(offer Offer) {
	if c.openLinks[offer.Link] == "" {
		return
	}
	message := NodeMessage{Link: offer.Link, Task: offer.Task}
	send := func(kind NodeMessageKind, change func(*NodeMessage)) {
		message := message
		message.Kind = kind
		change(&message)
		c.send(linkSource(offer.Link), message)
	}
	switch c.rng.IntN(8) {
	case 0:
		send(NodeReleased, func(m *NodeMessage) { m.Cause, m.Reason = CauseRejected, flaxshelf.InsufficientCores })
	case 1:
		send(NodeReleased, func(m *NodeMessage) { m.Cause = CauseError })
	case 2: // never
	case 3:
		c.send(linkSource(offer.Link), SendFailed{Link: offer.Link, Task: offer.Task, Attempt: offer.Attempt})
	default:
		send(NodeAccepted, func(m *NodeMessage) { m.Description = "d" })
		if c.rng.IntN(6) == 0 {
			send(NodeAccepted, func(m *NodeMessage) { m.Description = "again" })
		}
		for range c.rng.IntN(3) {
			send(NodeUsage, func(m *NodeMessage) { m.UsageKind, m.Amount = flaxshelf.ServiceLevel, c.rng.Float64() })
		}
		if c.rng.IntN(2) == 0 {
			send(NodeReleased, func(m *NodeMessage) { m.Cause = CauseNormal })
		}
	}
}

// recordInput records what the core has read in this step, for the checks of the steps after it.
func (c *randomRun) recordInput(in Input) {
	switch in := in.(type) {
	case Submit:
		c.submissions[in.Task.ID].read = true
	case Release:
		c.recordAbandoned(in.Task)
	case Migrated:
		c.recordAbandoned(in.Task)
	case OwnerDisconnected:
		for task, submitted := range c.submissions {
			if submitted.conn == in.Conn {
				c.recordAbandoned(task)
			}
		}
	case NodesUpdated:
		for _, m := range in.Machines {
			c.inactive[m.ID] = m.State != flaxshelf.Active
		}
	}
}

// recordAbandoned records that a task's owner has left it. Before the core has read its Submit that means nothing.
func (c *randomRun) recordAbandoned(task string) {
	if submitted := c.submissions[task]; submitted != nil && submitted.read {
		submitted.abandoned = true
	}
}

// finish has all owners disconnect and all nodes removed. Before that, every request must have its response in time; after
// it, nothing may be left in the core.
func (c *randomRun) finish() {
	c.t.Helper()
	for range 300 {
		c.runStep()
	}
	c.checkNoOverdueRequest()
	for _, conn := range c.conns {
		c.send(connSource(conn), OwnerDisconnected{conn})
	}
	for _, node := range c.nodes {
		c.sendNodeState(node, flaxshelf.Removed)
	}
	for range 400 {
		c.runStep()
	}
	c.now += 10 * time.Second
	for range 4 {
		c.runStep()
	}
	c.checkEmpty()
}

// checkNoOverdueRequest checks that no request whose owner is still there waits for its response.
func (c *randomRun) checkNoOverdueRequest() {
	c.t.Helper()
	for id, submitted := range c.submissions {
		if submitted.responses > 0 || submitted.connClosed || !slices.Contains(c.conns, submitted.conn) {
			continue
		}
		if t := c.core.tasks[id]; t != nil && t.pending {
			c.t.Errorf("%s still waits %v after its deadline", id, c.now-submitted.deadline)
		}
	}
}

// checkEmpty checks that the core keeps nothing.
func (c *randomRun) checkEmpty() {
	c.t.Helper()
	stats := c.core.Stats()
	gauges := Stats{
		Pending:         stats.Pending,
		Running:         stats.Running,
		RunningUnlisted: stats.RunningUnlisted,
		Owners:          stats.Owners,
		Nodes:           stats.Nodes,
		Links:           stats.Links,
	}
	tasks, connections := len(c.core.tasks), c.core.admission.Len()
	if gauges != (Stats{}) || tasks != 0 || connections != 0 {
		c.t.Errorf("left: %+v, %d tasks, %d connections", stats, tasks, connections)
	}
}

// In any order of inputs each request has one response, no offer is made after its owner or node has left, and nothing is
// left in the end.
func TestRandomInterleavings(t *testing.T) {
	for seed := range uint64(400) {
		passed := t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			run := newRandomRun(t, seed)
			for range 400 {
				for range run.rng.IntN(3) {
					run.randomEvent()
				}
				run.runStep()
			}
			run.finish()
		})
		if !passed {
			t.FailNow()
		}
	}
}
