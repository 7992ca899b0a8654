package platform

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"testing"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/codec/nodeparam"
	"flaxshelf.example/flaxshelf/internal/lab/standin/scripted"
	"flaxshelf.example/flaxshelf/internal/replay"
)

// counts is what three scripted nodes hold, by their own count.
type counts struct {
	mu    sync.Mutex
	holds map[string]string // the node of each task that stands
}

// script answers what comes to a node, and counts it. Every seventh set-up is refused.
func (c *counts) script(name string) scripted.Script {
	return func(conn net.Conn, m nodeparam.Message) {
		c.mu.Lock()
		defer c.mu.Unlock()
		task := fmt.Sprintf("%016x", m.Task)
		switch {
		case m.Type == nodeparam.SetUp && m.Task%7 == 0 && name == "s-1":
			scripted.Say(conn, nodeparam.Message{Type: nodeparam.Release, Task: m.Task, Cause: 34})
			return
		case m.Type == nodeparam.SetUp:
			c.holds[task] = name
		case m.Type == nodeparam.Release:
			delete(c.holds, task)
		}
		scripted.Answers(conn, m)
	}
}

// ends has a node say that a task is over.
func (c *counts) ends(nodes map[string]*scripted.Node, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	task := fmt.Sprintf("%016x", n)
	node := nodes[c.holds[task]]
	delete(c.holds, task)
	node.Say(nodeparam.Message{Type: nodeparam.Release, Task: uint64(n), Cause: 16})
}

// picture is the module with a record of what it was told: where each task stands, and what waits.
type picture struct {
	*flaxshelf.Placer
	stands map[string]string
	open   map[string]bool
}

func (p *picture) Step(now flaxshelf.Time, events []flaxshelf.Event) []flaxshelf.Action {
	for _, e := range events {
		switch e := e.(type) {
		case flaxshelf.TaskSubmitted:
			p.open[e.Task.ID] = true
		case flaxshelf.TaskAdopted:
			p.stands[e.Task.ID] = e.Machine
		case flaxshelf.AttemptPlaced:
			p.stands[e.Task] = e.Machine
			delete(p.open, e.Task)
		case flaxshelf.AttemptEnded:
			if e.Final {
				delete(p.stands, e.Task)
			}
		case flaxshelf.TaskCanceled:
			delete(p.open, e.Task)
		}
	}
	return p.Placer.Step(now, events)
}

// What the scheduler believes to stand at each node is what the nodes hold, after placements, ends by nodes and
// owners, refusals, links that are cut and a node that dies.
func TestPictureOfNodes(t *testing.T) {
	held := &counts{holds: map[string]string{}}
	nodes, entries := map[string]*scripted.Node{}, []string{}
	for _, name := range []string{"s-1", "s-2", "s-3"} {
		nodes[name] = newNode(t, held.script(name))
		entries = append(entries, scripted.Entry(name, nodes[name].Addr(), "active"))
	}
	s := newSite(t, entries...)
	c := s.client()
	rng := rand.New(rand.NewPCG(5, 5))
	var standing []int
	for n := 2; n < 200; n++ {
		c.place(n)
		standing = append(standing, n)
		i := rng.IntN(len(standing))
		task := standing[i]
		switch rng.IntN(5) {
		case 0:
			held.ends(nodes, task)
			c.want("release", task, 16)
		case 1:
			held.mu.Lock()
			node := nodes[held.holds[fmt.Sprintf("%016x", task)]]
			held.mu.Unlock()
			c.send(`{"type":"release","id":"%016x","fields":{},"cause":31}`, task)
			if m := hear(t, node, nodeparam.Release); m.Task != uint64(task) {
				t.Fatalf("the node was told to end %d, not %d", m.Task, task)
			}
		default:
			continue
		}
		standing = append(standing[:i], standing[i+1:]...)
		if n%40 == 0 {
			nodes["s-2"].Cut() // what stands there stands on
		}
	}
	dead := 0
	held.mu.Lock()
	for _, n := range standing {
		if held.holds[fmt.Sprintf("%016x", n)] == "s-3" {
			dead++
		}
	}
	maps.DeleteFunc(held.holds, func(_, node string) bool { return node == "s-3" })
	held.mu.Unlock()
	nodes["s-3"].Die()
	for range dead {
		if r := c.read(); r.Type != "release" || r.Cause != 41 {
			t.Errorf("%+v, want the end of a task on the dead node", r)
		}
	}
	c.place(200)
	s.leave()

	f, err := os.Open(s.tap)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	p := &picture{stands: map[string]string{}, open: map[string]bool{}}
	if _, err := replay.CheckWith(f, func(cfg flaxshelf.Config, seed uint64) (replay.Module, error) {
		p.Placer, err = flaxshelf.New(cfg, seed)
		return p, err
	}); err != nil {
		t.Fatal(err)
	}
	held.mu.Lock()
	defer held.mu.Unlock()
	if !maps.Equal(p.stands, held.holds) || len(held.holds) < 20 || dead < 5 {
		t.Errorf("the scheduler believes %v, the nodes hold %v; %d died", p.stands, held.holds, dead)
	}
	if len(p.open) > 0 {
		t.Errorf("waits still: %v", p.open)
	}
}
