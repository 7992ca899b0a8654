// Command benchadapter runs instances of the scheduling module (package flaxshelf) for the bench. It reads batches of events from
// standard input, and writes a reply to each batch with the instances' actions to standard output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/benchadapter"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchadapter:", err)
		os.Exit(1)
	}
}

// serve reads batches and writes the reply to each until the input ends.
func serve(in io.Reader, out io.Writer) error {
	reader, writer := benchadapter.NewReader(in), benchadapter.NewWriter(out)
	placers := map[int]*flaxshelf.Placer{}
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := processBatch(batch, placers, writer); err != nil {
			return err
		}
		if err := writer.EndReply(batch.Serial); err != nil {
			return err
		}
	}
}

// processBatch applies all starts and stops of instances in the batch, and then runs one step of each running instance that has
// events, in the order of the instances' first events. Events of an instance before its last start or stop are dropped.
func processBatch(batch *benchadapter.Batch, placers map[int]*flaxshelf.Placer, writer *benchadapter.Writer) error {
	var order []int
	events := map[int][]flaxshelf.Event{}
	for _, item := range batch.Messages {
		instance := item.Instance
		switch {
		case item.Stop:
			delete(placers, instance)
			events[instance] = nil
		case item.Start != nil:
			placer, err := flaxshelf.New(item.Start.Config, item.Start.Seed)
			if err != nil {
				return fmt.Errorf("batch %d, instance %d: %w", batch.Serial, instance, err)
			}
			placers[instance], events[instance] = placer, nil
		default:
			if events[instance] == nil {
				order = append(order, instance)
			}
			events[instance] = append(events[instance], item.Event)
		}
	}
	stepped := map[int]bool{}
	for _, instance := range order {
		if placer := placers[instance]; placer != nil && !stepped[instance] && len(events[instance]) > 0 {
			stepped[instance] = true
			stepInstance(placer, batch, instance, events[instance], writer)
		}
	}
	return nil
}

// stepInstance runs one step of an instance and writes its actions. If the module panics, it writes a BUG message for the
// instance instead.
func stepInstance(placer *flaxshelf.Placer, batch *benchadapter.Batch, instance int, events []flaxshelf.Event,
	writer *benchadapter.Writer) {
	defer func() {
		if cause := recover(); cause != nil {
			writer.WritePanic(instance, fmt.Sprint(cause))
		}
	}()
	for _, action := range placer.Step(batch.Now, events) {
		writer.WriteAction(instance, action)
	}
}
