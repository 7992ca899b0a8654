package inventorymodel

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

const ms = time.Millisecond

// describe writes frames in short form.
func describe(out []Send) string {
	var all []string
	for _, s := range out {
		switch b := s.Frame.Body.(type) {
		case *nodepb.Frame_Listing:
			var names []string
			for _, e := range b.Listing.Entries {
				names = append(names, e.Node+":"+e.Standing.String())
			}
			all = append(all, fmt.Sprintf("%s whole=%v more=%v %v", s.To, b.Listing.Whole, b.Listing.More, names))
		case *nodepb.Frame_ListError:
			all = append(all, s.To+" error")
		case *nodepb.Frame_Pong:
			all = append(all, s.To+" pong")
		}
	}
	return strings.Join(all, "; ")
}

func entry(name string, s nodepb.Standing) *nodepb.Entry {
	return &nodepb.Entry{Node: name, Standing: s}
}

// watch requests the list; with changes, as a watch.
func watch(v *Inventory, now Time, from string, changes bool) string {
	return describe(v.Receive(now, from, &nodepb.Frame{Body: &nodepb.Frame_Watch{Watch: &nodepb.Watch{Changes: changes}}}))
}

// The list over time: delays, watches, removals and faults.
func TestInventory(t *testing.T) {
	v := New(Config{DiscoveryDelay: 100 * ms, RemovalDelay: 50 * ms, MaxEntriesPerFrame: 2})
	expect := func(what, got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("%s: got %q, want %q", what, got, want)
		}
	}
	v.Register(0, "n1", entry("n1", nodepb.Standing_IN))
	expect("a list before the delay", watch(v, 50*ms, "s", true), "s whole=true more=false []")
	expect("just before the delay ends", describe(v.Advance(99*ms)), "")
	expect("to a watcher after the delay", describe(v.Advance(100*ms)), "s whole=false more=false [n1:IN]")
	expect("an equal registration", describe(v.Register(100*ms, "n1", entry("n1", nodepb.Standing_IN))), "")
	expect("nothing after an equal registration", describe(v.Advance(200*ms)), "")
	v.Register(200*ms, "n1", entry("n1", nodepb.Standing_DRAINING))
	v.Register(200*ms, "n2", entry("n2", nodepb.Standing_IN))
	v.Register(200*ms, "n3", entry("n3", nodepb.Standing_IN))
	expect("several changes at once", describe(v.Advance(300*ms)), "s whole=false more=false [n1:DRAINING n2:IN n3:IN]")
	expect("a list of two frames", watch(v, 300*ms, "t", false),
		"t whole=true more=true [n1:DRAINING n2:IN]; t whole=false more=false [n3:IN]")
	v.Disconnect(300*ms, "n2")
	expect("disconnected for less than the delay", describe(v.Advance(349*ms)), "")
	v.Register(349*ms, "n2 reconnected", entry("n2", nodepb.Standing_IN))
	expect("registered over another connection", describe(v.Advance(460*ms)), "")
	v.Disconnect(460*ms, "n2 reconnected")
	expect("removed", describe(v.Advance(610*ms)), "s whole=false more=false [n2:OUT]")
	expect("ping", describe(v.Receive(610*ms, "s", &nodepb.Frame{Body: &nodepb.Frame_Ping{Ping: &nodepb.Ping{}}})), "s pong")

	expect("fault set: stale", describe(v.SetFault(700*ms, Fault{Stale: true})), "")
	v.Register(700*ms, "n4", entry("n4", nodepb.Standing_IN))
	expect("stale", describe(v.Advance(900*ms)), "")
	expect("fault cleared: the pending change", describe(v.SetFault(900*ms, Fault{})), "s whole=false more=false [n4:IN]")

	expect("fault set: watches are dropped", describe(v.SetFault(time.Second, Fault{Fails: true})), "s error")
	expect("a request fails", watch(v, time.Second, "s", true), "s error")
	v.SetFault(1100*ms, Fault{})
	v.Register(1100*ms, "n5", entry("n5", nodepb.Standing_IN))
	expect("no watchers after the fault", describe(v.Advance(1300*ms)), "")
	if names := len(v.Published()); names != 4 {
		t.Errorf("%d nodes are listed, want 4", names)
	}
}
