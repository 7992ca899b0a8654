package host

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/inventorymodel"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"),
		goleak.IgnoreTopFunction("github.com/panjf2000/gnet/v2/pkg/logging.init.0.func1"))
}

// testTimeout is the deadline of each connection of a test.
const testTimeout = 10 * time.Second

func startInventory(t *testing.T) *Inventory {
	t.Helper()
	inventory, err := StartInventory("127.0.0.1:0", inventorymodel.Config{RemovalDelay: time.Second}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(inventory.Stop)
	return inventory
}

// startNode starts a node that registers at the address of an inventory, unless the address is empty.
func startNode(t *testing.T, inventory string) *Node {
	t.Helper()
	model := nodemodel.Config{
		Name:                "n",
		Cores:               4,
		Memory:              8,
		CoreOvercommit:      2,
		MemoryOvercommit:    2,
		OfferReviewTime:     time.Millisecond,
		MaxWaitingOffers:    10,
		StartSlots:          4,
		CachedStartTime:     time.Millisecond,
		UncachedStartFactor: 1,
		MaxCachedPrograms:   4,
	}
	node, err := StartNode(NodeOptions{Model: model, Kind: "k", ListenAddress: "127.0.0.1:0", InventoryAddress: inventory,
		Keys: NewConcurrentKeyRegistry(), Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Stop)
	return node
}

// connect opens a connection to a host and sends frames. The connection is closed when the test ends.
func connect(t *testing.T, addr string, frames ...*nodepb.Frame) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	for _, frame := range frames {
		if _, err := conn.Write(encode(frame)); err != nil {
			t.Fatal(err)
		}
	}
	return conn
}

func helloFrame(party string, versionMin, versionMax uint32, incarnation int64) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Hello{Hello: &nodepb.Hello{VersionMin: versionMin, VersionMax: versionMax,
		Party: party, LifeUnixNs: incarnation}}}
}

// connectScheduler opens a connection and sends the hello of an incarnation of scheduler "s".
func connectScheduler(t *testing.T, addr string, incarnation int64) net.Conn {
	t.Helper()
	return connect(t, addr, helloFrame("s", nodeframe.Version, nodeframe.Version, incarnation))
}

// wantClosed fails the test unless the host closes the connection without another frame.
func wantClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	if frame := readFrame(t, conn); frame != nil {
		t.Errorf("got frame %v, want the end of the connection", frame)
	}
}

// readFrame reads one frame, or returns nil if the host closes the connection.
func readFrame(t *testing.T, conn net.Conn) *nodepb.Frame {
	t.Helper()
	var received []byte
	for {
		frame, _, err := nodeframe.Next(received)
		if err != nil {
			t.Fatal(err)
		}
		if frame != nil {
			return frame
		}
		next := make([]byte, 1) // a byte at a time, so that bytes of the next frame are left for the next call
		if _, err := io.ReadFull(conn, next); err != nil {
			var netErr net.Error
			if errors.As(err, &netErr) && netErr.Timeout() {
				t.Fatalf("got nothing for %v, want a frame or the end of the connection", testTimeout)
			}
			return nil
		}
		received = append(received, next...)
	}
}

// The reason is sent only if the hello is valid but no protocol version is common.
func TestConnectionWithoutAcceptableHelloIsClosed(t *testing.T) {
	tests := []struct {
		name  string
		frame *nodepb.Frame
		bye   string // substring of the goodbye's reason; empty means that no goodbye is sent
	}{
		{"no hello", &nodepb.Frame{Body: &nodepb.Frame_Watch{Watch: &nodepb.Watch{}}}, ""},
		{"hello without a name", helloFrame("", nodeframe.Version, nodeframe.Version, 1), ""},
		{"no common version", helloFrame("s", nodeframe.Version+1, nodeframe.Version+2, 1), "versions 2 to 3"},
	}
	addr := startInventory(t).Addr()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conn := connect(t, addr, test.frame)
			if test.bye != "" {
				if bye := readFrame(t, conn).GetBye(); !strings.Contains(bye.GetReason(), test.bye) {
					t.Errorf("got goodbye %v, want a reason with %q", bye, test.bye)
				}
			}
			wantClosed(t, conn)
		})
	}
}

func TestSecondConnectionReplacesFirst(t *testing.T) {
	addr := startInventory(t).Addr()
	first := connectScheduler(t, addr, 1)
	if welcome := readFrame(t, first).GetWelcome(); welcome.GetNode() != "inventory" {
		t.Errorf("got welcome %v, want that of the inventory", welcome)
	}
	second := connectScheduler(t, addr, 1)
	if readFrame(t, second).GetWelcome() == nil {
		t.Error("got no welcome on the second connection, want one")
	}
	wantClosed(t, first)
}

func TestNodeFencesEarlierIncarnation(t *testing.T) {
	addr := startNode(t, "").Addr()
	later := connectScheduler(t, addr, 2)
	if readFrame(t, later).GetWelcome() == nil {
		t.Error("got no welcome for the later incarnation, want one")
	}
	earlier := connectScheduler(t, addr, 1)
	if bye := readFrame(t, earlier).GetBye(); bye.GetReason() != errFenced.Error() {
		t.Errorf("got goodbye %v, want %q", bye, errFenced)
	}
	wantClosed(t, earlier)
}

// After Stop, Do and WaitForNodes return, and no goroutine is left (TestMain checks the latter).
func TestNodeRegistersAndStops(t *testing.T) {
	inventory := startInventory(t)
	node := startNode(t, inventory.Addr())
	if err := inventory.WaitForNodes(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	node.Stop()
	node.Stop()
	select {
	case <-node.Done():
	default:
		t.Error("got a Done channel that is open after Stop, want it closed")
	}
	node.Do(func(*nodemodel.Node, nodemodel.Time) []nodemodel.Envelope {
		t.Error("got a call on a stopped node, want none")
		return nil
	})
	if node.Overloaded() {
		t.Error("got an overloaded node after Stop, want one that is not")
	}
	inventory.Stop()
	if err := inventory.WaitForNodes(t.Context(), 1); !errors.Is(err, errInventoryStopped) {
		t.Errorf("got error %v, want %v", err, errInventoryStopped)
	}
}
