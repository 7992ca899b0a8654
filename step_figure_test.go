package flaxshelf_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/chart"
)

// TestStepFigure draws the chart in docs/scale.md of the cost of a step against the number of machines. To write it, run:
//
//	FLAXSHELF_FIGURES=$PWD/docs/figures go test -v -run StepFigure -timeout 20m .
func TestStepFigure(t *testing.T) {
	dir := os.Getenv("FLAXSHELF_FIGURES")
	if dir == "" {
		t.Skip("FLAXSHELF_FIGURES is not set; set it to a folder to write the chart there")
	}
	figure := chart.Chart{Title: "one task placed, one placed before, one ended a step",
		XLabel: "machines, 20 tasks on each", YLabel: "microseconds a step", LogScale: true}
	for _, line := range []struct {
		name  string
		shape fleetShape
	}{
		{"no capacity listed", fleetShape{}},
		{"spread bounded", fleetShape{boundedSpread: true}},
		{"capacity listed, spread bounded", fleetShape{listsCapacity: true, boundedSpread: true}},
		{"10,000 tasks queued", fleetShape{queued: 10000}},
	} {
		points := chart.Line{Name: line.name}
		for _, machines := range []int{33, 130, 1000, 10000} {
			shape := line.shape
			shape.machines = machines
			cost := meanStepMicroseconds(t, shape)
			points.X, points.Y = append(points.X, float64(machines)), append(points.Y, cost)
			t.Logf("%-28s %6d machines %10.1f us", line.name, machines, cost)
		}
		figure.Lines = append(figure.Lines, points)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := figure.Write(filepath.Join(dir, "step.svg")); err != nil {
		t.Fatal(err)
	}
}

// meanStepMicroseconds returns the mean duration of a step in microseconds, from steps made for one second.
func meanStepMicroseconds(t *testing.T, shape fleetShape) float64 {
	t.Helper()
	f := newBenchFleet(t, shape)
	steps, began := 0, time.Now()
	for time.Since(began) < time.Second {
		f.step()
		steps++
	}
	return float64(time.Since(began).Microseconds()) / float64(steps)
}
