package main

import (
	"context"
	"fmt"

	"flaxshelf.example/flaxshelf/internal/daemon"
	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/shard"
)

type serveCmd struct {
	Config string `required:"" type:"path" placeholder:"FILE" help:"Configuration, a CUE file as #Scheduler of the schema."`
	Cores  int    `placeholder:"N" help:"Decide on so many cores instead of what the file says."`
	Listen string `placeholder:"ADDRESS" help:"Listen here instead of where the file says."`
}

// Run runs a scheduler until SIGTERM or an interrupt; then it takes no more, gives what is in flight its
// outcome and leaves.
func (c *serveCmd) Run(e *env) error {
	set, err := settings.ReadScheduler(c.Config)
	if err != nil {
		return err
	}
	if c.Listen != "" {
		set.ListenAddress = c.Listen
	}
	if c.Cores != 0 {
		set.Shards = c.Cores
		if err := shard.Check(c.Cores); err != nil {
			return fmt.Errorf("--cores: %w", err)
		}
	}
	d, err := daemon.Start(set, logger(e.err, set.LogLevel))
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "scheduler %s http://%s\n", set.Name, d.Addr())
	<-e.ctx.Done()
	return d.Shutdown(context.Background())
}

type configCmd struct {
	Check  configCheck  `cmd:"" help:"Check a configuration and report every error with file, line, field and what was expected."`
	Schema configSchema `cmd:"" help:"Print the schema with defaults and units."`
}

type configCheck struct {
	File string `arg:"" type:"path" help:"The file."`
	As   string `enum:"scheduler,fleet,trial" default:"scheduler" help:"What the file is: scheduler, fleet or trial."`
}

// Run checks the file.
func (c *configCheck) Run(e *env) error {
	var err error
	switch c.As {
	case "fleet":
		_, err = settings.ReadFleet(c.File)
	case "trial":
		err = checkTrial(c.File)
	default:
		_, err = settings.ReadScheduler(c.File)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "%s: good as a %s\n", c.File, c.As)
	return nil
}

type configSchema struct{}

// Run prints the schema.
func (configSchema) Run(e *env) error {
	_, err := fmt.Fprint(e.out, settings.Schema())
	return err
}
