package trial

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/fault"
	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/inventorymodel"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

// startFaults starts a goroutine for each fault of the day, which injects it at its time. The returned function waits until all
// injections are over.
func (c *cluster) startFaults(ctx context.Context, startTime time.Time, clients *clients) (wait func() error, err error) {
	faults := make([]*fault.Fault, len(c.day.Faults))
	for i := range faults {
		if faults[i], err = fault.New(c.day, i, c.options.Seed); err != nil {
			return nil, err
		}
	}
	target := &faultTarget{cluster: c, clients: clients}
	var injections sync.WaitGroup
	errs := make([]error, len(faults))
	for i, injected := range faults {
		injections.Go(func() {
			sleepUntil(ctx, startTime.Add(injected.Start))
			if canceled(ctx) {
				return
			}
			scheduled := &c.day.Faults[i]
			c.options.Logf("%6.2f s: %s%s for %v s", scheduled.At, scheduled.Kind, describeScope(scheduled), scheduled.Duration)
			errs[i] = injected.Inject(ctx, target)
		})
	}
	return func() error {
		injections.Wait()
		return errors.Join(errs...)
	}, nil
}

// describeScope returns the zone and the class that a fault is limited to, as text; it is empty for a fault without limits.
func describeScope(scheduled *scenario.Fault) string {
	text := ""
	if scheduled.Zone != "" {
		text += " in " + scheduled.Zone
	}
	if scheduled.Class != "" {
		text += " of " + scheduled.Class
	}
	return text
}

// sleepUntil waits until the given time, or until the context is canceled.
func sleepUntil(ctx context.Context, at time.Time) { sleep(ctx, time.Until(at)) }

// sleep waits for the duration, or until the context is canceled.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

func canceled(ctx context.Context) bool { return ctx.Err() != nil }

// faultTarget applies faults to the processes, nodes and proxies of a cluster. It implements fault.Cluster and fault.Network,
// and is safe for concurrent use.
type faultTarget struct {
	cluster *cluster
	clients *clients
}

func (t *faultTarget) nodes(indices []int) []*node {
	nodes := make([]*node, len(indices))
	for i, index := range indices {
		nodes[i] = t.cluster.nodes[index]
	}
	return nodes
}

func (t *faultTarget) schedulers(indices []int) []*schedulerProcess {
	schedulers := make([]*schedulerProcess, len(indices))
	for i, index := range indices {
		schedulers[i] = t.cluster.schedulers[index]
	}
	return schedulers
}

// Wait implements fault.Cluster.
func (t *faultTarget) Wait(ctx context.Context, duration time.Duration) { sleep(ctx, duration) }

// ChangeNodeFaults implements fault.Cluster.
func (t *faultTarget) ChangeNodeFaults(nodes []int, change fault.NodeFaultChange) {
	for _, n := range t.nodes(nodes) {
		n.changeFault(change)
	}
}

// DropPrograms implements fault.Cluster.
func (t *faultTarget) DropPrograms(nodes []int, fraction float64) {
	for _, n := range t.nodes(nodes) {
		n.withModel(func(model *nodemodel.Node, _ nodemodel.Time) []nodemodel.Envelope {
			model.EvictCachedPrograms(fraction)
			return nil
		})
	}
}

// DrainNodes implements fault.Cluster.
func (t *faultTarget) DrainNodes(nodes []int) {
	for _, n := range t.nodes(nodes) {
		n.withModel(func(model *nodemodel.Node, now nodemodel.Time) []nodemodel.Envelope { return model.Drain(now) })
	}
}

// StopNodes implements fault.Cluster.
func (t *faultTarget) StopNodes(nodes []int) {
	for _, n := range t.nodes(nodes) {
		n.stop()
	}
}

// StartNodes implements fault.Cluster.
func (t *faultTarget) StartNodes(ctx context.Context, nodes []int) error {
	if canceled(ctx) {
		return nil
	}
	var errs []error
	for _, n := range t.nodes(nodes) {
		errs = append(errs, n.start(false))
	}
	return errors.Join(errs...)
}

