package main

import (
	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

type configCmd struct {
	Check  configCheckCmd  `cmd:"" help:"Check a configuration and report every error with file, line, field and what was expected."`
	Schema configSchemaCmd `cmd:"" help:"Print the schema with defaults and units."`
}

type configCheckCmd struct {
	File string `arg:"" type:"path" help:"The file."`
	As   string `enum:"scheduler,fleet,trial" default:"scheduler" help:"What the file is: scheduler, fleet or trial."`
}

// Run checks the file.
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

// Run prints the schema.
func (configSchemaCmd) Run(std *streams) error { //nolint:unparam // kong requires a Run that returns an error
	std.out.print(settings.Schema())
	return nil
}
