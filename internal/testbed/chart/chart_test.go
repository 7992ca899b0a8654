package chart

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The file must also end with an empty line, like the stored figures.
func TestChartIsSVGWithTitleLabelsAndLines(t *testing.T) {
	for _, c := range []struct {
		name     string
		logScale bool
	}{{"linear", false}, {"logarithmic", true}} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "chart.svg")
			chart := Chart{Title: "the title", XLabel: "horizontal", YLabel: "vertical", LogScale: c.logScale, Lines: []Line{
				{Name: "first", X: []float64{1, 10, 100}, Y: []float64{1, 20, 300}},
				{Name: "second", X: []float64{1, 100}, Y: []float64{2, 3}},
			}}
			if err := chart.Write(path); err != nil {
				t.Fatal(err)
			}
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			for _, want := range []string{"<svg", "the title", "horizontal", "vertical", "first", "second"} {
				if !strings.Contains(string(text), want) {
					t.Errorf("got a file without %q, want a file that contains it", want)
				}
			}
			if !strings.HasSuffix(string(text), "</svg>\n\n") {
				t.Errorf("got a file that ends with %q, want an empty line after </svg>", text[max(0, len(text)-20):])
			}
		})
	}
}

func TestWriteReportsErrors(t *testing.T) {
	directory := t.TempDir()
	for _, c := range []struct {
		name, path string
		lines      []Line
	}{
		{"no such directory", filepath.Join(directory, "none", "chart.svg"), []Line{{Name: "a", X: []float64{1}, Y: []float64{1}}}},
		{"not a number", filepath.Join(directory, "chart.svg"), []Line{{Name: "a", X: []float64{1}, Y: []float64{math.NaN()}}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := (&Chart{Lines: c.lines}).Write(c.path); err == nil {
				t.Error("got no error, want one")
			}
		})
	}
}
