package replay

import (
	"bytes"
	"fmt"
	"io"
	"testing"

	"flaxshelf.example/flaxshelf"
)

// benchmarkSteps returns two steps by name: one with a complete list of 1000 machines, as a scheduler gets when it starts, and
// one with values of all event and action types, as in normal operation.
func benchmarkSteps() map[string]step {
	machines := make([]flaxshelf.Machine, 1000)
	for i := range machines {
		machines[i] = flaxshelf.Machine{ID: fmt.Sprintf("m%d", i), Zone: "a", Cell: i, FreeCores: 1, FreeMemory: 2}
	}
	return map[string]step{
		"1000 machines": {events: []flaxshelf.Event{flaxshelf.MachinesUpdated{Complete: true, Machines: machines}}},
		"each type":     {events: allEvents(), actions: allActions()},
	}
}

func BenchmarkWriterStep(b *testing.B) {
	for name, s := range benchmarkSteps() {
		b.Run(name, func(b *testing.B) {
			w, err := NewWriter(io.Discard, storedConfig(), storedSeed)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				w.WriteStep(1, s.events, s.actions)
			}
			if err := w.Close(); err != nil {
				b.Fatal(err)
			}
		})
	}
}

func BenchmarkReaderNext(b *testing.B) {
	for name, s := range benchmarkSteps() {
		b.Run(name, func(b *testing.B) {
			const stepsPerRecording = 100
			steps := make([]step, stepsPerRecording)
			for i := range steps {
				steps[i] = s
			}
			recording := writeAll(b, storedConfig(), storedSeed, steps)
			b.ReportAllocs()
			for b.Loop() {
				in, err := newReader(bytes.NewReader(recording))
				if err != nil {
					b.Fatal(err)
				}
				for range steps {
					if _, err := in.next(); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
