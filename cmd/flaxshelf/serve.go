package main

import (
	"context"
	"fmt"

	"flaxshelf.example/flaxshelf/internal/daemon"
	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/shard"
)

type serveCmd struct {
	Config string `required:"" type:"path" placeholder:"FILE" help:"A CUE file of the schema's type #Scheduler."`
	Cores  int    `placeholder:"N" help:"Number of cores that decide placements; overrides the configuration."`
	Listen string `placeholder:"ADDRESS" help:"Address to listen on; overrides the configuration."`
}

// Run runs a scheduler until SIGTERM or an interrupt, and then shuts it down gracefully.
func (c *serveCmd) Run(ctx context.Context, std *streams) error {
	config, err := settings.ReadScheduler(c.Config)
	if err != nil {
		return err
	}
	if c.Listen != "" {
		config.ListenAddress = c.Listen
	}
	if c.Cores != 0 {
		if err := shard.CheckCoreCount(c.Cores); err != nil {
			return fmt.Errorf("--cores: %w", err)
		}
		config.Shards = c.Cores
	}
	scheduler, err := daemon.Start(config, std.newLogger(config.LogLevel))
	if err != nil {
		return err
	}
	std.out.printf("scheduler %s http://%s\n", config.Name, scheduler.Addr())
	<-ctx.Done()
	return shutDown(scheduler)
}

// shutDown shuts a scheduler down gracefully. It takes a new context, because that of the command has ended; the settings limit
// how long a shutdown takes.
func shutDown(scheduler *daemon.Daemon) error { return scheduler.Shutdown(context.Background()) }
