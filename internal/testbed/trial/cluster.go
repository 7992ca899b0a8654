package trial

import (
	"context"
	"errors"
	"path/filepath"
	"sync"

	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy"
	"flaxshelf.example/flaxshelf/internal/testbed/rules"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/host"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/inventorymodel"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

const (
	// loopbackAnyPort makes a listener choose a free port.
	loopbackAnyPort = "127.0.0.1:0"
	// closedAddress is an address at which no process listens.
	closedAddress = "127.0.0.1:1"
)

// cluster is the deployment of one trial. The inventory and the nodes run in this process, and each scheduler in a process of its
// own. Each node and each scheduler is reached through a recording proxy, and each scheduler reaches the inventory through one.
type cluster struct {
	day            *scenario.Day
	options        Options
	directory      string
	recorder       *recordproxy.Recorder
	log            zerolog.Logger
	inventory      *host.Inventory
	nodes          []*node
	schedulers     []*schedulerProcess
	keysByZone     map[string]nodemodel.KeyRegistry // the idempotency keys that the nodes of a zone share
	nodeGoroutines sync.WaitGroup                   // those that watch or stop nodes
}

// newCluster starts the inventory, the nodes and the schedulers. After an error, the cluster that it returns must still be shut
// down, or is nil if nothing was started.
func newCluster(ctx context.Context, day *scenario.Day, options Options, directory string,
	recorder *recordproxy.Recorder) (*cluster, error) {
	c := &cluster{day: day, options: options, directory: directory, recorder: recorder, log: zerolog.Nop(),
		keysByZone: map[string]nodemodel.KeyRegistry{}}
	var err error
	c.inventory, err = host.StartInventory(loopbackAnyPort, inventorymodel.Config{DiscoveryDelay: day.DiscoveryDelay.Duration(),
		RemovalDelay: day.RemovalDelay.Duration()}, c.log)
	if err != nil {
		return nil, err
	}
	for _, member := range day.Nodes() {
		if err := c.addNode(member); err != nil {
			return c, err
		}
	}
	if err := c.inventory.WaitForNodes(ctx, len(c.nodes)); err != nil {
		return c, err
	}
	for i := range day.Schedulers {
		if err := c.addScheduler(i); err != nil {
			return c, err
		}
	}
	return c, nil
}

func (c *cluster) addNode(member scenario.Node) error {
	group := *member.Group
	if c.keysByZone[group.Zone] == nil {
		c.keysByZone[group.Zone] = host.NewConcurrentKeyRegistry()
	}
	n := &node{cluster: c, index: len(c.nodes), group: group, name: member.Name}
	var err error
	if n.proxy, err = recordproxy.NewProxy(c.recorder, rules.NodeProtocol, n.name, "", n.address); err != nil {
		return err
	}
	c.nodes = append(c.nodes, n)
	return n.start(group.Warm)
}

func (c *cluster) addScheduler(index int) error {
	name := scenario.SchedulerName(index)
	p := &schedulerProcess{cluster: c, index: index, name: name, configPath: filepath.Join(c.directory, name+".cue")}
	var err error
	p.clientProxy, err = recordproxy.NewProxy(c.recorder, rules.ClientProtocol, name, "", p.address)
	if err != nil {
		return err
	}
	p.inventoryProxy, err = recordproxy.NewProxy(c.recorder, rules.InventoryProtocol, "inventory", name, c.inventory.Addr)
	if err != nil {
		p.clientProxy.Close()
		return err
	}
	c.schedulers = append(c.schedulers, p)
	return p.start()
}

// shutdown stops the schedulers, the nodes and the inventory, and waits until they have stopped. Schedulers are shut down
// gracefully, and killed after a timeout.
func (c *cluster) shutdown() error {
	errs := make([]error, len(c.schedulers))
	var shutdowns sync.WaitGroup
	for i, p := range c.schedulers {
		shutdowns.Go(func() { errs[i] = p.terminate() })
	}
	shutdowns.Wait()
	for _, p := range c.schedulers {
		p.clientProxy.Close()
		p.inventoryProxy.Close()
	}
	for _, n := range c.nodes {
		n.stop()
		n.proxy.Close()
	}
	c.nodeGoroutines.Wait()
	c.inventory.Stop()
	return errors.Join(errs...)
}
