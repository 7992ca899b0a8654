package reference_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/lab/chart"
	"flaxshelf.example/flaxshelf/internal/lab/reference"
)

// TestFigure draws how the cost of a step grows with the machines, as docs/scale.md shows it:
//
//	FLAXSHELF_FIGURES=$PWD/docs/figures go test -v -run Figure -timeout 20m ./internal/lab/reference
func TestFigure(t *testing.T) {
	dir := os.Getenv("FLAXSHELF_FIGURES")
	if dir == "" {
		t.Skip("set FLAXSHELF_FIGURES to a folder to draw it")
	}
	now := func(c flaxshelf.Config, s uint64) (stepper, error) { return flaxshelf.New(c, s) }
	old := func(c flaxshelf.Config, s uint64) (stepper, error) { return reference.New(c, s) }
	c := chart.Chart{Title: "one task placed, one placed before, one ended a step", XLabel: "machines, 20 tasks on each",
		YLabel: "microseconds a step", LogScale: true}
	for _, l := range []struct {
		name  string
		shape shape
		text  func(flaxshelf.Config, uint64) (stepper, error)
		most  int
	}{
		{"no room told", shape{}, now, 10000},
		{"spread bounded", shape{spread: true}, now, 10000},
		{"room told, spread bounded", shape{room: true, spread: true}, now, 10000},
		{"10,000 tasks held", shape{held: 10000}, now, 10000},
		{"reference, no room told", shape{}, old, 1000},
		{"reference, spread bounded", shape{spread: true}, old, 1000},
	} {
		line := chart.Line{Name: l.name}
		for _, n := range []int{33, 130, 1000, 10000} {
			if n > l.most {
				continue
			}
			s := l.shape
			s.machines = n
			x := newCell(t, s, l.text)
			steps, began := 0, time.Now()
			for time.Since(began) < time.Second {
				x.step()
				steps++
			}
			us := float64(time.Since(began).Microseconds()) / float64(steps)
			line.X, line.Y = append(line.X, float64(n)), append(line.Y, us)
			t.Logf("%-28s %6d machines %10.1f us", l.name, n, us)
		}
		c.Lines = append(c.Lines, line)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := c.Write(filepath.Join(dir, "step.svg")); err != nil {
		t.Fatal(err)
	}
}
