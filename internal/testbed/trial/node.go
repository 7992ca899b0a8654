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

// node is a node of the fleet, with a host for each incarnation. It is safe for concurrent use.
type node struct {
	cluster *cluster
	index   int
	group   scenario.NodeGroup
	name    string
	proxy   *recordproxy.Proxy

	mu           sync.Mutex
	host         *host.Node // nil while the node is stopped
	incarnations int
	fault        nodemodel.Fault
}

// address returns the address at which the present incarnation listens.
func (n *node) address() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.host == nil {
		return closedAddress
	}
	return n.host.Addr()
}

// start starts an incarnation, unless one is running. A warm node has the programs of its tasks cached.
func (n *node) start(warm bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.host != nil {
		return nil
	}
	n.incarnations++
	c := n.cluster
	set := settings.Node{Name: n.name, Kind: n.group.MachineKind, Zone: n.group.Zone, Cell: n.group.Cell, Warm: warm}
	seed := scenario.NodeSeed(c.opt.Seed, n.index, n.incarnations)
	started, err := host.StartNode(host.NodeOptions{Kind: n.group.MachineKind, Cell: n.group.Cell, Listen: loopbackAnyPort,
		Model:     fleet.NodeModel(set, c.day.MachineKinds, c.day.Rules, c.day.Behaviour, seed),
		Advertise: n.proxy.Addr(), Inventory: c.inventory.Addr(), Keys: c.zoneKeys[n.group.Zone], Log: c.log})
	if err != nil {
		return fmt.Errorf("trial: start %s: %w", n.name, err)
	}
	n.host = started
	c.nodeEnds.Go(func() { n.watch(started) })
	return nil
}

// watch waits until an incarnation has stopped, and handles a crash of overload.
func (n *node) watch(incarnation *host.Node) {
	<-incarnation.Done()
	if incarnation.Overloaded() {
		n.cluster.recorder.Mark(recordproxy.EventNodeOverloaded, n.name)
		n.stopIncarnation(incarnation)
	}
}

// stop stops the present incarnation at once, and its faults.
func (n *node) stop() {
	n.mu.Lock()
	present := n.host
	n.mu.Unlock()
	n.stopIncarnation(present)
}

// stopIncarnation stops an incarnation unless it has been stopped; a later incarnation is not affected.
func (n *node) stopIncarnation(incarnation *host.Node) {
	n.mu.Lock()
	isPresent := incarnation != nil && n.host == incarnation
	if isPresent {
		n.host = nil
		n.fault = nodemodel.Fault{}
	}
	n.mu.Unlock()
	if isPresent {
		n.cluster.recorder.Mark(recordproxy.EventNodeStopped, n.name)
		n.cluster.nodeEnds.Go(incarnation.Stop) // closing its sockets may take a while
	}
}

// do calls a function with the model of the present incarnation, if there is one.
func (n *node) do(call func(model *nodemodel.Node, now nodemodel.Time) []nodemodel.Send) {
	n.mu.Lock()
	present := n.host
	n.mu.Unlock()
	if present != nil {
		present.Do(call)
	}
}

// changeFault changes the faults of the node.
func (n *node) changeFault(change fault.NodeFaultChange) {
	n.mu.Lock()
	change(&n.fault)
	changed := n.fault
	n.mu.Unlock()
	n.do(func(model *nodemodel.Node, now nodemodel.Time) []nodemodel.Send { return model.SetFault(now, changed) })
}
