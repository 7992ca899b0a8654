package inventorymodel

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

const ms = time.Millisecond

func say(out []Send) string {
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

func listed(name string, s nodepb.Standing) *nodepb.Entry {
	return &nodepb.Entry{Node: name, Standing: s}
}

func watch(v *Inventory, now Time, from string, changes bool) string {
	return say(v.Receive(now, from, &nodepb.Frame{Body: &nodepb.Frame_Watch{Watch: &nodepb.Watch{Changes: changes}}}))
}

func TestInventory(t *testing.T) {
	v := New(Config{DiscoveryDelay: 100 * ms, RemovalDelay: 50 * ms, PerFrame: 2})
	step := func(what, got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("%s: got %q, want %q", what, got, want)
		}
	}
	v.Register(0, "n1", listed("n1", nodepb.Standing_IN))
	step("asked at once", watch(v, 50*ms, "s", true), "s whole=true more=false []")
	step("a change comes late", say(v.Advance(99*ms)), "")
	step("to those who watch", say(v.Advance(100*ms)), "s whole=false more=false [n1:IN]")
	step("the same again is no change", say(v.Register(100*ms, "n1", listed("n1", nodepb.Standing_IN))), "")
	step("", say(v.Advance(200*ms)), "")
	v.Register(200*ms, "n1", listed("n1", nodepb.Standing_DRAINING))
	v.Register(200*ms, "n2", listed("n2", nodepb.Standing_IN))
	v.Register(200*ms, "n3", listed("n3", nodepb.Standing_IN))
	step("several at once", say(v.Advance(300*ms)), "s whole=false more=false [n1:DRAINING n2:IN n3:IN]")
	step("a long list comes in parts", watch(v, 300*ms, "t", false),
		"t whole=true more=true [n1:DRAINING n2:IN]; t whole=false more=false [n3:IN]")
	v.Disconnect(300*ms, "n2")
	step("gone for a while", say(v.Advance(349*ms)), "")
	v.Register(349*ms, "n2 again", listed("n2", nodepb.Standing_IN))
	step("and back", say(v.Advance(460*ms)), "")
	v.Disconnect(460*ms, "n2 again")
	step("gone for good", say(v.Advance(610*ms)), "s whole=false more=false [n2:OUT]")
	step("a sign", say(v.Receive(610*ms, "s", &nodepb.Frame{Body: &nodepb.Frame_Ping{Ping: &nodepb.Ping{}}})), "s pong")

	step("stale", say(v.SetFault(700*ms, Fault{Stale: true})), "")
	v.Register(700*ms, "n4", listed("n4", nodepb.Standing_IN))
	step("nothing new", say(v.Advance(900*ms)), "")
	step("then all", say(v.SetFault(900*ms, Fault{})), "s whole=false more=false [n4:IN]")

	step("failing drops watches", say(v.SetFault(time.Second, Fault{Fails: true})), "s error")
	step("and asks", watch(v, time.Second, "s", true), "s error")
	v.SetFault(1100*ms, Fault{})
	v.Register(1100*ms, "n5", listed("n5", nodepb.Standing_IN))
	step("nobody watches", say(v.Advance(1300*ms)), "")
	if names := len(v.Shown()); names != 4 {
		t.Errorf("%d are shown", names)
	}
}
