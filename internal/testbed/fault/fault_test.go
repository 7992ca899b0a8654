package fault

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/inventorymodel"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

// fakeCluster is a Cluster that records its actions instead of carrying them out.
type fakeCluster struct {
	actions []string
	err     error // returned by TerminateSchedulers and RestartNodes
}

func (c *fakeCluster) record(format string, args ...any) {
	c.actions = append(c.actions, fmt.Sprintf(format, args...))
}

func (c *fakeCluster) Wait(_ context.Context, duration time.Duration) { c.record("wait %v", duration) }

func (c *fakeCluster) ChangeNodeFaults(nodes []int, change NodeFaultChange) {
	// The initial values show which fields the change sets.
	fault := nodemodel.Fault{StartFailureFraction: 9, UsageFactor: 9, OccupiedFraction: 9, StartFailureClass: "-",
		UsageClass: "-", DropRepliesClass: "-"}
	change(&fault)
	c.record("faults %v %v", nodes, fault)
}

func (c *fakeCluster) DropPrograms(nodes []int, fraction float64) {
	c.record("drop %v %v", nodes, fraction)
}
func (c *fakeCluster) DrainNodes(nodes []int) { c.record("drain %v", nodes) }
func (c *fakeCluster) StopNodes(nodes []int)  { c.record("stop %v", nodes) }

func (c *fakeCluster) StartNodes(_ context.Context, nodes []int) error {
	c.record("start %v", nodes)
	return nil
}

func (c *fakeCluster) RestartNodes(_ context.Context, nodes []int) error {
	c.record("restart %v", nodes)
	return c.err
}

func (c *fakeCluster) PauseSchedulers(schedulers []int, duration time.Duration) {
	c.record("pause s%v %v", schedulers, duration)
}
func (c *fakeCluster) ResumeSchedulers(schedulers []int) { c.record("resume s%v", schedulers) }
func (c *fakeCluster) KillSchedulers(schedulers []int)   { c.record("kill s%v", schedulers) }

func (c *fakeCluster) TerminateSchedulers(schedulers []int) error {
	c.record("terminate s%v", schedulers)
	return c.err
}

func (c *fakeCluster) StartSchedulers(_ context.Context, schedulers []int) error {
	c.record("start s%v", schedulers)
	return nil
}

func (c *fakeCluster) SetLoadFactor(class string, factor float64) {
	c.record("load %s %v", class, factor)
}
func (c *fakeCluster) SetHotServiceFraction(class string, fraction float64) {
	c.record("hot %s %v", class, fraction)
}
func (c *fakeCluster) SetInventoryFault(fault inventorymodel.Fault) { c.record("inventory %v", fault) }

// fakeNetworkCluster is a fakeCluster that also implements Network.
type fakeNetworkCluster struct{ fakeCluster }

func (c *fakeNetworkCluster) SetLinkFault(nodes []int, fault recordproxy.Fault) {
	c.record("link %v %v", nodes, fault)
}
func (c *fakeNetworkCluster) BreakLinks(nodes []int) { c.record("break %v", nodes) }
func (c *fakeNetworkCluster) BreakInventoryLinks(schedulers []int) {
	c.record("break inventory s%v", schedulers)
}
func (c *fakeNetworkCluster) BreakClientLinks(schedulers []int) {
	c.record("break clients s%v", schedulers)
}

func (c *fakeNetworkCluster) RunMisbehavingClients(_ context.Context, schedulers []int, clients int, duration time.Duration) {
	c.record("misbehave s%v %d %v", schedulers, clients, duration)
}

func testFault(kind Kind) *Fault {
	return &Fault{Kind: kind, Start: time.Second, Duration: 3 * time.Second, Nodes: []int{4, 5, 6}, Schedulers: []int{1},
		Class: "c", Factor: 2, rng: rand.New(rand.NewPCG(1, 2))}
}

