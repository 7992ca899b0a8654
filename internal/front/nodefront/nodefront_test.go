package nodefront

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/machinetest"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
)

func testSettings(t *testing.T) *settings.Scheduler {
	t.Helper()
	config, err := settings.ParseScheduler("f.cue", []byte(`
inventory: "127.0.0.1:1"
kinds: [{name: "k", cores: 8, memory: 32}, {name: "large", cores: 64, memory: 256}]
classes: [{name: "batch", effect: "idempotent-by-key"}, {name: "service", effect: "idempotent"}]
tenants: [{name: "north"}]
`))
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// newNodeDecoder returns the decoder of a new connection to node n.
func newNodeDecoder(t *testing.T) *NodeDecoder {
	t.Helper()
	return &NodeDecoder{Settings: testSettings(t), Name: "n"}
}

func newInventoryDecoder(t *testing.T) *InventoryDecoder {
	t.Helper()
	return &InventoryDecoder{Settings: testSettings(t)}
}

func welcomeFrame(welcome *nodepb.Welcome) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Welcome{Welcome: welcome}}
}

func listingFrame(listing *nodepb.Listing) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Listing{Listing: listing}}
}

func byeFrame(reason string) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Bye{Bye: &nodepb.Bye{Reason: reason}}}
}

func pongFrame(token uint64) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Pong{Pong: &nodepb.Pong{Token: token}}}
}

// A welcome of two frames becomes one input, and the spec of a reported attempt is the spec of its offer.
func TestNodeWelcome(t *testing.T) {
	config := testSettings(t)
	spec := scheduler.JobSpec{Key: "key", Session: "session", Name: "name", Owner: "owner", Service: "service", Class: 1,
		Tenant: 0, Cores: 2, Memory: 4, ExpectedRuntime: time.Minute, Priority: 3, Rerunnable: true, Template: []byte("{}")}
	offer := OfferFrame(config, &scheduler.SendOffer{Node: "n", Attempt: "a", Job: "j", PlacementRequest: 2, Spec: &spec, SubmittedAt: 7,
		ValidFor: time.Second}).GetOffer()
	if offer.Attempt != "a" || offer.ValidForNs != int64(time.Second) {
		t.Errorf("offer: got %v, want attempt a, valid for 1 s", offer)
	}
	decoder := newNodeDecoder(t)
	input, err := decoder.Decode(welcomeFrame(&nodepb.Welcome{Node: "n", StartedUnixNs: 5, Fresh: true, More: true,
		Held: []*nodepb.Held{{Attempt: "a", Running: true, Task: offer.Task}}}))
	if input != nil || err != nil {
		t.Fatalf("after the first of two welcome frames: got %v, %v, want no input", input, err)
	}
	input, err = decoder.Decode(welcomeFrame(&nodepb.Welcome{Node: "n", StartedUnixNs: 5, Fresh: true,
		Ended: []*nodepb.Ended{{Attempt: "b", Ending: nodepb.Ending_LOST}}}))
	want := scheduler.NodeConnected{Node: "n", StartedAt: 5, MayBeWarmingUp: true,
		Accepted: []scheduler.ReportedAttempt{{Attempt: "a", Job: "j", PlacementRequest: 2, Spec: spec, SubmittedAt: 7, Started: true}},
		Ended:    []scheduler.AttemptEnded{{Node: "n", Attempt: "b", End: scheduler.EndLost}}}
	if err != nil || !reflect.DeepEqual(input, want) {
		t.Errorf("got %+v, %v, want %+v", input, err, want)
	}
}

