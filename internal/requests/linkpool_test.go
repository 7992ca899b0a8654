package requests

import (
	"fmt"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// linkWatcher establishes each link that a core dials, accepts each offer, and keeps the links that are open.
type linkWatcher struct {
	*harness
	maxLinks   int
	open       map[Link]string // the node of each open link
	lastDialed map[string]Time // by node
}

// respond responds to the effects of the last step, and to those that follow, until there are none. It fails where there are
// more links than the bound.
func (w *linkWatcher) respond() {
	w.t.Helper()
	for len(w.effects) > 0 {
		effects := w.effects
		w.effects = nil
		for _, effect := range effects {
			switch effect := effect.(type) {
			case Dial:
				w.open[effect.Link] = effect.Node
				w.lastDialed[effect.Node] = w.now
				w.step(LinkUp{effect.Link})
			case CloseLink:
				delete(w.open, effect.Link)
			case Offer:
				w.step(NodeMessage{Link: effect.Link, Kind: NodeAccepted, Task: effect.Task, Description: "d"})
			}
		}
	}
	if len(w.core.links) > w.maxLinks {
		w.t.Fatalf("%d links", len(w.core.links))
	}
}

// linked reports whether a link to the node is open.
func (w *linkWatcher) linked(node string) bool {
	for _, open := range w.open {
		if open == node {
			return true
		}
	}
	return false
}

// busyNodes are the nodes with attempts.
func (w *linkWatcher) busyNodes() []string {
	var busy []string
	for _, n := range w.core.sortedNodes() {
		if len(n.attempts) > 0 {
			busy = append(busy, n.entry.ID)
		}
	}
	return busy
}

// With more nodes than links: the bound holds, a node with a pending offer gets a link, and a node with running tasks is
// linked often enough that no task counts as lost while its node lives.
func TestLinkPoolIsBounded(t *testing.T) {
	const nodes, maxLinks, tasks = 24, 10, 120
	w := &linkWatcher{
		harness:    newHarness(t, func(c *Config) { c.MaxLinks = maxLinks }),
		maxLinks:   maxLinks,
		open:       map[Link]string{},
		lastDialed: map[string]Time{},
	}
	w.connect(1)
	var ids []string
	for i := range nodes {
		ids = append(ids, fmt.Sprintf("n%02d", i))
	}
	w.updateNodes(flaxshelf.Active, ids...)
	w.respond()
	if open := len(w.open); open != maxLinks*7/8 {
		t.Errorf("%d links before the first request", open)
	}
	for i := range tasks {
		submit := w.newSubmit(1, i)
		submit.Task.Service = fmt.Sprint(i)
		w.step(submit)
		w.respond()
		w.advance(20 * time.Millisecond)
		w.respond()
	}
	busy := w.busyNodes()
	if stats := w.core.Stats(); stats.Placed != tasks || len(busy) <= maxLinks {
		t.Fatalf("%+v, tasks run on %d nodes", stats, len(busy))
	}
	for range 200 {
		w.advance(100 * time.Millisecond)
		w.respond()
		for _, node := range busy {
			if !w.linked(node) && w.now-w.lastDialed[node] > 6*time.Second {
				t.Fatalf("%s: without a link since %v", node, w.now-w.lastDialed[node])
			}
		}
	}
	if stats := w.core.Stats(); stats.LostToUnreachable > 0 || stats.Running != tasks {
		t.Errorf("%+v", stats)
	}
}
