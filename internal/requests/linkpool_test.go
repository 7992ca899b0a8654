package requests

import (
	"fmt"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// linkPoolHarness is a harness that establishes each link that the core dials, accepts each offer, and records the open links.
type linkPoolHarness struct {
	*harness
	maxLinks   int
	open       map[LinkID]string // node of each open link
	lastDialed map[string]Time   // by node
}

// respond responds to the effects of the last step and of the steps that this causes, until there are no more. It fails the
// test if there are more than maxLinks links.
func (h *linkPoolHarness) respond() {
	h.t.Helper()
	for len(h.effects) > 0 {
		effects := h.effects
		h.effects = nil
		for _, effect := range effects {
			switch effect := effect.(type) {
			case Dial:
				h.open[effect.Link] = effect.Node
				h.lastDialed[effect.Node] = h.now
				h.step(LinkUp{effect.Link})
			case CloseLink:
				delete(h.open, effect.Link)
			case Offer:
				h.step(NodeMessage{Link: effect.Link, Kind: NodeAccepted, Task: effect.Task, Description: "d"})
			}
		}
	}
	if len(h.core.links) > h.maxLinks {
		h.t.Fatalf("got %d links, want at most %d", len(h.core.links), h.maxLinks)
	}
}

// hasLink reports whether a link to the node is open.
func (h *linkPoolHarness) hasLink(node string) bool {
	for _, open := range h.open {
		if open == node {
			return true
		}
	}
	return false
}

// busyNodes returns the IDs of the nodes with attempts.
func (h *linkPoolHarness) busyNodes() []string {
	var busy []string
	for _, n := range h.core.sortedNodes() {
		if len(n.attempts) > 0 {
			busy = append(busy, n.machine.ID)
		}
	}
	return busy
}

// reportUsage lets each node whose index is a multiple of step report the usage of a task on its links.
func (h *linkPoolHarness) reportUsage(nodes []string, step int) {
	for i := 0; i < len(nodes); i += step {
		attempts := h.core.nodes[nodes[i]].sortedAttempts()
		for link, node := range h.open {
			if node == nodes[i] && len(attempts) > 0 {
				h.step(NodeMessage{Link: link, Kind: NodeUsage, Task: attempts[0].task.id, Amount: 1})
				h.respond()
				break
			}
		}
	}
}

// If there are more nodes than MaxLinks, the limit is kept, a node with a pending offer gets a link, and a node with running
// tasks gets one often enough that none of them counts as lost while the node is reachable. Guards also against ends that are
// notified too late: nodes that send usage reports kept their links, and the others waited for one.
func TestLinkPoolIsBounded(t *testing.T) {
	t.Run("no usage reports", func(t *testing.T) { checkLinkPool(t, 0) })
	t.Run("usage reports of every other node", func(t *testing.T) { checkLinkPool(t, 2) })
}

// checkLinkPool checks the links in a run in which each node whose index is a multiple of reportStep sends usage reports all the
// time; 0: none does.
func checkLinkPool(t *testing.T, reportStep int) {
	t.Helper()
	const nodes, maxLinks, tasks = 24, 10, 120
	const maxUnlinked = 6 * time.Second // NodeUnreachableTimeout of testConfig
	h := &linkPoolHarness{
		harness:    newHarness(t, func(c *Config) { c.MaxLinks = maxLinks }),
		maxLinks:   maxLinks,
		open:       map[LinkID]string{},
		lastDialed: map[string]Time{},
	}
	h.connect(1)
	var ids []string
	for i := range nodes {
		ids = append(ids, fmt.Sprintf("n%02d", i))
	}
	h.updateNodes(flaxshelf.Active, ids...)
	h.respond()
	if got, want := len(h.open), maxLinks*prefetchLinkEighths/8; got != want {
		t.Errorf("got %d links before the first request, want %d", got, want)
	}
	for i := range tasks {
		submit := h.newSubmit(1, i)
		submit.Task.Service = fmt.Sprint(i)
		h.step(submit)
		h.respond()
		h.advance(20 * time.Millisecond)
		h.respond()
	}
	busy := h.busyNodes()
	if stats := h.core.Stats(); stats.Placed != tasks || len(busy) <= maxLinks {
		t.Fatalf("got %d tasks placed on %d nodes, want %d on more than %d", stats.Placed, len(busy), tasks, maxLinks)
	}
	for range 200 {
		h.advance(100 * time.Millisecond)
		h.respond()
		if reportStep > 0 {
			h.reportUsage(ids, reportStep)
		}
		for _, node := range busy {
			if got := h.now - h.lastDialed[node]; !h.hasLink(node) && got > maxUnlinked {
				t.Fatalf("%s: got no link for %v, want at most %v", node, got, maxUnlinked)
			}
		}
	}
	if stats := h.core.Stats(); stats.LostToUnreachable > 0 || stats.Running != tasks {
		t.Errorf("got %d lost and %d running tasks, want 0 and %d", stats.LostToUnreachable, stats.Running, tasks)
	}
}
