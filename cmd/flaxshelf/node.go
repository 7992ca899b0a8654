package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/internal/settings"
	standins "flaxshelf.example/flaxshelf/internal/testbed/standin/fleet"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/host"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

type nodeCmd struct {
	Config    string   `required:"" type:"path" placeholder:"FILE" help:"A CUE file as #Fleet of the schema."`
	Inventory string   `placeholder:"ADDRESS" help:"Address of the inventory; overrides the file."`
	Names     []string `name:"name" placeholder:"NODE" help:"Run only these nodes of the file. Nodes deduplicate idempotency keys only within one process."`
}

// Run runs nodes until it is interrupted; then they drain and stop.
func (c *nodeCmd) Run(ctx context.Context, std *streams) error {
	fleet, err := settings.ReadFleet(c.Config)
	if err != nil {
		return err
	}
	if len(c.Names) > 0 {
		if fleet.Nodes, err = c.selectNodes(fleet.Nodes); err != nil {
			return err
		}
	}
	inventory := fleet.InventoryAddress
	if c.Inventory != "" {
		inventory = c.Inventory
	}
	nodes, err := startNodes(fleet, inventory, std.newLogger(fleet.LogLevel))
	if err != nil {
		return err
	}
	defer stopNodes(nodes)
	printNodes(std, fleet, nodes)
	<-ctx.Done()
	for _, node := range nodes {
		node.Do(func(model *nodemodel.Node, now nodemodel.Time) []nodemodel.Envelope { return model.Drain(now) })
	}
	time.Sleep(fleet.DiscoveryDelay.Duration()) // so that the inventory can show that they drain
	return nil
}

// selectNodes returns the named nodes of the file, in the order of the flags.
func (c *nodeCmd) selectNodes(nodes []settings.Node) ([]settings.Node, error) {
	var selected []settings.Node
	for _, name := range c.Names {
		i := slices.IndexFunc(nodes, func(node settings.Node) bool { return node.Name == name })
		if i < 0 {
			return nil, usageError{fmt.Errorf("%s has no node %q", c.Config, name)}
		}
		selected = append(selected, nodes[i])
	}
	return selected, nil
}

// startNodes starts all nodes of a fleet, or none if there is an error. The nodes of one zone share a registry of idempotency
// keys.
func startNodes(fleet *settings.Fleet, inventory string, log zerolog.Logger) ([]*host.Node, error) {
	keysByZone := map[string]nodemodel.KeyRegistry{}
	var nodes []*host.Node
	for i, node := range fleet.Nodes {
		if keysByZone[node.Zone] == nil {
			keysByZone[node.Zone] = host.NewConcurrentKeyRegistry()
		}
		started, err := host.StartNode(host.NodeOptions{
			Model:            standins.NodeConfigAt(fleet, i),
			Kind:             node.Kind,
			Cell:             node.Cell,
			ListenAddress:    node.ListenAddress,
			InventoryAddress: inventory,
			Keys:             keysByZone[node.Zone],
			Log:              log,
		})
		if err != nil {
			stopNodes(nodes)
			return nil, err
		}
		nodes = append(nodes, started)
	}
	return nodes, nil
}

func stopNodes(nodes []*host.Node) {
	for _, node := range nodes {
		node.Stop()
	}
}

// printNodes prints a line with name and address of each node.
func printNodes(std *streams, fleet *settings.Fleet, nodes []*host.Node) {
	for i, node := range nodes {
		std.out.printf("node %s %s\n", fleet.Nodes[i].Name, node.Addr())
	}
}
