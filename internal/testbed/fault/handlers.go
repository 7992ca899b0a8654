package fault

import (
	"context"
	"errors"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/inventorymodel"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

// clusterHandlers inject the faults that every cluster supports.
var clusterHandlers = map[Kind]func(ctx context.Context, f *Fault, cluster Cluster) error{
	FailStarts:          failStarts,
	DropReplies:         dropReplies,
	InflateUsage:        inflateUsage,
	OccupyNodes:         occupyNodes,
	DropPrograms:        dropPrograms,
	LoseNodes:           loseNodes,
	RestartNodes:        restartNodes,
	DrainNodes:          drainNodes,
	ShrinkFleet:         shrinkFleet,
	DeployNodes:         deployNodes,
	PauseSchedulers:     pauseSchedulers,
	KillSchedulers:      killSchedulers,
	TerminateSchedulers: terminateSchedulers,
	LoadBurst:           loadBurst,
	HotService:          hotService,
	FailInventory:       failInventory,
	FreezeInventory:     freezeInventory,
}

// networkHandlers inject the faults that need a Network.
var networkHandlers = map[Kind]func(ctx context.Context, f *Fault, cluster Cluster, network Network){
	BreakLinks:          breakLinks,
	BreakReplies:        breakReplies,
	HalfOpenLinks:       halfOpenLinks,
	DelayLinks:          delayLinks,
	StallLinks:          stallLinks,
	BreakInventoryLinks: breakInventoryLinks,
	BreakClientLinks:    breakClientLinks,
	MisbehavingClients:  runMisbehavingClients,
}

// duringFault calls begin, waits for the duration of the fault, and calls end.
func duringFault(ctx context.Context, f *Fault, cluster Cluster, begin, end func()) {
	begin()
	cluster.Wait(ctx, f.Duration)
	end()
}

// injectNodeFault applies set to the faults of the nodes and, after the duration of the fault, reset.
func injectNodeFault(ctx context.Context, f *Fault, cluster Cluster, set, reset NodeFaultChange) error {
	duringFault(ctx, f, cluster,
		func() { cluster.ChangeNodeFaults(f.Nodes, set) },
		func() { cluster.ChangeNodeFaults(f.Nodes, reset) })
	return nil
}

func failStarts(ctx context.Context, f *Fault, cluster Cluster) error {
	return injectNodeFault(ctx, f, cluster,
		func(fault *nodemodel.Fault) { fault.StartFailureFraction, fault.StartFailureClass = f.Factor, f.Class },
		func(fault *nodemodel.Fault) { fault.StartFailureFraction, fault.StartFailureClass = 0, "" })
}

func dropReplies(ctx context.Context, f *Fault, cluster Cluster) error {
	return injectNodeFault(ctx, f, cluster,
		func(fault *nodemodel.Fault) { fault.DropRepliesClass = f.Class },
		func(fault *nodemodel.Fault) { fault.DropRepliesClass = "" })
}

func inflateUsage(ctx context.Context, f *Fault, cluster Cluster) error {
	return injectNodeFault(ctx, f, cluster,
		func(fault *nodemodel.Fault) { fault.UsageFactor, fault.UsageClass = f.Factor, f.Class },
		func(fault *nodemodel.Fault) { fault.UsageFactor, fault.UsageClass = 0, "" })
}

func occupyNodes(ctx context.Context, f *Fault, cluster Cluster) error {
	return injectNodeFault(ctx, f, cluster,
		func(fault *nodemodel.Fault) { fault.OccupiedFraction = f.Factor },
		func(fault *nodemodel.Fault) { fault.OccupiedFraction = 0 })
}

func dropPrograms(_ context.Context, f *Fault, cluster Cluster) error {
	cluster.DropPrograms(f.Nodes, f.Factor)
	return nil
}

func loseNodes(ctx context.Context, f *Fault, cluster Cluster) error {
	cluster.StopNodes(f.Nodes)
	cluster.Wait(ctx, f.Duration)
	return cluster.StartNodes(ctx, f.Nodes)
}

func restartNodes(ctx context.Context, f *Fault, cluster Cluster) error {
	return cluster.RestartNodes(ctx, f.Nodes)
}

// restartDelay is the time between the stop of a drained node and its next start. In a simulated cluster a message takes this
// long, so the stop is processed before the start.
const restartDelay = time.Millisecond

func drainNodes(ctx context.Context, f *Fault, cluster Cluster) error {
	if err := shrinkFleet(ctx, f, cluster); err != nil {
		return err
	}
	cluster.Wait(ctx, restartDelay)
	return cluster.StartNodes(ctx, f.Nodes)
}

func shrinkFleet(ctx context.Context, f *Fault, cluster Cluster) error {
	cluster.DrainNodes(f.Nodes)
	cluster.Wait(ctx, f.Duration)
	cluster.StopNodes(f.Nodes)
	return nil
}

// deployNodes drains and restarts the nodes in groups of Factor nodes, one group after another.
func deployNodes(ctx context.Context, f *Fault, cluster Cluster) error {
	groupSize := max(1, int(f.Factor))
	groups := (len(f.Nodes) + groupSize - 1) / groupSize
	for rest := f.Nodes; len(rest) > 0 && ctx.Err() == nil; {
		group := rest[:min(groupSize, len(rest))]
		rest = rest[len(group):]
		cluster.DrainNodes(group)
		cluster.Wait(ctx, f.Duration/time.Duration(groups))
		if err := cluster.RestartNodes(ctx, group); err != nil {
			return err
		}
	}
	return nil
}

func pauseSchedulers(ctx context.Context, f *Fault, cluster Cluster) error {
	duringFault(ctx, f, cluster,
		func() { cluster.PauseSchedulers(f.Schedulers, f.Duration) },
		func() { cluster.ResumeSchedulers(f.Schedulers) })
	return nil
}

func killSchedulers(ctx context.Context, f *Fault, cluster Cluster) error {
	cluster.KillSchedulers(f.Schedulers)
	cluster.Wait(ctx, f.Duration)
	return cluster.StartSchedulers(ctx, f.Schedulers)
}

// terminateSchedulers starts the schedulers again even if one did not shut down cleanly, so that the day can continue.
func terminateSchedulers(ctx context.Context, f *Fault, cluster Cluster) error {
	err := cluster.TerminateSchedulers(f.Schedulers)
	cluster.Wait(ctx, f.Duration)
	return errors.Join(err, cluster.StartSchedulers(ctx, f.Schedulers))
}

func loadBurst(ctx context.Context, f *Fault, cluster Cluster) error {
	duringFault(ctx, f, cluster,
		func() { cluster.SetLoadFactor(f.Class, f.Factor) },
		func() { cluster.SetLoadFactor(f.Class, 0) })
	return nil
}

func hotService(ctx context.Context, f *Fault, cluster Cluster) error {
	duringFault(ctx, f, cluster,
		func() { cluster.SetHotServiceFraction(f.Class, f.Factor) },
		func() { cluster.SetHotServiceFraction(f.Class, 0) })
	return nil
}

func injectInventoryFault(ctx context.Context, f *Fault, cluster Cluster, fault inventorymodel.Fault) error {
	duringFault(ctx, f, cluster,
		func() { cluster.SetInventoryFault(fault) },
		func() { cluster.SetInventoryFault(inventorymodel.Fault{}) })
	return nil
}

func failInventory(ctx context.Context, f *Fault, cluster Cluster) error {
	return injectInventoryFault(ctx, f, cluster, inventorymodel.Fault{Unavailable: true})
}

func freezeInventory(ctx context.Context, f *Fault, cluster Cluster) error {
	return injectInventoryFault(ctx, f, cluster, inventorymodel.Fault{Stale: true})
}

func breakLinks(_ context.Context, f *Fault, _ Cluster, network Network) { network.BreakLinks(f.Nodes) }

// maxBytesBeforeBreak is the maximum number of reply bytes that are transferred before a connection is broken.
const maxBytesBeforeBreak = 100

func breakReplies(_ context.Context, f *Fault, _ Cluster, network Network) {
	for i := range f.Nodes {
		network.SetLinkFault(f.Nodes[i:i+1], recordproxy.Fault{BreakAfterBytes: 1 + f.rng.IntN(maxBytesBeforeBreak)})
	}
}

// injectLinkFault applies a fault to the connections to nodes for the duration.
func injectLinkFault(ctx context.Context, f *Fault, cluster Cluster, network Network, fault recordproxy.Fault) {
	duringFault(ctx, f, cluster,
		func() { network.SetLinkFault(f.Nodes, fault) },
		func() { network.SetLinkFault(f.Nodes, recordproxy.Fault{}) })
}

// halfOpenLinks closes the connections at the end, since the parties cannot decode a stream with missing bytes.
func halfOpenLinks(ctx context.Context, f *Fault, cluster Cluster, network Network) {
	injectLinkFault(ctx, f, cluster, network, recordproxy.Fault{DropReplies: true})
	network.BreakLinks(f.Nodes)
}

func delayLinks(ctx context.Context, f *Fault, cluster Cluster, network Network) {
	injectLinkFault(ctx, f, cluster, network, recordproxy.Fault{Delay: scenario.Seconds(f.Factor)})
}

func stallLinks(ctx context.Context, f *Fault, cluster Cluster, network Network) {
	injectLinkFault(ctx, f, cluster, network, recordproxy.Fault{Stall: true})
}

func breakInventoryLinks(_ context.Context, f *Fault, _ Cluster, network Network) {
	network.BreakInventoryLinks(f.Schedulers)
}

func breakClientLinks(_ context.Context, f *Fault, _ Cluster, network Network) {
	network.BreakClientLinks(f.Schedulers)
}

func runMisbehavingClients(ctx context.Context, f *Fault, _ Cluster, network Network) {
	network.RunMisbehavingClients(ctx, f.Schedulers, int(f.Factor), f.Duration)
}