func TestInjectCarriesOutTheActionsOfItsKindInOrder(t *testing.T) {
	for kind, want := range map[Kind][]string{
		FailStarts:          {"faults [4 5 6] {2 c - 9 - 9}", "wait 3s", "faults [4 5 6] {0  - 9 - 9}"},
		DropReplies:         {"faults [4 5 6] {9 - c 9 - 9}", "wait 3s", "faults [4 5 6] {9 -  9 - 9}"},
		InflateUsage:        {"faults [4 5 6] {9 - - 2 c 9}", "wait 3s", "faults [4 5 6] {9 - - 0  9}"},
		OccupyNodes:         {"faults [4 5 6] {9 - - 9 - 2}", "wait 3s", "faults [4 5 6] {9 - - 9 - 0}"},
		DropPrograms:        {"drop [4 5 6] 2"},
		LoseNodes:           {"stop [4 5 6]", "wait 3s", "start [4 5 6]"},
		RestartNodes:        {"restart [4 5 6]"},
		DrainNodes:          {"drain [4 5 6]", "wait 3s", "stop [4 5 6]", "wait 1ms", "start [4 5 6]"},
		ShrinkFleet:         {"drain [4 5 6]", "wait 3s", "stop [4 5 6]"},
		DeployNodes:         {"drain [4 5]", "wait 1.5s", "restart [4 5]", "drain [6]", "wait 1.5s", "restart [6]"},
		PauseSchedulers:     {"pause s[1] 3s", "wait 3s", "resume s[1]"},
		KillSchedulers:      {"kill s[1]", "wait 3s", "start s[1]"},
		TerminateSchedulers: {"terminate s[1]", "wait 3s", "start s[1]"},
		LoadBurst:           {"load c 2", "wait 3s", "load c 0"},
		HotService:          {"hot c 2", "wait 3s", "hot c 0"},
		FailInventory:       {"inventory {true false}", "wait 3s", "inventory {false false}"},
		FreezeInventory:     {"inventory {false true}", "wait 3s", "inventory {false false}"},
		BreakLinks:          {"break [4 5 6]"},
		HalfOpenLinks: {"link [4 5 6] {0s false true false 0}", "wait 3s", "link [4 5 6] {0s false false false 0}",
			"break [4 5 6]"},
		DelayLinks:          {"link [4 5 6] {2s false false false 0}", "wait 3s", "link [4 5 6] {0s false false false 0}"},
		StallLinks:          {"link [4 5 6] {0s true false false 0}", "wait 3s", "link [4 5 6] {0s false false false 0}"},
		BreakInventoryLinks: {"break inventory s[1]"},
		BreakClientLinks:    {"break clients s[1]"},
		MisbehavingClients:  {"misbehave s[1] 2 3s"},
	} {
		t.Run(kind.String(), func(t *testing.T) {
			c := &fakeNetworkCluster{}
			if err := testFault(kind).Inject(context.Background(), c); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(c.actions, want) {
				t.Errorf("got  %q\nwant %q", c.actions, want)
			}
		})
	}
}

func TestBreakRepliesDrawsAByteCountForEachConnection(t *testing.T) {
	c := &fakeNetworkCluster{}
	if err := testFault(BreakReplies).Inject(context.Background(), c); err != nil {
		t.Fatal(err)
	}
	draw, want := rand.New(rand.NewPCG(1, 2)), []string(nil)
	for _, node := range []int{4, 5, 6} {
		want = append(want, fmt.Sprintf("link [%d] {0s false false false %d}", node, 1+draw.IntN(100)))
	}
	if !reflect.DeepEqual(c.actions, want) {
		t.Errorf("got  %q\nwant %q", c.actions, want)
	}
}

func TestOnlyNetworkFaultsNeedANetwork(t *testing.T) {
	for name, kind := range kindsByName {
		t.Run(name, func(t *testing.T) {
			err := testFault(kind).Inject(context.Background(), &fakeCluster{})
			if _, needsNetwork := networkHandlers[kind]; !needsNetwork {
				if err != nil {
					t.Errorf("got error %v, want none", err)
				}
				return
			}
			var unsupported *UnsupportedError
			if !errors.As(err, &unsupported) || unsupported.Kind != kind {
				t.Errorf("got error %v, want an UnsupportedError of %v", err, kind)
			}
		})
	}
}

func TestTerminatedSchedulersAreStartedAfterAnError(t *testing.T) {
	cause := errors.New("cause")
	c := &fakeCluster{err: cause}
	err := testFault(TerminateSchedulers).Inject(context.Background(), c)
	var faultError *Error
	if !errors.Is(err, cause) || !errors.As(err, &faultError) || faultError.Fault.Kind != TerminateSchedulers {
		t.Errorf("got error %v, want an Error of the fault that wraps the cause", err)
	}
	if got, want := c.actions[len(c.actions)-1], "start s[1]"; got != want {
		t.Errorf("got last action %q, want %q", got, want)
	}
}

func TestDeploymentStopsAfterAnError(t *testing.T) {
	cause := errors.New("cause")
	c := &fakeCluster{err: cause}
	err := testFault(DeployNodes).Inject(context.Background(), c)
	if !errors.Is(err, cause) {
		t.Errorf("got error %v, want %v", err, cause)
	}
	if len(c.actions) != 3 {
		t.Errorf("got actions %q, want those of the first group alone", c.actions)
	}
}

func TestNewDrawsTheSameFaultForASeed(t *testing.T) {
	for _, name := range scenario.Names() {
		t.Run(name, func(t *testing.T) {
			day, err := scenario.Read(name)
			if err != nil {
				t.Fatal(err)
			}
			for i := range day.Faults {
				first, err := New(day, i, 3)
				if err != nil {
					t.Fatal(err)
				}
				second, err := New(day, i, 3)
				if err != nil || !reflect.DeepEqual(first, second) {
					t.Errorf("got %+v and %+v, error %v, want the same twice", first, second, err)
				}
				if got, want := first.Kind.String(), day.Faults[i].Kind; got != want {
					t.Errorf("got kind %s, want %s", got, want)
				}
			}
		})
	}
}

func TestNewRejectsAnUnknownKind(t *testing.T) {
	_, err := New(&scenario.Day{Faults: []scenario.Fault{{Kind: "nothing"}}}, 0, 1)
	var unknown *UnknownKindError
	if !errors.As(err, &unknown) || unknown.Name != "nothing" {
		t.Errorf("got error %v, want an UnknownKindError of %q", err, "nothing")
	}
}

func TestStringOfAnUnknownKindHasItsNumber(t *testing.T) {
	if got, want := Kind(0).String(), "Kind(0)"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
