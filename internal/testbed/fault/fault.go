// Package fault injects the faults of a scripted day into a cluster. It determines the actions that a fault consists of and
// their order. Implementations of Cluster carry them out, in real time on sockets or in simulated time.
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

// Fault is one fault of a scripted day with its targets.
type Fault struct {
	Kind       Kind
	Start      time.Duration // since the start of the day
	Duration   time.Duration
	Nodes      []int   // indices of the nodes in the fleet
	Schedulers []int   // indices of the schedulers
	Class      string  // the affected class; for all classes "*" for DropReplies, empty for other kinds
	Factor     float64 // the strength of the fault; its unit depends on the kind

	rng *rand.Rand // for draws during the injection
}

// New returns the fault at the given index of day.Faults. The index and the seed determine the nodes that are drawn. The error
// is an *UnknownKindError.
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

// NodeFaultChange modifies the active faults of a stand-in node in place.
type NodeFaultChange func(fault *nodemodel.Fault)

// Cluster carries out the actions of faults on nodes and schedulers, which are given by their indices. A method returns when
// its action is complete or, in simulated time, scheduled. The methods that start nodes or schedulers do not start any after
// their context is canceled.
type Cluster interface {
	// Wait waits between two actions of a fault; it returns early when the context is canceled.
	Wait(ctx context.Context, duration time.Duration)

	// ChangeNodeFaults applies a change to the faults of each node. A node that stops loses its faults.
	ChangeNodeFaults(nodes []int, change NodeFaultChange)
	// DropPrograms removes a fraction of the cached programs of each node.
	DropPrograms(nodes []int, fraction float64)
	// DrainNodes drains nodes: they stop accepting tasks and notify the inventory.
	DrainNodes(nodes []int)
	// StopNodes stops nodes and all their tasks at once, without a drain.
	StopNodes(nodes []int)
	// StartNodes starts stopped nodes. They have no cached programs.
	StartNodes(ctx context.Context, nodes []int) error
	// RestartNodes stops nodes and immediately starts them again.
	RestartNodes(ctx context.Context, nodes []int) error

	// PauseSchedulers suspends the processes of schedulers. ResumeSchedulers is called after the duration.
	PauseSchedulers(schedulers []int, duration time.Duration)
	// ResumeSchedulers resumes the processes of suspended schedulers.
	ResumeSchedulers(schedulers []int)
	// KillSchedulers kills schedulers without a shutdown.
	KillSchedulers(schedulers []int)
	// TerminateSchedulers shuts schedulers down gracefully and waits until they have exited.
	TerminateSchedulers(schedulers []int) error
	// StartSchedulers starts schedulers that have exited.
	StartSchedulers(ctx context.Context, schedulers []int) error

	// SetLoadFactor sets the factor by which the load of a class is multiplied; 0 ends the fault.
	SetLoadFactor(class string, factor float64)
	// SetHotServiceFraction sets the fraction of a class's load that goes to a single service; 0 ends the fault.
	SetHotServiceFraction(class string, fraction float64)

	// SetInventoryFault replaces the faults of the inventory.
	SetInventoryFault(fault inventorymodel.Fault)
}

// Network carries out the actions of faults on network connections. Clusters with real connections implement it in addition to
// Cluster.
type Network interface {
	// SetLinkFault replaces the faults of the connections to nodes.
	SetLinkFault(nodes []int, fault recordproxy.Fault)
	// BreakLinks closes the connections to nodes.
	BreakLinks(nodes []int)
	// BreakInventoryLinks closes the connections of schedulers to the inventory.
	BreakInventoryLinks(schedulers []int)
	// BreakClientLinks closes the connections of clients to schedulers.
	BreakClientLinks(schedulers []int)
	// RunMisbehavingClients runs the given number of clients that violate the protocol against each scheduler, for the
	// duration.
	RunMisbehavingClients(ctx context.Context, schedulers []int, clients int, duration time.Duration)
}

// Error is returned for a fault that could not be injected completely.
type Error struct {
	Fault *Fault
	Err   error
}

// Error returns a message with the kind and start of the fault and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("fault %v at %v: %v", e.Fault.Kind, e.Fault.Start, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Inject carries out all actions of the fault, from its start to its end. The error is an *Error. It wraps an
// *UnsupportedError if the fault needs a Network and the cluster does not implement it.
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
