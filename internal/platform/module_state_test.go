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

// taskID returns the ID of a task in the core.
func taskID(task int) string { return fmt.Sprintf("%016x", task) }

// nodeTasks records which tasks the scripted nodes run. It is safe for concurrent use by the nodes' readers and the test.
type nodeTasks struct {
	mu   sync.Mutex
	node map[string]string // the node of each running task
}

// script returns the script of a node, which responds to messages and records its tasks. Node s-1 rejects every seventh
// task.
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

// complete lets a task's node report that the task has completed.
func (n *nodeTasks) complete(nodes map[string]*scripted.Node, task int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	node := nodes[n.node[taskID(task)]]
	delete(n.node, taskID(task))
	node.Send(nodebinary.Message{Type: nodebinary.Release, Task: uint64(task), Cause: 16})
}

// removeNode removes the tasks of a node, and returns how many of the given tasks were among them.
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

// observedModule is the module with a record of its events: which tasks are pending, and where each running task runs.
type observedModule struct {
	*flaxshelf.Placer
	running map[string]string // the machine of each task
	pending map[string]bool
}

// Step implements replay.Module.
func (p *observedModule) Step(now flaxshelf.Time, events []flaxshelf.Event) []flaxshelf.Action {
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

// replayModule replays the recorded steps into a new module, and returns the module.
func (s *testScheduler) replayModule() *observedModule {
	s.t.Helper()
	module := &observedModule{running: map[string]string{}, pending: map[string]bool{}}
	_, err := replay.CheckWith(openFile(s.t, s.recordingPath), func(cfg flaxshelf.Config, seed uint64) (replay.Module, error) {
		var err error
		module.Placer, err = flaxshelf.New(cfg, seed)
		return module, err
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return module
}

// placeAndEndTasks places the tasks 2 to 199 and ends about two fifths of them, by their nodes or by their owner. Each
// fortieth step may reset the links to s-2, which ends no task. It returns the tasks that still run.
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

// The module's running tasks match those of the nodes after placements, ends by nodes and owners, rejections, links that
// break and a node that dies.
func TestModuleStateMatchesNodes(t *testing.T) {
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

	module := s.replayModule()
	tasks.mu.Lock()
	defer tasks.mu.Unlock()
	if !maps.Equal(module.running, tasks.node) || len(tasks.node) < 20 || lost < 5 {
		t.Errorf("got running tasks %v, want %v, at least 20, and at least 5 of %d lost", module.running, tasks.node, lost)
	}
	if len(module.pending) > 0 {
		t.Errorf("got pending requests %v, want none", module.pending)
	}
}
