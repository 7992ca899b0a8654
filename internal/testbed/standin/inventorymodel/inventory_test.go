package inventorymodel

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

const ms = time.Millisecond

// describe formats frames in a short form for comparisons.
func describe(out []Envelope) string {
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

// testInventory is an inventory that compares its frames with their short form.
type testInventory struct {
	*Inventory
	t *testing.T
}

func newTestInventory(t *testing.T) *testInventory {
	t.Helper()
	return &testInventory{New(Config{DiscoveryDelay: 100 * ms, RemovalDelay: 50 * ms, MaxEntriesPerFrame: 2}), t}
}

// want fails the test unless the frames have the short form want; what describes the call that returned them.
func (v *testInventory) want(what string, got []Envelope, want string) {
	v.t.Helper()
	if got := describe(got); got != want {
		v.t.Errorf("%s: got %q, want %q", what, got, want)
	}
}

// watch requests the list, and also its later changes if changes is set.
func (v *testInventory) watch(now Time, from string, changes bool) []Envelope {
	return v.Receive(now, from, &nodepb.Frame{Body: &nodepb.Frame_Watch{Watch: &nodepb.Watch{Changes: changes}}})
}

func TestChangesArePublishedAfterDelay(t *testing.T) {
	v := newTestInventory(t)
	v.Register(0, "n1", entry("n1", nodepb.Standing_IN))
	v.want("list before the delay", v.watch(50*ms, "s", true), "s whole=true more=false []")
	v.want("no change just before the delay ends", v.Advance(99*ms), "")
	v.want("change for a watcher after the delay", v.Advance(100*ms), "s whole=false more=false [n1:IN]")
	v.want("equal registration", v.Register(100*ms, "n1", entry("n1", nodepb.Standing_IN)), "")
	v.want("no change after an equal registration", v.Advance(200*ms), "")
	v.Register(200*ms, "n1", entry("n1", nodepb.Standing_DRAINING))
	v.Register(200*ms, "n2", entry("n2", nodepb.Standing_IN))
	v.Register(200*ms, "n3", entry("n3", nodepb.Standing_IN))
	v.want("several changes at once", v.Advance(300*ms), "s whole=false more=false [n1:DRAINING n2:IN n3:IN]")
	v.want("list of two frames", v.watch(300*ms, "t", false),
		"t whole=true more=true [n1:DRAINING n2:IN]; t whole=false more=false [n3:IN]")
}

func TestDisconnectedNodeIsRemovedAfterDelay(t *testing.T) {
	v := newTestInventory(t)
	v.watch(0, "s", true)
	v.Register(200*ms, "n1", entry("n1", nodepb.Standing_IN))
	v.Register(200*ms, "n2", entry("n2", nodepb.Standing_IN))
	v.want("registered", v.Advance(300*ms), "s whole=false more=false [n1:IN n2:IN]")
	v.Disconnect(300*ms, "n2")
	v.want("no removal before the delay ends", v.Advance(349*ms), "")
	v.Register(349*ms, "n2 reconnected", entry("n2", nodepb.Standing_IN))
	v.want("no removal after a registration over another connection", v.Advance(460*ms), "")
	v.Disconnect(460*ms, "n2 reconnected")
	v.want("removed", v.Advance(610*ms), "s whole=false more=false [n2:OUT]")
	v.want("list after the removal", v.watch(610*ms, "t", false), "t whole=true more=false [n1:IN]")
}

func TestPingIsAnswered(t *testing.T) {
	v := newTestInventory(t)
	v.want("ping", v.Receive(610*ms, "s", &nodepb.Frame{Body: &nodepb.Frame_Ping{Ping: &nodepb.Ping{}}}), "s pong")
}

func TestStaleInventoryPublishesChangesWhenFaultIsCleared(t *testing.T) {
	v := newTestInventory(t)
	v.watch(0, "s", true)
	v.want("fault set", v.SetFault(700*ms, Fault{Stale: true}), "")
	v.Register(700*ms, "n4", entry("n4", nodepb.Standing_IN))
	v.want("no change while stale", v.Advance(900*ms), "")
	v.want("fault cleared", v.SetFault(900*ms, Fault{}), "s whole=false more=false [n4:IN]")
}

func TestFailingInventoryClosesWatchesAndRejectsRequests(t *testing.T) {
	v := newTestInventory(t)
	v.Register(0, "n4", entry("n4", nodepb.Standing_IN))
	v.watch(0, "s", true)
	v.want("before the fault", v.Advance(100*ms), "s whole=false more=false [n4:IN]")
	v.want("fault set", v.SetFault(time.Second, Fault{Unavailable: true}), "s error")
	v.want("request during the fault", v.watch(time.Second, "s", true), "s error")
	v.SetFault(1100*ms, Fault{})
	v.Register(1100*ms, "n5", entry("n5", nodepb.Standing_IN))
	v.want("no change, since the fault closed the watch", v.Advance(1300*ms), "")
	if got := len(v.Published()); got != 2 {
		t.Errorf("got %d published nodes, want 2", got)
	}
}
