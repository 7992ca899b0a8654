package fault

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/inventorymodel"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

// journal is a cluster that notes its actions in place of carrying them out.
type journal struct {
	actions []string
	err     error // of TerminateSchedulers and RestartNodes
}

func (j *journal) note(format string, args ...any) {
	j.actions = append(j.actions, fmt.Sprintf(format, args...))
}

func (j *journal) Wait(_ context.Context, duration time.Duration) { j.note("wait %v", duration) }

func (j *journal) ChangeNodeFaults(nodes []int, change NodeFaultChange) {
	// Fields that a change leaves keep these values.
	fault := nodemodel.Fault{StartFailureFraction: 9, UsageFactor: 9, OccupiedFraction: 9, StartFailureClass: "-", UsageClass: "-", DropRepliesClass: "-"}
	change(&fault)
	j.note("faults %v %v", nodes, fault)
}

func (j *journal) DropPrograms(nodes []int, share float64) { j.note("drop %v %v", nodes, share) }
func (j *journal) DrainNodes(nodes []int)                  { j.note("drain %v", nodes) }
func (j *journal) StopNodes(nodes []int)                   { j.note("stop %v", nodes) }

func (j *journal) StartNodes(_ context.Context, nodes []int) error {
	j.note("start %v", nodes)
	return nil
}

func (j *journal) RestartNodes(_ context.Context, nodes []int) error {
	j.note("restart %v", nodes)
	return j.err
}

func (j *journal) PauseSchedulers(schedulers []int, duration time.Duration) {
	j.note("pause s%v %v", schedulers, duration)
}
func (j *journal) ResumeSchedulers(schedulers []int) { j.note("resume s%v", schedulers) }
func (j *journal) KillSchedulers(schedulers []int)   { j.note("kill s%v", schedulers) }

func (j *journal) TerminateSchedulers(schedulers []int) error {
	j.note("terminate s%v", schedulers)
	return j.err
}

func (j *journal) StartSchedulers(_ context.Context, schedulers []int) error {
	j.note("start s%v", schedulers)
	return nil
}

func (j *journal) SetLoadFactor(class string, factor float64)     { j.note("load %s %v", class, factor) }
func (j *journal) SetHotServiceShare(class string, share float64) { j.note("hot %s %v", class, share) }
func (j *journal) SetInventoryFault(fault inventorymodel.Fault)   { j.note("inventory %v", fault) }

// networkJournal is one with connections.
type networkJournal struct{ journal }

func (j *networkJournal) SetLinkFault(nodes []int, fault recordproxy.Fault) {
	j.note("link %v %v", nodes, fault)
}
func (j *networkJournal) BreakLinks(nodes []int) { j.note("break %v", nodes) }
func (j *networkJournal) BreakInventoryLinks(schedulers []int) {
	j.note("break inventory s%v", schedulers)
}
func (j *networkJournal) BreakClientLinks(schedulers []int) { j.note("break clients s%v", schedulers) }

func (j *networkJournal) RunMisbehavingClients(_ context.Context, schedulers []int, clients int, duration time.Duration) {
	j.note("misbehave s%v %d %v", schedulers, clients, duration)
}

func testFault(kind Kind) *Fault {
	return &Fault{Kind: kind, Start: time.Second, Duration: 3 * time.Second, Nodes: []int{4, 5, 6}, Schedulers: []int{1},
		Class: "c", Factor: 2, random: rand.New(rand.NewPCG(1, 2))}
}

// TestActions checks the actions of each kind, in their order.
func TestActions(t *testing.T) {
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
			j := &networkJournal{}
			if err := testFault(kind).Inject(context.Background(), j); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(j.actions, want) {
				t.Errorf("got  %q\nwant %q", j.actions, want)
			}
		})
	}
}

// TestBreakReplies checks that each connection is broken at a point of its own, drawn by the seed.
func TestBreakReplies(t *testing.T) {
	j := &networkJournal{}
	if err := testFault(BreakReplies).Inject(context.Background(), j); err != nil {
		t.Fatal(err)
	}
	draw, want := rand.New(rand.NewPCG(1, 2)), []string(nil)
	for _, node := range []int{4, 5, 6} {
		want = append(want, fmt.Sprintf("link [%d] {0s false false false %d}", node, 1+draw.IntN(100)))
	}
	if !reflect.DeepEqual(j.actions, want) {
		t.Errorf("got  %q\nwant %q", j.actions, want)
	}
}

// TestUnsupported checks that a cluster without connections has no faults of connections, and all others.
func TestUnsupported(t *testing.T) {
	for name, kind := range kinds {
		err := testFault(kind).Inject(context.Background(), &journal{})
		_, needsNetwork := networkHandlers[kind]
		var unsupported *UnsupportedError
		if got := errors.As(err, &unsupported); got != needsNetwork || got && unsupported.Kind != kind {
			t.Errorf("%s: %v", name, err)
		}
		if !needsNetwork && err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestErrors checks that an action's error names its fault, and that terminated schedulers are started all the same.
func TestErrors(t *testing.T) {
	cause := errors.New("cause")
	j := &journal{err: cause}
	err := testFault(TerminateSchedulers).Inject(context.Background(), j)
	var faultError *Error
	if !errors.Is(err, cause) || !errors.As(err, &faultError) || faultError.Fault.Kind != TerminateSchedulers {
		t.Errorf("error %v", err)
	}
	if last := j.actions[len(j.actions)-1]; last != "start s[1]" {
		t.Errorf("the last action is %q", last)
	}
	j = &journal{err: cause}
	if err := testFault(DeployNodes).Inject(context.Background(), j); !errors.Is(err, cause) || len(j.actions) != 3 {
		t.Errorf("error %v after %q", err, j.actions)
	}
}

// TestNew checks that every fault of the scenarios that ship with the program has a kind, and that a seed draws the same
// nodes again.
func TestNew(t *testing.T) {
	for _, name := range scenario.Names() {
		day, err := scenario.Read(name)
		if err != nil {
			t.Fatal(err)
		}
		for i := range day.Faults {
			first, err := New(day, i, 3)
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			second, err := New(day, i, 3)
			if err != nil || !reflect.DeepEqual(first, second) {
				t.Errorf("%s: %+v and %+v, %v", name, first, second, err)
			}
			if first.Kind.String() != day.Faults[i].Kind {
				t.Errorf("%s: %v, want %s", name, first.Kind, day.Faults[i].Kind)
			}
		}
	}
	_, err := New(&scenario.Day{Faults: []scenario.Fault{{Kind: "nothing"}}}, 0, 1)
	var unknown *UnknownKindError
	if !errors.As(err, &unknown) || unknown.Name != "nothing" {
		t.Errorf("error %v", err)
	}
	if got := Kind(0).String(); !strings.Contains(got, "0") {
		t.Errorf("the zero kind is %q", got)
	}
}
