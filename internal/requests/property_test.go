package requests

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// chaos drives a core with inputs whose order is drawn: each source (an owner's connection, a link, the feed) keeps its own
// order, as a socket does, and what comes of which source in one step, before or after another's, is chance. It holds what
// must be true in any order.
type chaos struct {
	*world
	rng    *rand.Rand
	queues map[string][]Input // what each source has said and the core has not heard
	keys   []string           // of queues, in the order of their making
	conns  []Conn
	last   Conn
	links  map[Link]string // up or on their way: their node
	n      int             // tasks so far
	asked  map[string]*asked
}

// asked is a set-up as the outside sees it.
type asked struct {
	conn    Conn
	until   Time
	answers int
	placed  bool
	heard   bool // by the core
	gone    bool // its owner has left or given it up, by word that the core has heard
	overs   int
}

func (c *chaos) say(source string, in Input) {
	if _, ok := c.queues[source]; !ok {
		c.keys = append(c.keys, source)
	}
	c.queues[source] = append(c.queues[source], in)
}

func (c *chaos) connSource(id Conn) string { return fmt.Sprint("conn", id) }
func (c *chaos) linkSource(id Link) string { return fmt.Sprint("link", id) }

// outside has the parties do something.
func (c *chaos) outside(nodes []string) {
	switch r := c.rng.IntN(20); {
	case r < 3 || len(c.conns) == 0:
		c.last++
		c.conns = append(c.conns, c.last)
		c.say(c.connSource(c.last), OwnerConnected{Conn: c.last, Host: fmt.Sprint("h", c.rng.IntN(3))})
	case r < 11:
		c.n++
		conn := c.conns[c.rng.IntN(len(c.conns))]
		in := c.ask(conn, c.n, c.rng.IntN(2))
		in.Task.Service = fmt.Sprint("s", c.rng.IntN(4))
		in.Task.Deadline = c.now + time.Second
		c.asked[id(c.n)] = &asked{conn: conn, until: in.Task.Deadline}
		c.say(c.connSource(conn), in)
	case r < 13 && c.n > 0:
		conn, t := c.conns[c.rng.IntN(len(c.conns))], id(1+c.rng.IntN(c.n))
		c.say(c.connSource(conn), []Input{Release{conn, t}, Migrated{conn, t}}[c.rng.IntN(2)])
	case r < 14:
		i := c.rng.IntN(len(c.conns))
		c.say(c.connSource(c.conns[i]), OwnerDisconnected{c.conns[i]})
		c.conns = slices.Delete(c.conns, i, i+1)
	case r < 15:
		conn := c.conns[c.rng.IntN(len(c.conns))]
		c.say(c.connSource(conn), Adopt{Conn: conn, Node: nodes[c.rng.IntN(len(nodes))], Task: c.ask(conn, 1_000_000+c.rng.IntN(50), 0).Task})
	case r < 16:
		name := nodes[c.rng.IntN(len(nodes))]
		m := machine(name, []flaxshelf.MachineState{flaxshelf.Active, flaxshelf.Active, flaxshelf.Draining, flaxshelf.Removed}[c.rng.IntN(4)], 0)
		c.say("feed", NodesUpdated{Machines: []flaxshelf.Machine{m}, Addrs: []string{name}})
	case r < 17 && len(c.links) > 0:
		for _, l := range c.sortedLinks() {
			if c.rng.IntN(4) == 0 {
				c.say(c.linkSource(l), LinkDown{Link: l, ConnectionRefused: c.rng.IntN(4) == 0})
				delete(c.links, l)
				break
			}
		}
	}
}

func (c *chaos) sortedLinks() []Link {
	var all []Link
	for l := range c.links {
		all = append(all, l)
	}
	slices.Sort(all)
	return all
}

// hears draws what the core hears in this step.
func (c *chaos) hears() []Input {
	var in []Input
	for range c.rng.IntN(8) {
		if len(c.keys) == 0 {
			break
		}
		key := c.keys[c.rng.IntN(len(c.keys))]
		if q := c.queues[key]; len(q) > 0 {
			in = append(in, q[0])
			c.queues[key] = q[1:]
		} else {
			delete(c.queues, key)
			c.keys = slices.DeleteFunc(c.keys, func(k string) bool { return k == key })
		}
	}
	return in
}

// node answers what was written to a node, later and in the order of the link.
func (c *chaos) node(e Offer) {
	link, task := e.Link, e.Task
	if c.links[link] == "" {
		return
	}
	source := c.linkSource(link)
	switch c.rng.IntN(8) {
	case 0:
		c.say(source, NodeMessage{Link: link, Kind: NodeReleased, Task: task, Cause: CauseRejected, Reason: flaxshelf.InsufficientCores})
	case 1:
		c.say(source, NodeMessage{Link: link, Kind: NodeReleased, Task: task, Cause: CauseError})
	case 2: // never
	case 3:
		c.say(source, SendFailed{Link: link, Task: task, Attempt: e.Attempt})
	default:
		c.say(source, NodeMessage{Link: link, Kind: NodeAccepted, Task: task, Description: "d"})
		if c.rng.IntN(6) == 0 {
			c.say(source, NodeMessage{Link: link, Kind: NodeAccepted, Task: task, Description: "again"})
		}
		for range c.rng.IntN(3) {
			c.say(source, NodeMessage{Link: link, Kind: NodeUsage, Task: task, UsageKind: flaxshelf.ServiceLevel, Amount: c.rng.Float64()})
		}
		if c.rng.IntN(2) == 0 {
			c.say(source, NodeMessage{Link: link, Kind: NodeReleased, Task: task, Cause: CauseNormal})
		}
	}
}

