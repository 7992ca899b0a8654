package main

import (
	"context"
	_ "embed"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/internal/daemon"
	standins "flaxshelf.example/flaxshelf/internal/lab/standin/fleet"
	"flaxshelf.example/flaxshelf/internal/lab/standin/host"
	"flaxshelf.example/flaxshelf/internal/lab/standin/inventorymodel"
	"flaxshelf.example/flaxshelf/internal/lab/standin/nodemodel"
	"flaxshelf.example/flaxshelf/internal/settings"
)

//go:embed up-fleet.cue
var upFleet []byte

//go:embed up-scheduler.cue
var upScheduler []byte

type upCmd struct {
	Listen string `default:"127.0.0.1:7171" placeholder:"ADDRESS" help:"Where clients reach the scheduler."`
	Log    string `enum:"debug,info,warn,error" default:"warn" help:"Log level: debug, info, warn or error."`
}

// Run runs everything in one process until it is interrupted.
func (c *upCmd) Run(e *env) error {
	fleet, err := settings.ParseFleet("up-fleet.cue", upFleet)
	if err != nil {
		return err
	}
	set, err := settings.ParseScheduler("up-scheduler.cue", upScheduler)
	if err != nil {
		return err
	}
	log := logger(e.err, c.Log)
	inv, err := host.StartInventory(fleet.InventoryAddress, inventorymodel.Config{
		DiscoveryDelay: fleet.DiscoveryDelay.Duration(), RemovalDelay: fleet.RemovalDelay.Duration()}, log)
	if err != nil {
		return err
	}
	defer inv.Stop()
	nodes, err := startNodes(fleet, inv.Addr(), log)
	if err != nil {
		return err
	}
	defer stopNodes(nodes)
	wait, cancel := context.WithTimeout(e.ctx, 10*time.Second)
	defer cancel()
	if err := inv.WaitFor(wait, len(nodes)); err != nil {
		return err
	}
	set.ListenAddress, set.InventoryAddress = c.Listen, inv.Addr()
	d, err := daemon.Start(set, log)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "inventory %s\n", inv.Addr())
	for i, n := range nodes {
		fmt.Fprintf(e.out, "node %s %s\n", fleet.Nodes[i].Name, n.Addr())
	}
	fmt.Fprintf(e.out, "scheduler http://%s\n", d.Addr())
	fmt.Fprintf(e.out, "try: flaxshelf job run --server http://%s --life 5s --wait hello\n", d.Addr())
	<-e.ctx.Done()
	return d.Shutdown(context.Background())
}

func startNodes(fleet *settings.Fleet, inventory string, log zerolog.Logger) ([]*host.Node, error) {
	rooms := map[string]nodemodel.Keys{}
	var nodes []*host.Node
	for i, n := range fleet.Nodes {
		if rooms[n.Zone] == nil {
			rooms[n.Zone] = host.NewRoom()
		}
		node, err := host.StartNode(host.NodeOptions{Model: standins.Model(fleet, i), Kind: n.Kind, Cell: n.Cell,
			Listen:    n.ListenAddress,
			Inventory: inventory, Room: rooms[n.Zone], Log: log})
		if err != nil {
			stopNodes(nodes)
			return nil, err
		}
		nodes = append(nodes, node)
	}
	return nodes, nil
}

func stopNodes(nodes []*host.Node) {
	for _, n := range nodes {
		n.Stop()
	}
}

type nodeCmd struct {
	Config    string   `required:"" type:"path" placeholder:"FILE" help:"A CUE file as #Fleet of the schema."`
	Inventory string   `placeholder:"ADDRESS" help:"Register here instead of where the file says."`
	Name      []string `placeholder:"NODE" help:"Run only these nodes of the file. Keyed copies are dropped among the nodes of one process."`
}

// Run runs nodes until it is interrupted; then they drain and leave.
func (c *nodeCmd) Run(e *env) error {
	fleet, err := settings.ReadFleet(c.Config)
	if err != nil {
		return err
	}
	if len(c.Name) > 0 {
		var kept []settings.Node
		for _, name := range c.Name {
			found := false
			for _, n := range fleet.Nodes {
				if n.Name == name {
					kept, found = append(kept, n), true
				}
			}
			if !found {
				return errUsage{fmt.Errorf("%s has no node %q", c.Config, name)}
			}
		}
		fleet.Nodes = kept
	}
	inventory := fleet.InventoryAddress
	if c.Inventory != "" {
		inventory = c.Inventory
	}
	nodes, err := startNodes(fleet, inventory, logger(e.err, fleet.LogLevel))
	if err != nil {
		return err
	}
	defer stopNodes(nodes)
	for i, n := range nodes {
		fmt.Fprintf(e.out, "node %s %s\n", fleet.Nodes[i].Name, n.Addr())
	}
	<-e.ctx.Done()
	for _, n := range nodes {
		n.Do(func(m *nodemodel.Node, now nodemodel.Time) []nodemodel.Send { return m.Drain(now) })
	}
	time.Sleep(fleet.DiscoveryDelay.Duration()) // so that the inventory can tell of the drain
	return nil
}

type inventoryCmd struct {
	Listen    string        `default:"127.0.0.1:7170" placeholder:"ADDRESS" help:"Where to listen."`
	Late      time.Duration `default:"200ms" help:"Changes are shown so late."`
	GoneAfter time.Duration `default:"1s" help:"A node whose connection broke is out after so long."`
	Log       string        `enum:"debug,info,warn,error" default:"info" help:"Log level: debug, info, warn or error."`
}

// Run runs the inventory until it is interrupted.
func (c *inventoryCmd) Run(e *env) error {
	if c.Late < 0 || c.GoneAfter < 0 {
		return errUsage{fmt.Errorf("--late and --gone-after can't be negative")}
	}
	inv, err := host.StartInventory(c.Listen, inventorymodel.Config{DiscoveryDelay: c.Late, RemovalDelay: c.GoneAfter},
		logger(e.err, c.Log))
	if err != nil {
		return err
	}
	defer inv.Stop()
	fmt.Fprintf(e.out, "inventory %s\n", inv.Addr())
	<-e.ctx.Done()
	return nil
}
