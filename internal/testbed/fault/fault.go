// Package fault injects the faults of a scenario into a cluster. It decides which actions a fault is made of and in which
// order they come; a cluster carries them out by the interface Cluster, in real time on sockets or in simulated time.
package fault

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/inventorymodel"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

// Fault is one fault of a scenario with its targets.
type Fault struct {
	Kind       Kind
	Start      time.Duration // since the start of the scenario
	Duration   time.Duration
	Nodes      []int  // indices of the nodes in the fleet
	Schedulers []int  // indices of the schedulers
	Class      string // empty or "*" for all, as the kind has it
	Factor     float64

	random *rand.Rand // further draws
}

// New returns fault number index of a scenario, with its nodes drawn by the seed. The error is an *UnknownKindError.
func New(day *scenario.Day, index int, seed uint64) (*Fault, error) {
	trouble := &day.Faults[index]
	kind, err := ParseKind(trouble.Kind)
	if err != nil {
		return nil, err
	}
	random := day.Rand(index, seed)
	return &Fault{
		Kind:       kind,
		Start:      scenario.Seconds(trouble.At),
		Duration:   scenario.Seconds(trouble.For),
		Nodes:      day.Pick(trouble, random),
		Schedulers: trouble.Schedulers,
		Class:      trouble.Class,
		Factor:     trouble.Factor,
		random:     random,
	}, nil
}

// NodeFaultChange changes the faults that a node model has.
type NodeFaultChange func(fault *nodemodel.Fault)

// Cluster carries out the actions of faults. A method returns when its action is done or, in simulated time, planned. The
// methods that start something take a context and start nothing after it is canceled.
type Cluster interface {
	// Wait lets time pass between two actions of a fault; it ends early when the context is canceled.
	Wait(ctx context.Context, duration time.Duration)

	// ChangeNodeFaults changes the faults of nodes; they end when their node stops.
	ChangeNodeFaults(nodes []int, change NodeFaultChange)
	// DropPrograms has nodes lose a share of their cached programs.
	DropPrograms(nodes []int, share float64)
	// DrainNodes has nodes accept no more tasks and notify the inventory.
	DrainNodes(nodes []int)
	// StopNodes ends nodes at once, with all their tasks.
	StopNodes(nodes []int)
	// StartNodes starts stopped nodes, without cached programs.
	StartNodes(ctx context.Context, nodes []int) error
	// RestartNodes stops nodes and starts them at once.
	RestartNodes(ctx context.Context, nodes []int) error

	// PauseSchedulers suspends schedulers; ResumeSchedulers follows after the duration.
	PauseSchedulers(schedulers []int, duration time.Duration)
	// ResumeSchedulers ends a pause.
	ResumeSchedulers(schedulers []int)
	// KillSchedulers ends schedulers by force.
	KillSchedulers(schedulers []int)
	// TerminateSchedulers shuts schedulers down gracefully and waits for their ends.
	TerminateSchedulers(schedulers []int) error
	// StartSchedulers starts schedulers that have ended.
	StartSchedulers(ctx context.Context, schedulers []int) error

	// SetLoadFactor multiplies the load of a class; 0 ends it.
	SetLoadFactor(class string, factor float64)
	// SetHotServiceShare sends a share of a class's load to one service; 0 ends it.
	SetHotServiceShare(class string, share float64)

	// SetInventoryFault replaces the faults of the inventory.
	SetInventoryFault(fault inventorymodel.Fault)
}

// Network is what a cluster with real connections carries out beside a Cluster's actions.
type Network interface {
	// SetLinkFault replaces the faults of the connections to nodes.
	SetLinkFault(nodes []int, fault recordproxy.Fault)
	// BreakLinks closes the connections to nodes.
	BreakLinks(nodes []int)
	// BreakInventoryLinks closes the connections of schedulers to the inventory.
	BreakInventoryLinks(schedulers []int)
	// BreakClientLinks closes the connections of clients to schedulers.
	BreakClientLinks(schedulers []int)
	// RunMisbehavingClients has clients break the protocol with each scheduler, for the duration.
	RunMisbehavingClients(ctx context.Context, schedulers []int, clients int, duration time.Duration)
}

// Error is a fault that could not be injected.
type Error struct {
	Fault *Fault
	Err   error
}

// Error names the fault, its start and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("fault %v at %v: %v", e.Fault.Kind, e.Fault.Start, e.Err)
}

// Unwrap is the cause.
func (e *Error) Unwrap() error { return e.Err }

// Inject carries out the fault, from its start to its end. The error is an *Error, of an *UnsupportedError if the cluster
// has no Network where the fault needs it.
func (f *Fault) Inject(ctx context.Context, cluster Cluster) error {
	if err := f.inject(ctx, cluster); err != nil {
		return &Error{Fault: f, Err: err}
	}
	return nil
}

func (f *Fault) inject(ctx context.Context, cluster Cluster) error {
	if handle, ok := clusterHandlers[f.Kind]; ok {
		return handle(ctx, f, cluster)
	}
	handle, ok := networkHandlers[f.Kind]
	network, supported := cluster.(Network)
	if !ok || !supported {
		return &UnsupportedError{Kind: f.Kind}
	}
	handle(ctx, f, cluster, network)
	return nil
}
