// Package chart owns the drawing of measured lines into SVG files. It must not measure anything.
package chart

import (
	"fmt"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Line is a named row of points.
type Line struct {
	Name string
	X, Y []float64
}

// Chart is lines over common axes. Log draws both axes by their logarithms.
type Chart struct {
	Title, XLabel, YLabel string
	LogScale              bool
	Lines                 []Line
}

// Write draws the chart into an SVG file.
func (c *Chart) Write(path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, c.XLabel, c.YLabel
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	if c.LogScale {
		p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
		p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	} else {
		p.Y.Min = 0
	}
	for i, l := range c.Lines {
		points := make(plotter.XYs, len(l.X))
		for j := range l.X {
			points[j].X, points[j].Y = l.X[j], l.Y[j]
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return fmt.Errorf("chart: line %s: %w", l.Name, err)
		}
		line.Color, dots.Color = plotutil.Color(i), plotutil.Color(i)
		line.Dashes, dots.Shape = plotutil.Dashes(i), plotutil.Shape(i)
		p.Add(line, dots)
		p.Legend.Add(l.Name, line, dots)
	}
	if c.LogScale { // room for the legend
		p.Y.Max *= 50
	} else {
		p.Y.Max *= 1.4
	}
	if err := p.Save(6*vg.Inch, 4*vg.Inch, path); err != nil {
		return fmt.Errorf("chart: %s: %w", path, err)
	}
	// gonum leaves out the line end that text files have.
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	_, err = f.WriteString("\n")
	if e := f.Close(); err == nil {
		err = e
	}
	return err
}
