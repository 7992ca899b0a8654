package trial

import (
	"io"
	"testing"

	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/host"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/inventorymodel"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

// The crash of an incarnation is handled in a goroutine of its own. When that goroutine stops the incarnation, the node may have
// been restarted already.
func TestStopOfAFormerIncarnationLeavesTheNextOneRunning(t *testing.T) {
	day, err := scenario.Read("calm")
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{day: day, recorder: recordproxy.NewRecorder(io.Discard, nil), log: zerolog.Nop(),
		keysByZone: map[string]nodemodel.KeyRegistry{}}
	if c.inventory, err = host.StartInventory(loopbackAnyPort, inventorymodel.Config{}, c.log); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := c.shutdown(); err != nil {
			t.Error(err)
		}
	})
	if err := c.addNode(day.Nodes()[0]); err != nil {
		t.Fatal(err)
	}
	n := c.nodes[0]
	first := n.current
	n.stop()
	if err := n.start(true); err != nil {
		t.Fatal(err)
	}
	n.stopIncarnation(first)
	if n.address() == closedAddress {
		t.Error("got the second incarnation stopped, want it running")
	}
	n.stop()
	if n.address() != closedAddress {
		t.Error("got the second incarnation running, want it stopped")
	}
}
