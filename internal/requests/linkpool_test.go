package requests

import (
	"fmt"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// linkPoolHarness establishes each link that a core dials, accepts each offer, and records the open links.
type linkPoolHarness struct {
	*harness
	maxLinks   int
	open       map[LinkID]string // the node of each open link
	lastDialed map[string]Time   // by node
}

// respond responds to the effects of the last step, and to those that follow, until there are none. It fails the test if
// there are more than maxLinks links.
func (w *linkPoolHarness) respond() {
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
		w.t.Fatalf("got %d links, want at most %d", len(w.core.links), w.maxLinks)
	}
}

// linked reports whether a link to the node is open.
func (w *linkPoolHarness) linked(node string) bool {
	for _, open := range w.open {
		if open == node {
			return true
		}
	}
	return false
}

// busyNodes are the nodes with attempts.
func (w *linkPoolHarness) busyNodes() []string {
	var busy []string
	for _, n := range w.core.sortedNodes() {
		if len(n.attempts) > 0 {
			busy = append(busy, n.machine.ID)
		}
	}
	return busy
}

// With more nodes than links, the limit holds, a node with a pending offer gets a link, and a node with running tasks gets
// one often enough that no task counts as lost while its node is alive.
func TestLinkPoolIsBounded(t *testing.T) {
	const nodes, maxLinks, tasks = 24, 10, 120
	const maxUnlinked = 6 * time.Second // NodeUnreachableTimeout of testConfig
	w := &linkPoolHarness{
		harness:    newHarness(t, func(c *Config) { c.MaxLinks = maxLinks }),
		maxLinks:   maxLinks,
		open:       map[LinkID]string{},
		lastDialed: map[string]Time{},
	}
	w.connect(1)
	var ids []string
	for i := range nodes {
		ids = append(ids, fmt.Sprintf("n%02d", i))
	}
	w.updateNodes(flaxshelf.Active, ids...)
	w.respond()
	if got, want := len(w.open), maxLinks*prefetchLinkEighths/8; got != want {
		t.Errorf("got %d links before the first request, want %d", got, want)
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
		t.Fatalf("got %d tasks placed on %d nodes, want %d on more than %d", stats.Placed, len(busy), tasks, maxLinks)
	}
	for range 200 {
		w.advance(100 * time.Millisecond)
		w.respond()
		for _, node := range busy {
			if got := w.now - w.lastDialed[node]; !w.linked(node) && got > maxUnlinked {
				t.Fatalf("%s: got no link for %v, want at most %v", node, got, maxUnlinked)
			}
		}
	}
	if stats := w.core.Stats(); stats.LostToUnreachable > 0 || stats.Running != tasks {
		t.Errorf("got %d lost and %d running tasks, want 0 and %d", stats.LostToUnreachable, stats.Running, tasks)
	}
}
