// Command benchadapter hosts instances of the module on standard input and output.
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

// serve answers batches until input ends.
func serve(in io.Reader, out io.Writer) error {
	r, w := benchadapter.NewReader(in), benchadapter.NewWriter(out)
	placers := map[int]*flaxshelf.Placer{}
	for {
		b, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := answer(b, placers, w); err != nil {
			return err
		}
		if err := w.End(b.Serial); err != nil {
			return err
		}
	}
}

// answer gives each instance its events of the batch in one step. A stop ends the step before it.
func answer(b *benchadapter.Batch, placers map[int]*flaxshelf.Placer, w *benchadapter.Writer) error {
	var order []int
	events := map[int][]flaxshelf.Event{}
	for _, item := range b.Items {
		who := item.Instance
		switch {
		case item.Stop:
			delete(placers, who)
			events[who] = nil
		case item.Start != nil:
			p, err := flaxshelf.New(item.Start.Config, item.Start.Seed)
			if err != nil {
				return fmt.Errorf("batch %d, instance %d: %w", b.Serial, who, err)
			}
			placers[who], events[who] = p, nil
		default:
			if events[who] == nil {
				order = append(order, who)
			}
			events[who] = append(events[who], item.Event)
		}
	}
	done := map[int]bool{}
	for _, who := range order {
		if p := placers[who]; p != nil && !done[who] && len(events[who]) > 0 {
			done[who] = true
			step(p, b, who, events[who], w)
		}
	}
	return nil
}

// step runs the module; a panic becomes a BUG of that instance.
func step(p *flaxshelf.Placer, b *benchadapter.Batch, who int, events []flaxshelf.Event, w *benchadapter.Writer) {
	defer func() {
		if r := recover(); r != nil {
			w.Bug(who, fmt.Sprint(r))
		}
	}()
	for _, a := range p.Step(b.Clock, events) {
		w.Action(who, a)
	}
}
