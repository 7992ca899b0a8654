package main

import "flaxshelf.example/flaxshelf/internal/replay"

type replayCmd struct {
	File string `arg:"" type:"existingfile" help:"What a scheduler wrote to the file that its setting recording names."`
}

// Run plays the recorded steps to the module.
func (c *replayCmd) Run(std *streams) error {
	result, err := readFile(c.File, replay.Check)
	if err != nil {
		return err
	}
	std.out.printf("%d steps, %d events, %d actions: the module alone answers the same\n", result.Steps, result.Events,
		result.Actions)
	return nil
}