func TestNodeDecode(t *testing.T) {
	load := &nodepb.Load{FreeCores: 1, FreeMemory: 2}
	report := flaxshelf.LoadReport{Present: true, FreeCores: 1, FreeMemory: 2, HasCores: true, HasMemory: true}
	tests := []struct {
		name  string
		frame *nodepb.Frame
		want  scheduler.Input
	}{
		{"accepted", &nodepb.Frame{Body: &nodepb.Frame_Accepted{Accepted: &nodepb.Accepted{Attempt: "a", Load: load}}},
			scheduler.AttemptAccepted{Node: "n", Attempt: "a", Load: report}},
		{"rejected without a load", &nodepb.Frame{Body: &nodepb.Frame_Refused{Refused: &nodepb.Refused{Attempt: "a",
			Reason: nodepb.Reason_SENT_AWAY}}},
			scheduler.AttemptRejected{Node: "n", Attempt: "a", Reason: flaxshelf.Reason(nodepb.Reason_SENT_AWAY)}},
		{"rejected for an unknown reason", &nodepb.Frame{Body: &nodepb.Frame_Refused{
			Refused: &nodepb.Refused{Attempt: "a", Reason: nodepb.Reason_SENT_AWAY + 1}}},
			scheduler.AttemptRejected{Node: "n", Attempt: "a", Reason: flaxshelf.UnspecifiedReason}},
		{"failed", &nodepb.Frame{Body: &nodepb.Frame_Failed{Failed: &nodepb.Failed{Attempt: "a", Message: "m"}}},
			scheduler.AttemptFailed{Node: "n", Attempt: "a", Message: "m"}},
		{"started", &nodepb.Frame{Body: &nodepb.Frame_Started{Started: &nodepb.Started{Attempt: "a"}}},
			scheduler.AttemptStarted{Node: "n", Attempt: "a"}},
		{"ended", &nodepb.Frame{Body: &nodepb.Frame_Ended{Ended: &nodepb.Ended{Attempt: "a",
			Ending: nodepb.Ending_FINISHED, ExitStatus: 3, Load: load}}},
			scheduler.AttemptEnded{Node: "n", Attempt: "a", End: scheduler.EndCompleted, ExitStatus: 3, Load: report}},
		{"health check", &nodepb.Frame{Body: &nodepb.Frame_Probed{Probed: &nodepb.Probed{Load: load}}},
			scheduler.HealthChecked{Node: "n", Load: report}},
		{"pong without a token", pongFrame(0), nil},
		{"pong with a token", pongFrame(9), scheduler.NodeSynced{Node: "n", Token: 9}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			decoder := newNodeDecoder(t)
			if _, err := decoder.Decode(welcomeFrame(&nodepb.Welcome{Node: "n"})); err != nil {
				t.Fatal(err)
			}
			if input, err := decoder.Decode(test.frame); err != nil || !reflect.DeepEqual(input, test.want) {
				t.Errorf("got %#v, %v, want %#v", input, err, test.want)
			}
		})
	}
}

// A frame that the peer must not send is a ProtocolError with the peer and the frame; a bye is a ByeError.
func TestInvalidFramesAreProtocolErrors(t *testing.T) {
	welcome := welcomeFrame(&nodepb.Welcome{Node: "n"})
	tests := []struct {
		name   string
		frames []*nodepb.Frame // Decode rejects the last one
		text   string          // expected part of the error
	}{
		{"report before the welcome", []*nodepb.Frame{pongFrame(0)}, "Frame_Pong from n: sent before the end of the welcome"},
		{"second welcome", []*nodepb.Frame{welcome, welcome}, "Frame_Welcome from n: sent after the end of the welcome"},
		{"welcome of another node", []*nodepb.Frame{welcomeFrame(&nodepb.Welcome{Node: "z"})},
			`Frame_Welcome from n: got the welcome of node "z"`},
		{"frame of a scheduler", []*nodepb.Frame{welcome, StopFrame("a")}, "Frame_Stop from n: nodes do not send this frame"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			decoder := newNodeDecoder(t)
			var err error
			for _, frame := range test.frames {
				_, err = decoder.Decode(frame)
			}
			checkProtocolError(t, err, "n", test.text)
		})
	}
	t.Run("frame of a scheduler from the inventory", func(t *testing.T) {
		decoder := newInventoryDecoder(t)
		_, err := decoder.Decode(ProbeFrame())
		checkProtocolError(t, err, "inventory", "Frame_Probe from inventory: the inventory does not send this frame")
	})
	t.Run("bye", func(t *testing.T) {
		nodeDecoder, inventoryDecoder := newNodeDecoder(t), newInventoryDecoder(t)
		_, nodeErr := nodeDecoder.Decode(byeFrame("drained"))
		_, inventoryErr := inventoryDecoder.Decode(byeFrame("drained"))
		for peer, err := range map[string]error{"n": nodeErr, "inventory": inventoryErr} {
			var bye *ByeError
			if !errors.As(err, &bye) || bye.Peer != peer || bye.Reason != "drained" || errors.Is(err, ErrProtocol) {
				t.Errorf("got %v, want a ByeError of %s with reason drained", err, peer)
			}
		}
	})
}

