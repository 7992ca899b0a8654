// Package fault injects the faults of a scenario into a cluster. It decides which actions a fault consists of and their
// order; a cluster carries them out through the interface Cluster, in real time on sockets or in simulated time.
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
	Class      string // empty or "*" means all classes, depending on the kind
	Factor     float64

	rng *rand.Rand // for draws during the injection
}

// New returns the fault of the given index of a scenario; the seed determines its nodes. The error is an
// *UnknownKindError.
func New(day *scenario.Day, index int, seed uint64) (*Fault, error) {
	scheduled := &day.Faults[index]
	kind, err := ParseKind(scheduled.Kind)
	if err != nil {
		return nil, err
	}
	random := day.FaultRand(index, seed)
	return &Fault{
		Kind:       kind,
		Start:      scenario.Seconds(scheduled.At),
		Duration:   scenario.Seconds(scheduled.Duration),
		Nodes:      day.PickNodes(scheduled, random),
		Schedulers: scheduled.Schedulers,
		Class:      scheduled.Class,
		Factor:     scheduled.Factor,
		rng:        random,
	}, nil
}

// NodeFaultChange changes the faults that a node model has.
type NodeFaultChange func(fault *nodemodel.Fault)

// Cluster carries out the actions of faults. A method returns when its action is done or, in simulated time, scheduled.
// The methods that start nodes or schedulers take a context and start nothing after it is canceled.
type Cluster interface {
	// Wait waits between two actions of a fault; it returns early when the context is canceled.
	Wait(ctx context.Context, duration time.Duration)

	// ChangeNodeFaults changes the faults of nodes; a node that stops loses its faults.
	ChangeNodeFaults(nodes []int, change NodeFaultChange)
	// DropPrograms removes a fraction of the cached programs of nodes.
	DropPrograms(nodes []int, fraction float64)
	// DrainNodes drains nodes: they accept no more tasks and notify the inventory.
	DrainNodes(nodes []int)
	// StopNodes stops nodes at once, with all their tasks.
	StopNodes(nodes []int)
	// StartNodes starts stopped nodes, without cached programs.
	StartNodes(ctx context.Context, nodes []int) error
	// RestartNodes stops nodes and starts them at once.
	RestartNodes(ctx context.Context, nodes []int) error

	// PauseSchedulers suspends schedulers; ResumeSchedulers is called after the duration.
	PauseSchedulers(schedulers []int, duration time.Duration)
	// ResumeSchedulers ends a pause.
	ResumeSchedulers(schedulers []int)
	// KillSchedulers kills schedulers.
	KillSchedulers(schedulers []int)
	// TerminateSchedulers shuts schedulers down gracefully and waits until they have exited.
	TerminateSchedulers(schedulers []int) error
	// StartSchedulers starts schedulers that have exited.
	StartSchedulers(ctx context.Context, schedulers []int) error

	// SetLoadFactor multiplies the load of a class; 0 ends the fault.
	SetLoadFactor(class string, factor float64)
	// SetHotServiceFraction sends a fraction of a class's load to one service; 0 ends the fault.
	SetHotServiceFraction(class string, fraction float64)

	// SetInventoryFault replaces the faults of the inventory.
	SetInventoryFault(fault inventorymodel.Fault)
}

// Network is implemented by clusters that have real connections, in addition to Cluster.
type Network interface {
	// SetLinkFault replaces the faults of the connections to nodes.
	SetLinkFault(nodes []int, fault recordproxy.Fault)
	// BreakLinks closes the connections to nodes.
	BreakLinks(nodes []int)
	// BreakInventoryLinks closes the connections of schedulers to the inventory.
	BreakInventoryLinks(schedulers []int)
	// BreakClientLinks closes the connections of clients to schedulers.
	BreakClientLinks(schedulers []int)
	// RunMisbehavingClients runs clients that break the protocol with each scheduler, for the duration.
	RunMisbehavingClients(ctx context.Context, schedulers []int, clients int, duration time.Duration)
}

// Error is a fault that could not be injected.
type Error struct {
	Fault *Fault
	Err   error
}

// Error returns the kind and start of the fault, and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("fault %v at %v: %v", e.Fault.Kind, e.Fault.Start, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Inject carries out the fault, from its start to its end. The error is an *Error, which wraps an *UnsupportedError if
// the fault needs a Network and the cluster is none.
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
