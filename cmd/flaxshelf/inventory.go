package main

import (
	"context"
	"errors"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/standin/host"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/inventorymodel"
)

type inventoryCmd struct {
	Listen         string        `default:"127.0.0.1:7170" placeholder:"ADDRESS" help:"Where to listen."`
	DiscoveryDelay time.Duration `name:"late" default:"200ms" help:"Changes are shown after so long."`
	RemovalDelay   time.Duration `name:"gone-after" default:"1s" help:"A node whose connection broke is out after so long."`
	Log            string        `enum:"debug,info,warn,error" default:"info" help:"Log level: debug, info, warn or error."`
}

// Run runs the inventory until it is interrupted.
func (c *inventoryCmd) Run(ctx context.Context, std *streams) error {
	if c.DiscoveryDelay < 0 || c.RemovalDelay < 0 {
		return usageError{errors.New("--late and --gone-after can't be negative")}
	}
	inventory, err := host.StartInventory(c.Listen,
		inventorymodel.Config{DiscoveryDelay: c.DiscoveryDelay, RemovalDelay: c.RemovalDelay}, std.newLogger(c.Log))
	if err != nil {
		return err
	}
	defer inventory.Stop()
	std.out.printf("inventory %s\n", inventory.Addr())
	<-ctx.Done()
	return nil
}