// judge follows the effects of a step. before is what had been heard when it began.
func (c *chaos) judge(before map[string]bool) {
	c.t.Helper()
	for _, e := range c.out {
		switch e := e.(type) {
		case Offer:
			a := c.asked[e.Task]
			if before["gone"+e.Task] {
				c.t.Fatalf("%s is offered after its owner has gone", e.Task)
			}
			if before["drain"+e.Node] {
				c.t.Fatalf("%s is offered to %s, which drains or is gone", e.Task, e.Node)
			}
			if a.answers > 0 {
				c.t.Fatalf("%s is offered after its answer", e.Task)
			}
			if at := c.links[e.Link]; at != e.Node && at != "" { // none: it has broken, which the core has not heard
				c.t.Fatalf("%s is offered on link %d, which is not one to %s", e.Task, e.Link, e.Node)
			}
			c.node(e)
		case Accepted:
			a := c.asked[e.Task]
			if a.answers++; a.answers > 1 || before["gone"+e.Task] {
				c.t.Fatalf("%s: answer %d, gone before: %v", e.Task, a.answers, before["gone"+e.Task])
			}
			a.placed = true
		case Terminated:
			a := c.asked[e.Task]
			switch {
			case a == nil: // handed over
			case !a.placed && e.Conn == a.conn:
				if a.answers++; a.answers > 1 || e.Migrate || before["gone"+e.Task] {
					c.t.Fatalf("%s: answer %d %+v", e.Task, a.answers, e)
				}
			case a.placed:
				if a.overs++; a.overs > 1 {
					c.t.Fatalf("%s: its end is told %d times", e.Task, a.overs)
				}
			}
		case Dial:
			if c.rng.IntN(8) == 0 {
				c.say(c.linkSource(e.Link), LinkDown{Link: e.Link, ConnectionRefused: c.rng.IntN(3) == 0})
				continue
			}
			c.links[e.Link] = e.Node
			c.say(c.linkSource(e.Link), LinkUp{e.Link})
		case CloseLink:
			delete(c.links, e.Link)
		case CloseOwner:
			c.conns = slices.DeleteFunc(c.conns, func(x Conn) bool { return x == e.Conn })
			for task, a := range c.asked {
				if a.conn == e.Conn {
					a.gone = true
					before["gone"+task] = true
				}
			}
		}
	}
}

// note books what the core hears in this step, for the steps after it.
func (c *chaos) note(in []Input, before map[string]bool) {
	for _, i := range in {
		switch i := i.(type) {
		case Submit:
			c.asked[i.Task.ID].heard = true
		case Release:
			c.leaves(i.Task, before)
		case Migrated:
			c.leaves(i.Task, before)
		case OwnerDisconnected:
			for task, a := range c.asked {
				if a.conn == i.Conn {
					c.leaves(task, before)
				}
			}
		case NodesUpdated:
			for _, m := range i.Machines {
				before["drain"+m.ID] = m.State != flaxshelf.Active
			}
		}
	}
}

// leaves books that a task's owner has left it. Before its set-up has been heard that means nothing.
func (c *chaos) leaves(task string, before map[string]bool) {
	if a := c.asked[task]; a != nil && a.heard {
		before["gone"+task] = true
	}
}

func TestAnyOrder(t *testing.T) {
	for seed := range uint64(400) {
		w := newWorld(t, func(c *Config) { c.MaxLinks = 6; c.NodeIdleTimeout = 4 * time.Second })
		c := &chaos{world: w, rng: rand.New(rand.NewPCG(seed, 7)), queues: map[string][]Input{}, links: map[Link]string{},
			asked: map[string]*asked{}}
		nodes, before := []string{"n0", "n1", "n2", "n3", "n4"}, map[string]bool{}
		for _, n := range nodes {
			c.say("feed", NodesUpdated{Machines: []flaxshelf.Machine{machine(n, flaxshelf.Active, 0)}, Addrs: []string{n}})
		}
		step := func() {
			in := c.hears()
			for _, i := range in { // what allows more counts in this step, what forbids from the next on
				if l, ok := i.(NodesUpdated); ok && l.Machines[0].State == flaxshelf.Active {
					before["drain"+l.Machines[0].ID] = false
				}
			}
			c.step(in...)
			c.judge(before)
			c.note(in, before)
			c.now += time.Duration(c.rng.IntN(40)) * time.Millisecond
		}
		for range 400 {
			for range c.rng.IntN(3) {
				c.outside(nodes)
			}
			step()
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		}
		c.settle(step, nodes)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// settle ends all: owners leave, nodes are gone. Nothing may be left, and whoever waited has had one answer in time.
func (c *chaos) settle(step func(), nodes []string) {
	c.t.Helper()
	for range 300 {
		step()
	}
	for task, a := range c.asked {
		if a.answers == 0 && !a.gone && slices.Contains(c.conns, a.conn) && c.world.c.tasks[task] != nil && c.world.c.tasks[task].pending {
			c.t.Errorf("%s still waits %v after its time", task, c.now-a.until)
		}
	}
	for _, conn := range c.conns {
		c.say(c.connSource(conn), OwnerDisconnected{conn})
	}
	for _, n := range nodes {
		c.say("feed", NodesUpdated{Machines: []flaxshelf.Machine{machine(n, flaxshelf.Removed, 0)}, Addrs: []string{n}})
	}
	for range 400 {
		step()
	}
	c.now += 10 * time.Second
	for range 4 {
		step()
	}
	f := c.world.c.Stats()
	if f.Pending != 0 || f.Running != 0 || f.RunningUnlisted != 0 || f.Owners != 0 || f.Nodes != 0 || f.Links != 0 ||
		len(c.world.c.tasks) != 0 || c.world.c.admission.Len() != 0 {
		c.t.Errorf("left: %+v, %d tasks, %d connections", f, len(c.world.c.tasks), c.world.c.admission.Len())
	}
}
