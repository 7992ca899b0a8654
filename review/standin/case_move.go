package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["move"] = move }

// move: a node serves its tasks poorly, so that the scheduler moves the keyed ones. One answer of that node never arrives, and
// its connection stays open but is of no further use. The owner of a moved task comes again. The first copy has to end: two
// copies never stand at once.
func move(w *world) {
	zones := []string{"sala-a", "sala-b", "sala-c"}
	for i := range 9 {
		w.addNode(fmt.Sprintf("s-%d", i+1), zones[i%3])
	}
	w.startFeed()
	s := w.newScheduler()
	s.run()
	o := w.newOwners(s)
	c := o.connectWhenReady("C1")
	place(w, o, c, 60, "small")
	var large []*request
	for i := range 14 {
		r := largeTask(fmt.Sprintf("large%d", i), fmt.Sprintf("large-svc%d", i/3))
		c.send(r)
		if _, ok := o.await(r.id, 10*time.Second, isAnswer); !ok {
			fail("task %s was not placed", r.id)
		}
		large = append(large, r)
		time.Sleep(50 * time.Millisecond)
	}
	perNode := map[*node]int{}
	victim := w.nodes[0]
	for _, r := range large {
		n := w.where(parseID(r.id))
		if perNode[n]++; perNode[n] > perNode[victim] {
			victim = n
		}
	}
	w.log("test: the node is %s, with %d tasks, %d of them large", victim.id, count(victim), perNode[victim])

	useless := make(chan struct{})
	if w.trouble {
		loseOneAnswer(victim, useless)
	}
	// Small tasks go on coming until the node has lost an answer, or for as long without the trouble.
	for i := 0; !isClosed(useless) && (w.trouble && i < 200 || i < 20); i++ {
		c.send(smallTask("later", i))
		select {
		case <-useless:
		case <-time.After(100 * time.Millisecond):
		}
	}
	if w.trouble && !isClosed(useless) {
		fail("no offer reached %s", victim.id)
	}
	time.Sleep(450 * time.Millisecond)
	w.log("%s: another program takes a part of the machine; its large tasks are served poorly from now on", victim.id)
	victim.mu.Lock()
	for _, t := range victim.tasks {
		if t.class == "simulacao-rede" {
			t.service = 0.2
		}
	}
	victim.mu.Unlock()

	comeAgain(w, o, c, large)
	if !s.alive() {
		w.violated("the scheduler crashed")
	}
}

// comeAgain submits each task again that the scheduler moves, and checks that of no task two copies stand for long.
func comeAgain(w *world, o *owners, c *ownerConn, tasks []*request) {
	again := map[string]*request{}
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, r := range tasks {
			if again[r.id] != nil || !received(o, r.id, "move") {
				continue
			}
			next := largeTask(r.key, r.service)
			again[r.id] = next
			c.send(next)
		}
	}
	w.log("test: %d tasks were moved", len(again))
	if len(again) == 0 {
		fail("the scheduler moved no task")
	}
	time.Sleep(8 * time.Second)
	for _, r := range tasks {
		next := again[r.id]
		if next == nil {
			continue
		}
		first, second := w.where(parseID(r.id)), w.where(parseID(next.id))
		if first != nil {
			w.log("task %s was moved and stands still at %s (%s) as %s", r.key, first.id, first.zone, r.id)
		}
		if first != nil && second != nil {
			w.violated("two copies of task %s stand: the moved one at %s in %s as %s, the second at %s in %s as %s",
				r.key, first.id, first.zone, r.id, second.id, second.zone, next.id)
		}
	}
}

// loseOneAnswer makes the next answer of a node never arrive: the task stands, and the connection of its set-up is of no further
// use. It closes lost then.
func loseOneAnswer(n *node, lost chan struct{}) {
	var once sync.Once
	n.onSetUp = func(c *nodeConn, f *frame) (handled bool) {
		once.Do(func() {
			handled = true
			n.hold(c, f)
			c.mu.Lock()
			c.useless = true
			c.mu.Unlock()
			n.w.log("%s: connection %d: the answer to %016x never arrives; the connection stays open and is of no further use",
				n.id, c.number, f.task)
			close(lost)
		})
		return handled
	}
}

func received(o *owners, id, kind string) bool {
	_, ok := o.await(id, 0, func(l *line) bool { return l.Type == kind })
	return ok
}

func smallTask(name string, i int) *request {
	return &request{class: "leitura-sensores", key: fmt.Sprintf("%s%d", name, i), service: fmt.Sprintf("%s-svc%d", name, i),
		left: 6000, cores: 0.5, memory: 1}
}

func largeTask(key, service string) *request {
	return &request{class: "simulacao-rede", key: key, service: service, left: 9000, cores: 12, memory: 29}
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func count(n *node) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.tasks)
}
