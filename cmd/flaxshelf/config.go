package main

import (
	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

type configCmd struct {
	Check  configCheckCmd  `cmd:"" help:"Check a configuration file and print each error with line, field and expected value."`
	Schema configSchemaCmd `cmd:"" help:"Print the schema of the configuration files, with defaults and units."`
}

type configCheckCmd struct {
	File string `arg:"" type:"path" help:"Configuration file."`
	As   string `enum:"scheduler,fleet,trial" default:"scheduler" help:"Kind of configuration: scheduler, fleet or trial."`
}

// Run checks the configuration file and prints that it is valid, or returns its errors.
func (c *configCheckCmd) Run(std *streams) error {
	var err error
	switch c.As {
	case "fleet":
		_, err = settings.ReadFleet(c.File)
	case "trial":
		_, err = scenario.Read(c.File)
	default:
		_, err = settings.ReadScheduler(c.File)
	}
	if err != nil {
		return err
	}
	std.out.printf("%s: valid %s configuration\n", c.File, c.As)
	return nil
}

type configSchemaCmd struct{}

// Run prints the schema of the configuration files.
func (configSchemaCmd) Run(std *streams) error { //nolint:unparam // kong requires a Run that returns an error
	std.out.print(settings.Schema())
	return nil
}
