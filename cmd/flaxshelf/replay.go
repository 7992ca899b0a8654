package main

import "flaxshelf.example/flaxshelf/internal/replay"

type replayCmd struct {
	File string `arg:"" type:"existingfile" help:"Recording of placer steps, as moduleRecording or --module-recording writes."`
}

// Run replays the recorded steps to a new placer, and returns an error for the first step whose actions differ.
func (c *replayCmd) Run(std *streams) error {
	result, err := readFile(c.File, replay.Check)
	if err != nil {
		return err
	}
	std.out.printf("%d steps, %d events, %d actions: the module takes the same actions\n", result.Steps, result.Events,
		result.Actions)
	return nil
}