// RestartNodes implements fault.Cluster.
func (t *faultTarget) RestartNodes(ctx context.Context, nodes []int) error {
	t.StopNodes(nodes)
	return t.StartNodes(ctx, nodes)
}

// PauseSchedulers implements fault.Cluster.
func (t *faultTarget) PauseSchedulers(schedulers []int, _ time.Duration) {
	t.signal(schedulers, syscall.SIGSTOP, recordproxy.EventSchedulerPaused)
}

// ResumeSchedulers implements fault.Cluster.
func (t *faultTarget) ResumeSchedulers(schedulers []int) {
	t.signal(schedulers, syscall.SIGCONT, recordproxy.EventSchedulerResumed)
}

func (t *faultTarget) signal(schedulers []int, signal syscall.Signal, event recordproxy.Event) {
	for _, p := range t.schedulers(schedulers) {
		p.signal(signal)
		t.cluster.recorder.RecordEvent(event, p.name)
	}
}

// KillSchedulers implements fault.Cluster.
func (t *faultTarget) KillSchedulers(schedulers []int) {
	for _, p := range t.schedulers(schedulers) {
		p.kill()
	}
}

// TerminateSchedulers implements fault.Cluster.
func (t *faultTarget) TerminateSchedulers(schedulers []int) error {
	var errs []error
	for _, p := range t.schedulers(schedulers) {
		errs = append(errs, p.terminate())
		// Recorded as for a kill: a process that is started later is another incarnation.
		t.cluster.recorder.RecordEvent(recordproxy.EventSchedulerKilled, p.name)
	}
	return errors.Join(errs...)
}

// StartSchedulers implements fault.Cluster.
func (t *faultTarget) StartSchedulers(ctx context.Context, schedulers []int) error {
	if canceled(ctx) {
		return nil
	}
	var errs []error
	for _, p := range t.schedulers(schedulers) {
		errs = append(errs, p.start())
	}
	return errors.Join(errs...)
}

// SetLoadFactor implements fault.Cluster.
func (t *faultTarget) SetLoadFactor(class string, factor float64) {
	t.clients.setLoadFactor(class, factor)
}

// SetHotServiceFraction implements fault.Cluster.
func (t *faultTarget) SetHotServiceFraction(class string, fraction float64) {
	t.clients.setHotServiceFraction(class, fraction)
}

// SetInventoryFault implements fault.Cluster.
func (t *faultTarget) SetInventoryFault(inventoryFault inventorymodel.Fault) {
	t.cluster.inventory.Do(func(model *inventorymodel.Inventory, now inventorymodel.Time) []inventorymodel.Envelope {
		return model.SetFault(now, inventoryFault)
	})
}

// SetLinkFault implements fault.Network.
func (t *faultTarget) SetLinkFault(nodes []int, linkFault recordproxy.Fault) {
	if linkFault.DropReplies {
		t.cluster.recorder.RecordEvent(recordproxy.EventBytesDropped, "nodes")
	}
	for _, n := range t.nodes(nodes) {
		n.proxy.SetFault(linkFault)
	}
}

// BreakLinks implements fault.Network.
func (t *faultTarget) BreakLinks(nodes []int) {
	for _, n := range t.nodes(nodes) {
		n.proxy.Disconnect()
	}
}

// BreakInventoryLinks implements fault.Network.
func (t *faultTarget) BreakInventoryLinks(schedulers []int) {
	for _, p := range t.schedulers(schedulers) {
		p.inventoryProxy.Disconnect()
	}
}

// BreakClientLinks implements fault.Network.
func (t *faultTarget) BreakClientLinks(schedulers []int) {
	for _, p := range t.schedulers(schedulers) {
		p.clientProxy.Disconnect()
	}
}

// RunMisbehavingClients implements fault.Network.
func (t *faultTarget) RunMisbehavingClients(ctx context.Context, schedulers []int, count int, duration time.Duration) {
	for _, p := range t.schedulers(schedulers) {
		runMisbehavingClients(ctx, p.address(), count, duration)
	}
}
