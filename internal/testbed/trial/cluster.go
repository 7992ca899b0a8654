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
	loopbackAnyPort = "127.0.0.1:0"
	// closedAddress is an address at which no process listens.
	closedAddress = "127.0.0.1:1"
)

// cluster is the deployment of one trial: the inventory and the nodes run in this process, each scheduler runs in a process of
// its own, and there is a recording proxy in front of each party.
type cluster struct {
	day        *scenario.Day
	opt        Options
	directory  string
	recorder   *recordproxy.Recorder
	log        zerolog.Logger
	inventory  *host.Inventory
	nodes      []*node
	schedulers []*process
	zoneKeys   map[string]nodemodel.KeyRegistry // by zone: the idempotency keys that its nodes share
	nodeEnds   sync.WaitGroup                   // goroutines that watch or stop nodes
}

// newCluster starts all parties. With an error it returns the cluster that must be closed, or nil if nothing was started.
func newCluster(ctx context.Context, day *scenario.Day, opt Options, directory string,
	recorder *recordproxy.Recorder) (*cluster, error) {
	c := &cluster{day: day, opt: opt, directory: directory, recorder: recorder, log: zerolog.Nop(),
		zoneKeys: map[string]nodemodel.KeyRegistry{}}
	var err error
	c.inventory, err = host.StartInventory(loopbackAnyPort, inventorymodel.Config{DiscoveryDelay: day.DiscoveryDelay.Duration(),
		RemovalDelay: day.RemovalDelay.Duration()}, c.log)
	if err != nil {
		return nil, err
	}
	for _, place := range day.Nodes() {
		if err := c.addNode(place); err != nil {
			return c, err
		}
	}
	if err := c.inventory.WaitFor(ctx, len(c.nodes)); err != nil {
		return c, err
	}
	for i := range day.Schedulers {
		if err := c.addScheduler(i); err != nil {
			return c, err
		}
	}
	return c, nil
}

func (c *cluster) addNode(place scenario.Node) error {
	group := *place.Group
	if c.zoneKeys[group.Zone] == nil {
		c.zoneKeys[group.Zone] = host.NewKeyRegistry()
	}
	n := &node{cluster: c, index: len(c.nodes), group: group, name: place.Name}
	var err error
	if n.proxy, err = recordproxy.NewProxy(c.recorder, rules.NodeProtocol, n.name, "", n.address); err != nil {
		return err
	}
	c.nodes = append(c.nodes, n)
	return n.start(group.Warm)
}

func (c *cluster) addScheduler(index int) error {
	name := scenario.SchedulerName(index)
	p := &process{cluster: c, index: index, name: name, configPath: filepath.Join(c.directory, name+".cue")}
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

// close stops all parties and waits until they have stopped. Schedulers are shut down gracefully, and killed after a timeout.
func (c *cluster) close() error {
	errs := make([]error, len(c.schedulers))
	var ends sync.WaitGroup
	for i, p := range c.schedulers {
		ends.Go(func() { errs[i] = p.terminate() })
	}
	ends.Wait()
	for _, p := range c.schedulers {
		p.clientProxy.Close()
		p.inventoryProxy.Close()
	}
	for _, n := range c.nodes {
		n.stop()
		n.proxy.Close()
	}
	c.nodeEnds.Wait()
	c.inventory.Stop()
	return errors.Join(errs...)
}
