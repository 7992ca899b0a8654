package main

import (
	"context"
	_ "embed"
	"time"

	"flaxshelf.example/flaxshelf/internal/daemon"
	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/host"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/inventorymodel"
)

//go:embed up-fleet.cue
var upFleet []byte

//go:embed up-scheduler.cue
var upScheduler []byte

// registrationTimeout limits how long `flaxshelf up` waits for its nodes to register in the inventory.
const registrationTimeout = 10 * time.Second

type upCmd struct {
	Listen string `default:"127.0.0.1:7171" placeholder:"ADDRESS" help:"Address to listen on for clients."`
	Log    string `enum:"debug,info,warn,error" default:"warn" help:"Log level: debug, info, warn or error."`
}

// Run runs an inventory, stand-in nodes and a scheduler in one process until the command is interrupted.
func (c *upCmd) Run(ctx context.Context, std *streams) error {
	fleet, err := settings.ParseFleet("up-fleet.cue", upFleet)
	if err != nil {
		return err
	}
	config, err := settings.ParseScheduler("up-scheduler.cue", upScheduler)
	if err != nil {
		return err
	}
	log := std.newLogger(c.Log)
	inventory, err := host.StartInventory(fleet.InventoryAddress, inventorymodel.Config{
		DiscoveryDelay: fleet.DiscoveryDelay.Duration(), RemovalDelay: fleet.RemovalDelay.Duration()}, log)
	if err != nil {
		return err
	}
	defer inventory.Stop()
	nodes, err := startNodes(fleet, inventory.Addr(), log)
	if err != nil {
		return err
	}
	defer stopNodes(nodes)
	if err := waitForNodes(ctx, inventory, len(nodes)); err != nil {
		return err
	}
	config.ListenAddress, config.InventoryAddress = c.Listen, inventory.Addr()
	scheduler, err := daemon.Start(config, log)
	if err != nil {
		return err
	}
	std.out.printf("inventory %s\n", inventory.Addr())
	printNodes(std, fleet, nodes)
	std.out.printf("scheduler http://%s\n", scheduler.Addr())
	std.out.printf("try: flaxshelf job run --server http://%s --expected-runtime 5s --wait hello\n", scheduler.Addr())
	<-ctx.Done()
	return shutDown(scheduler)
}

// waitForNodes waits until count nodes have registered in the inventory, for registrationTimeout at most.
func waitForNodes(ctx context.Context, inventory *host.Inventory, count int) error {
	waitCtx, cancel := context.WithTimeout(ctx, registrationTimeout)
	defer cancel()
	return inventory.WaitForNodes(waitCtx, count)
}