func checkProtocolError(t *testing.T, err error, peer, text string) {
	t.Helper()
	var violation *ProtocolError
	if !errors.Is(err, ErrProtocol) || !errors.As(err, &violation) {
		t.Fatalf("got %v, want a ProtocolError", err)
	}
	if violation.Peer != peer || !strings.Contains(err.Error(), text) {
		t.Errorf("got %q of %s, want %q of %s", err, violation.Peer, text, peer)
	}
}

// A listing of two frames becomes one input, and its first frame determines whether the list is complete.
func TestInventoryDecode(t *testing.T) {
	decoder := newInventoryDecoder(t)
	first := &nodepb.Entry{Node: "n", Address: "h:1", Kind: "k", Zone: "z", Cell: 2, StartedUnixNs: 3, FreeCores: 4, FreeMemory: 5}
	second := &nodepb.Entry{Node: "m", Address: "h:2", Kind: "other", Standing: nodepb.Standing_DRAINING}
	firstMachine := flaxshelf.Machine{ID: "n", Kind: 0, Zone: "z", Cell: 2, State: flaxshelf.Active, Started: 3, FreeCores: 4,
		FreeMemory: 5}
	secondMachine := flaxshelf.Machine{ID: "m", Kind: -1, State: flaxshelf.Draining}
	tests := []struct {
		name  string
		frame *nodepb.Frame
		want  InventoryMessage
	}{
		{"welcome", welcomeFrame(&nodepb.Welcome{Node: "inventory"}), InventoryMessage{}},
		{"first part of a listing", listingFrame(&nodepb.Listing{Whole: true, More: true, Entries: []*nodepb.Entry{first}}),
			InventoryMessage{}},
		{"last part of a listing", listingFrame(&nodepb.Listing{Entries: []*nodepb.Entry{second}}), InventoryMessage{
			Input:     scheduler.NodesUpdated{Complete: true, Machines: []flaxshelf.Machine{firstMachine, secondMachine}},
			Addresses: map[string]string{"n": "h:1", "m": "h:2"}}},
		{"changes", listingFrame(&nodepb.Listing{Entries: []*nodepb.Entry{second}}), InventoryMessage{
			Input:     scheduler.NodesUpdated{Machines: []flaxshelf.Machine{secondMachine}},
			Addresses: map[string]string{"m": "h:2"}}},
		{"failed call", &nodepb.Frame{Body: &nodepb.Frame_ListError{ListError: &nodepb.ListError{Message: "m"}}},
			InventoryMessage{Input: scheduler.DiscoveryFailed{}, Failed: true}},
		{"pong without a token", pongFrame(0), InventoryMessage{}},
		{"pong with a token", pongFrame(9), InventoryMessage{Input: scheduler.DiscoverySynced{Token: 9}}},
	}
	for _, test := range tests { // in this order, because they share a connection
		t.Run(test.name, func(t *testing.T) {
			if got, err := decoder.Decode(test.frame); err != nil || !reflect.DeepEqual(got, test.want) {
				t.Errorf("got %+v, %v, want %+v", got, err, test.want)
			}
		})
	}
}

// Every field of a machine survives NewEntry, the wire format and the decoding of a listing.
func TestEntryKeepsEveryFieldOfMachine(t *testing.T) {
	want := machinetest.Filled(t)
	data, err := proto.Marshal(NewEntry(want, "large", "h:1"))
	if err != nil {
		t.Fatal(err)
	}
	entry := &nodepb.Entry{}
	if err := proto.Unmarshal(data, entry); err != nil {
		t.Fatal(err)
	}
	decoder := newInventoryDecoder(t)
	message, err := decoder.Decode(listingFrame(&nodepb.Listing{Entries: []*nodepb.Entry{entry}}))
	if err != nil {
		t.Fatal(err)
	}
	update, ok := message.Input.(scheduler.NodesUpdated)
	if !ok || len(update.Machines) != 1 {
		t.Fatalf("got %+v, want an update with one machine", message)
	}
	machinetest.Expect(t, update.Machines[0], want)
	if got := message.Addresses[want.ID]; got != "h:1" {
		t.Errorf("address: got %q, want h:1", got)
	}
}

func TestEntryKeepsEveryState(t *testing.T) {
	for _, state := range []flaxshelf.MachineState{flaxshelf.Active, flaxshelf.Draining, flaxshelf.Removed} {
		entry := NewEntry(flaxshelf.Machine{ID: "n", State: state}, "k", "h:1")
		if got := decodeEntry(testSettings(t), entry).State; got != state {
			t.Errorf("got state %v, want %v", got, state)
		}
	}
}
