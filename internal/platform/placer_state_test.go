package platform

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"testing"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/codec/nodebinary"
	"flaxshelf.example/flaxshelf/internal/replay"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/scripted"
)

// taskID returns the ID that the core uses for a task.
func taskID(task int) string { return fmt.Sprintf("%016x", task) }

// nodeTasks records which tasks the scripted nodes run. It is safe for concurrent use.
type nodeTasks struct {
	mu   sync.Mutex
	node map[string]string // node of each running task, by task ID
}

// script returns the script of the node with a name. It accepts and records offered tasks, except that node s-1 rejects each
// task whose number is a multiple of seven.
func (n *nodeTasks) script(name string) scripted.Script {
	return func(conn net.Conn, m nodebinary.Message) {
		n.mu.Lock()
		defer n.mu.Unlock()
		task := taskID(int(m.Task))
		switch {
		case m.Type == nodebinary.SetUp && m.Task%7 == 0 && name == "s-1":
			scripted.Send(conn, nodebinary.Message{Type: nodebinary.Release, Task: m.Task, Cause: 34})
			return
		case m.Type == nodebinary.SetUp:
			n.node[task] = name
		case m.Type == nodebinary.Release:
			delete(n.node, task)
		}
		scripted.AcceptAll(conn, m)
	}
}

// nodeOf returns the name of the node that runs a task.
func (n *nodeTasks) nodeOf(task int) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.node[taskID(task)]
}

// complete makes a task's node report that the task has completed.
func (n *nodeTasks) complete(nodes map[string]*scripted.Node, task int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	node := nodes[n.node[taskID(task)]]
	delete(n.node, taskID(task))
	node.Send(nodebinary.Message{Type: nodebinary.Release, Task: uint64(task), Cause: 16})
}

// removeNode removes the records of all tasks on a node, and returns how many of the given tasks were among them.
func (n *nodeTasks) removeNode(name string, tasks []int) (removed int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, task := range tasks {
		if n.node[taskID(task)] == name {
			removed++
		}
	}
	maps.DeleteFunc(n.node, func(_, node string) bool { return node == name })
	return removed
}

// observedPlacer is a placer that records, from its input events, which tasks are pending and where each running task runs.
type observedPlacer struct {
	*flaxshelf.Placer
	running map[string]string // machine of each running task, by task ID
	pending map[string]bool   // by task ID
}

// Step implements replay.Module.
func (p *observedPlacer) Step(now flaxshelf.Time, events []flaxshelf.Event) []flaxshelf.Action {
	for _, e := range events {
		switch e := e.(type) {
		case flaxshelf.TaskSubmitted:
			p.pending[e.Task.ID] = true
		case flaxshelf.TaskAdopted:
			p.running[e.Task.ID] = e.Machine
		case flaxshelf.AttemptPlaced:
			p.running[e.Task] = e.Machine
			delete(p.pending, e.Task)
		case flaxshelf.AttemptEnded:
			if e.Final {
				delete(p.running, e.Task)
			}
		case flaxshelf.TaskCanceled:
			delete(p.pending, e.Task)
		}
	}
	return p.Placer.Step(now, events)
}

// replayPlacer replays the recorded steps into a new placer, which it returns.
func (s *testScheduler) replayPlacer() *observedPlacer {
	s.t.Helper()
	placer := &observedPlacer{running: map[string]string{}, pending: map[string]bool{}}
	_, err := replay.CheckWith(openFile(s.t, s.recordingPath), func(cfg flaxshelf.Config, seed uint64) (replay.Module, error) {
		var err error
		placer.Placer, err = flaxshelf.New(cfg, seed)
		return placer, err
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return placer
}

// placeAndEndTasks places the tasks 2 to 199 and ends about two fifths of them, by their nodes or by their owner. When it ends a
// task after placing a multiple of 40, it also resets the links to s-2, which must not end any task. It returns the tasks that
// still run.
func placeAndEndTasks(t *testing.T, c *client, tasks *nodeTasks, nodes map[string]*scripted.Node) (running []int) {
	t.Helper()
	rng := rand.New(rand.NewPCG(5, 5))
	for n := 2; n < 200; n++ {
		c.placeTask(n)
		running = append(running, n)
		i := rng.IntN(len(running))
		task := running[i]
		switch rng.IntN(5) {
		case 0:
			tasks.complete(nodes, task)
			c.expectReply("release", task, 16)
		case 1:
			node := nodes[tasks.nodeOf(task)]
			c.release(task, 31)
			expectMessage(t, node, nodebinary.Release, task)
		default:
			continue
		}
		running = append(running[:i], running[i+1:]...)
		if n%40 == 0 {
			nodes["s-2"].ResetConnections()
		}
	}
	return running
}

// The placer and the nodes agree on which tasks run where, after placements, rejections, ends reported by nodes, releases by
// owners, broken links and the death of a node.
func TestPlacerStateMatchesNodes(t *testing.T) {
	tasks := &nodeTasks{node: map[string]string{}}
	nodes, entries := map[string]*scripted.Node{}, []string{}
	for _, name := range []string{"s-1", "s-2", "s-3"} {
		nodes[name] = newNode(t, tasks.script(name))
		entries = append(entries, scripted.Entry(name, nodes[name].Addr(), "active"))
	}
	s := startScheduler(t, entries...)
	c := s.connect()
	running := placeAndEndTasks(t, c, tasks, nodes)
	lost := tasks.removeNode("s-3", running)
	nodes["s-3"].Kill()
	for range lost {
		if r := c.readReply(); r.Type != "release" || r.Cause != 41 {
			t.Errorf("got %+v, want the release of a task on the dead node with cause 41", r)
		}
	}
	c.placeTask(200)
	s.shutDown()

	placer := s.replayPlacer()
	tasks.mu.Lock()
	defer tasks.mu.Unlock()
	if !maps.Equal(placer.running, tasks.node) || len(tasks.node) < 20 || lost < 5 {
		t.Errorf("got running tasks %v, want %v, at least 20, and at least 5 of %d lost", placer.running, tasks.node, lost)
	}
	if len(placer.pending) > 0 {
		t.Errorf("got pending requests %v, want none", placer.pending)
	}
}
