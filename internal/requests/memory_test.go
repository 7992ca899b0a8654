package requests

import (
	"runtime"
	"slices"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// Guards against memory leaks in the core and its placer: in a run in which all nodes, connections and IDs are new, the heap
// must not be larger after the second half than after the first, except for 256 KiB.
func TestHeapStaysBounded(t *testing.T) {
	const minPlaced = 15000
	h := newHarness(t)
	h.core.config.RecordStep = nil // recorded events would grow the heap
	step := func(inputs ...Input) []Effect {
		effects, _ := h.core.Step(h.now, inputs)
		return slices.Clone(effects)
	}
	conn, lastTask := ConnID(0), 0
	placeTasks := func() {
		for range 5 {
			conn++
			lastTask++
			for _, effect := range step(OwnerConnected{Conn: conn, Host: "h"}, h.newSubmit(conn, lastTask)) {
				if offer, ok := effect.(Offer); ok {
					step(NodeMessage{Link: offer.Link, Kind: NodeAccepted, Task: offer.Task, Description: "d"})
				}
			}
			h.now += 200 * time.Millisecond
		}
	}
	heapAfterHalf := func() uint64 {
		for round := range 2000 {
			node := "n" + taskID(lastTask+round)
			for _, effect := range step(nodeUpdated(machine(node, flaxshelf.Active, 0), "x")) {
				if dial, ok := effect.(Dial); ok {
					step(LinkUp{dial.Link})
				}
			}
			placeTasks()
			step(nodeUpdated(machine(node, flaxshelf.Removed, 0), "x"))
		}
		runtime.GC()
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		return memory.HeapAlloc
	}
	first, second := heapAfterHalf(), heapAfterHalf()
	if got := h.core.Stats().Placed; got < minPlaced {
		t.Fatalf("got %d tasks placed, want at least %d", got, minPlaced)
	}
	h.advance(5 * time.Minute)
	stats, timers := h.core.Stats(), h.core.timers.Len()
	if stats.Pending+stats.Running+stats.Nodes+stats.Links != 0 || len(h.core.tasks) != 0 || stats.Owners > 10 || timers > 3 {
		t.Errorf("got %+v, %d tasks and %d timers, want gauges of 0 except at most 10 owners, no tasks and at most 3 timers", stats,
			len(h.core.tasks), timers)
	}
	if second > first+256<<10 {
		t.Errorf("got %d KiB of heap after the second half, want at most 256 more than the %d after the first", second>>10, first>>10)
	}
	runtime.KeepAlive(h)
}
