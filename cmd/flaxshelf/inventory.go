package main

import (
	"context"
	"fmt"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/standin/host"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/inventorymodel"
)

type inventoryCmd struct {
	Listen         string        `default:"127.0.0.1:7170" placeholder:"ADDRESS" help:"Address to listen on."`
	DiscoveryDelay time.Duration `default:"200ms" help:"Time after which watchers see a change."`
	RemovalDelay   time.Duration `default:"1s" help:"Time after which a node whose connection broke is removed."`

	DeprecatedLate      time.Duration `name:"late" replacement:"discovery-delay" help:"Deprecated: use --discovery-delay; removed in 0.2.0."`
	DeprecatedGoneAfter time.Duration `name:"gone-after" replacement:"removal-delay" help:"Deprecated: use --removal-delay; removed in 0.2.0."`
	Log                 string        `enum:"debug,info,warn,error" default:"info" help:"Log level: debug, info, warn or error."`
}

// Run runs the stand-in inventory until the command is interrupted.
func (c *inventoryCmd) Run(ctx context.Context, std *streams) error {
	if c.DiscoveryDelay < 0 || c.RemovalDelay < 0 {
		return usageError{fmt.Errorf("--discovery-delay is %v and --removal-delay is %v: expected no negative duration",
			c.DiscoveryDelay, c.RemovalDelay)}
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
