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

// testTimeout bounds each read of a test.
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

func startNode(t *testing.T, inventory string) *Node {
	t.Helper()
	model := nodemodel.Config{Name: "n", Cores: 4, Memory: 8, CoreOvercommit: 2, MemoryOvercommit: 2, OfferReviewTime: time.Millisecond,
		MaxWaitingOffers: 10, StartSlots: 4, CachedStartTime: time.Millisecond, UncachedStartFactor: 1, MaxCachedPrograms: 4}
	node, err := StartNode(NodeOptions{Model: model, Kind: "k", Listen: "127.0.0.1:0", Inventory: inventory, Keys: NewKeyRegistry(),
		Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Stop)
	return node
}

// connect opens a connection to a host and sends frames. The connection is closed with the test.
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

// readFrame reads one frame; nil when the host has closed the connection.
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
		next := make([]byte, 1) // not beyond the frame, which the next call reads
		if _, err := io.ReadFull(conn, next); err != nil {
			var netErr net.Error
			if errors.As(err, &netErr) && netErr.Timeout() {
				t.Fatal("neither a frame nor the end of the connection")
			}
			return nil
		}
		received = append(received, next...)
	}
}

// A connection whose first frame is not an acceptable hello is closed, with the reason where the peer can read it.
func TestHello(t *testing.T) {
	tests := []struct {
		name  string
		frame *nodepb.Frame
		bye   string // in the reason of a goodbye; empty: none is sent
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
					t.Errorf("goodbye %v, want one with %q", bye, test.bye)
				}
			}
			if frame := readFrame(t, conn); frame != nil {
				t.Errorf("frame %v, want the end of the connection", frame)
			}
		})
	}
}

// A party that connects again replaces its earlier connection.
func TestSecondConnectionReplacesFirst(t *testing.T) {
	addr := startInventory(t).Addr()
	hello := helloFrame("s", nodeframe.Version, nodeframe.Version, 1)
	first := connect(t, addr, hello)
	if welcome := readFrame(t, first).GetWelcome(); welcome.GetNode() != "inventory" {
		t.Errorf("welcome %v", welcome)
	}
	second := connect(t, addr, hello)
	if readFrame(t, second).GetWelcome() == nil {
		t.Error("no welcome on the second connection")
	}
	if frame := readFrame(t, first); frame != nil {
		t.Errorf("frame %v on the first connection, want its end", frame)
	}
}

// A node rejects a scheduler that was started before the one it knows.
func TestNodeFencesEarlierIncarnation(t *testing.T) {
	addr := startNode(t, "").Addr()
	later := connect(t, addr, helloFrame("s", nodeframe.Version, nodeframe.Version, 2))
	if readFrame(t, later).GetWelcome() == nil {
		t.Error("no welcome for the later incarnation")
	}
	earlier := connect(t, addr, helloFrame("s", nodeframe.Version, nodeframe.Version, 1))
	if bye := readFrame(t, earlier).GetBye(); bye.GetReason() != errFenced.Error() {
		t.Errorf("goodbye %v, want %q", bye, errFenced)
	}
	if frame := readFrame(t, earlier); frame != nil {
		t.Errorf("frame %v, want the end of the connection", frame)
	}
}

// A node registers with the inventory. After Stop, Do and WaitFor return, and no goroutine is left (see TestMain).
func TestRegistrationAndStop(t *testing.T) {
	inventory := startInventory(t)
	node := startNode(t, inventory.Addr())
	if err := inventory.WaitFor(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	node.Stop()
	node.Stop()
	select {
	case <-node.Done():
	default:
		t.Error("the node has not ended")
	}
	node.Do(func(*nodemodel.Node, nodemodel.Time) []nodemodel.Send { t.Error("ran on a stopped node"); return nil })
	if node.Overloaded() {
		t.Error("a stopped node counts as one that fell over")
	}
	inventory.Stop()
	if err := inventory.WaitFor(t.Context(), 1); !errors.Is(err, errInventoryStopped) {
		t.Errorf("error %v, want %v", err, errInventoryStopped)
	}
}
