package trial

import (
	"fmt"
	"sync"

	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/testbed/fault"
	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/fleet"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/host"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

// node is a node of the fleet over all its incarnations, each of which is a host.Node. It is safe for concurrent use.
type node struct {
	cluster *cluster
	index   int
	group   scenario.NodeGroup
	name    string
	proxy   *recordproxy.Proxy

	mu               sync.Mutex
	current          *host.Node // the running incarnation; nil while the node is stopped
	incarnationCount int
	fault            nodemodel.Fault
}

// address returns the address at which the running incarnation listens, or closedAddress if there is none.
func (n *node) address() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current == nil {
		return closedAddress
	}
	return n.current.Addr()
}

// start starts an incarnation, unless one is running. A warm incarnation has the programs of its tasks cached.
func (n *node) start(warm bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current != nil {
		return nil
	}
	n.incarnationCount++
	c := n.cluster
	config := settings.Node{Name: n.name, Kind: n.group.MachineKind, Zone: n.group.Zone, Cell: n.group.Cell,
		SlowStartCompleted: warm}
	seed := scenario.NodeSeed(c.options.Seed, n.index, n.incarnationCount)
	started, err := host.StartNode(host.NodeOptions{Kind: n.group.MachineKind, Cell: n.group.Cell, ListenAddress: loopbackAnyPort,
		Model:             fleet.NodeConfig(config, c.day.MachineKinds, c.day.Rules, c.day.Behaviour, seed),
		AdvertisedAddress: n.proxy.Addr(), InventoryAddress: c.inventory.Addr(), Keys: c.keysByZone[n.group.Zone], Log: c.log})
	if err != nil {
		return fmt.Errorf("trial: start node %s: %w", n.name, err)
	}
	n.current = started
	c.nodeGoroutines.Go(func() { n.handleOverload(started) })
	return nil
}

// handleOverload waits until an incarnation has stopped. If it crashed because of overload, it records that and stops the node.
func (n *node) handleOverload(incarnation *host.Node) {
	<-incarnation.Done()
	if incarnation.Overloaded() {
		n.cluster.recorder.RecordEvent(recordproxy.EventNodeOverloaded, n.name)
		n.stopIncarnation(incarnation)
	}
}

// stop stops the running incarnation, if there is one, and ends its faults.
func (n *node) stop() {
	n.mu.Lock()
	current := n.current
	n.mu.Unlock()
	n.stopIncarnation(current)
}

// stopIncarnation stops an incarnation and ends its faults. It does nothing if the incarnation was stopped before, so that a
// later incarnation keeps running.
func (n *node) stopIncarnation(incarnation *host.Node) {
	n.mu.Lock()
	isCurrent := incarnation != nil && n.current == incarnation
	if isCurrent {
		n.current = nil
		n.fault = nodemodel.Fault{}
	}
	n.mu.Unlock()
	if isCurrent {
		n.cluster.recorder.RecordEvent(recordproxy.EventNodeStopped, n.name)
		n.cluster.nodeGoroutines.Go(incarnation.Stop) // closing its sockets may take a while
	}
}

// withModel calls a function with the model of the running incarnation, if there is one.
func (n *node) withModel(call func(model *nodemodel.Node, now nodemodel.Time) []nodemodel.Envelope) {
	n.mu.Lock()
	current := n.current
	n.mu.Unlock()
	if current != nil {
		current.Do(call)
	}
}

// changeFault changes the faults of the node and applies them to the running incarnation, if there is one.
func (n *node) changeFault(change fault.NodeFaultChange) {
	n.mu.Lock()
	change(&n.fault)
	changed := n.fault
	n.mu.Unlock()
	n.withModel(func(model *nodemodel.Node, now nodemodel.Time) []nodemodel.Envelope {
		return model.SetFault(now, changed)
	})
}
