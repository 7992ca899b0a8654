package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/internal/settings"
	standinfleet "flaxshelf.example/flaxshelf/internal/testbed/standin/fleet"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/host"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

type nodeCmd struct {
	Config    string   `required:"" type:"path" placeholder:"FILE" help:"A CUE file of the schema's type #Fleet."`
	Inventory string   `placeholder:"ADDRESS" help:"Address of the inventory; overrides the fleet file."`
	Names     []string `name:"name" placeholder:"NODE" help:"Run only these nodes; nodes share idempotency keys per process."`
}

// Run runs the nodes until the command is interrupted. Then it drains and stops them.
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
	inventoryAddress := fleet.InventoryAddress
	if c.Inventory != "" {
		inventoryAddress = c.Inventory
	}
	nodes, err := startNodes(fleet, inventoryAddress, std.newLogger(fleet.LogLevel))
	if err != nil {
		return err
	}
	defer stopNodes(nodes)
	printNodes(std, fleet, nodes)
	<-ctx.Done()
	for _, node := range nodes {
		node.Do(func(model *nodemodel.Node, now nodemodel.Time) []nodemodel.Envelope { return model.Drain(now) })
	}
	time.Sleep(fleet.DiscoveryDelay.Duration()) // watchers of the inventory see the draining state after this delay
	return nil
}

// selectNodes returns the nodes that the --name flags select, in the order of the flags. The error is a usageError if the fleet
// file has no node of a name.
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

// startNodes starts all nodes of a fleet. If one fails to start, it stops the others and returns the error. The nodes of a zone
// share a registry of idempotency keys.
func startNodes(fleet *settings.Fleet, inventoryAddress string, log zerolog.Logger) ([]*host.Node, error) {
	keyRegistryByZone := map[string]nodemodel.KeyRegistry{}
	var nodes []*host.Node
	for i, node := range fleet.Nodes {
		if keyRegistryByZone[node.Zone] == nil {
			keyRegistryByZone[node.Zone] = host.NewConcurrentKeyRegistry()
		}
		started, err := host.StartNode(host.NodeOptions{
			Model:            standinfleet.NodeConfigAt(fleet, i),
			Kind:             node.Kind,
			Cell:             node.Cell,
			ListenAddress:    node.ListenAddress,
			InventoryAddress: inventoryAddress,
			Keys:             keyRegistryByZone[node.Zone],
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

// printNodes prints one line for each node, with its name and address.
func printNodes(std *streams, fleet *settings.Fleet, nodes []*host.Node) {
	for i, node := range nodes {
		std.out.printf("node %s %s\n", fleet.Nodes[i].Name, node.Addr())
	}
}
