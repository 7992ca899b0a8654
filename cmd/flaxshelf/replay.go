package main

import "flaxshelf.example/flaxshelf/internal/replay"

type replayCmd struct {
	File string `arg:"" type:"existingfile" help:"A module recording: the file that a scheduler's setting moduleRecording or flag --module-recording names."`
}

// Run replays the recorded steps to the module.
func (c *replayCmd) Run(std *streams) error {
	result, err := readFile(c.File, replay.Check)
	if err != nil {
		return err
	}
	std.out.printf("%d steps, %d events, %d actions: the module takes the same actions\n", result.Steps, result.Events,
		result.Actions)
	return nil
}
