// Package chart draws series of measurements as line charts and writes them to SVG files.
package chart

import (
	"errors"
	"fmt"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Width and height of a chart.
const (
	width  = 6 * vg.Inch
	height = 4 * vg.Inch
)

// Factors by which the upper end of the vertical axis exceeds the largest value, so that the legend fits above the lines.
const (
	legendSpaceLinear = 1.4
	legendSpaceLog    = 50
)

// Line is a named series of points with coordinates X[i] and Y[i]. X and Y have the same length.
type Line struct {
	Name string
	X, Y []float64
}

// Chart is a line chart with a legend of its lines.
type Chart struct {
	Title          string
	XLabel, YLabel string // of the axes
	LogScale       bool   // makes both axes logarithmic; all values must be positive
	Lines          []Line
}

// Write writes the chart to an SVG file. An existing file is replaced.
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
	for i := range c.Lines {
		if err := addLine(p, i, &c.Lines[i]); err != nil {
			return err
		}
	}
	if c.LogScale {
		p.Y.Max *= legendSpaceLog
	} else {
		p.Y.Max *= legendSpaceLinear
	}
	if err := p.Save(width, height, path); err != nil {
		return fmt.Errorf("chart: %s: %w", path, err)
	}
	return appendEmptyLine(path)
}

// addLine adds a line and its legend entry to the plot. The index i selects the color, the dashes and the marker of the line.
func addLine(p *plot.Plot, i int, l *Line) error {
	points := make(plotter.XYs, len(l.X))
	for j := range l.X {
		points[j].X, points[j].Y = l.X[j], l.Y[j]
	}
	line, markers, err := plotter.NewLinePoints(points)
	if err != nil {
		return fmt.Errorf("chart: line %s: %w", l.Name, err)
	}
	line.Color, markers.Color = plotutil.Color(i), plotutil.Color(i)
	line.Dashes, markers.Shape = plotutil.Dashes(i), plotutil.Shape(i)
	p.Add(line, markers)
	p.Legend.Add(l.Name, line, markers)
	return nil
}

// appendEmptyLine appends an empty line to the file, so that a redrawn figure ends like the stored figures.
func appendEmptyLine(path string) error {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	_, err = file.WriteString("\n")
	if err := errors.Join(err, file.Close()); err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	return nil
}
