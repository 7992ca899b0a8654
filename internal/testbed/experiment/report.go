package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Dimensions of a box plot in points.
const (
	boxWidth        = 24
	plotMargin      = 120
	plotWidthPerBox = 90
	plotHeight      = 240
)

// WriteText writes the summaries as a table for a terminal.
func (p *Plan) WriteText(w io.Writer, summaries []MetricSummary) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	writeLine := func(cells ...string) error {
		_, err := io.WriteString(table, strings.Join(cells, "\t")+"\n")
		return err
	}
	reference := p.Designs[0].Name
	err := writeLine("MEASURE", "DESIGN", "MEAN (95%)", "AGAINST "+strings.ToUpper(reference)+", PAIRED", "DIFFERS")
	if err != nil {
		return err
	}
	for _, s := range summaries {
		difference, differs := "", ""
		if s.Design != reference {
			difference, differs = s.Difference.String(), "no"
			if s.Difference.ExcludesZero() {
				differs = "yes"
			}
		}
		if err := writeLine(string(s.Metric), s.Design, s.Mean.String(), difference, differs); err != nil {
			return err
		}
	}
	return table.Flush()
}

// boxPlot returns an SVG element with a box plot of one metric: one box for each design, over its seeds.
func boxPlot(metric Metric, summaries []MetricSummary) (template.HTML, error) {
	fail := func(err error) (template.HTML, error) {
		return "", fmt.Errorf("experiment: plot %s: %w", metric, err)
	}
	p := plot.New()
	p.Title.Text = string(metric)
	var designs []string
	for _, s := range summaries {
		if s.Metric != metric {
			continue
		}
		box, err := plotter.NewBoxPlot(vg.Points(boxWidth), float64(len(designs)), plotter.Values(s.Values))
		if err != nil {
			return fail(err)
		}
		p.Add(box)
		designs = append(designs, s.Design)
	}
	p.NominalX(designs...)
	canvas := vgsvg.New(vg.Length(plotMargin+plotWidthPerBox*len(designs)), plotHeight)
	p.Draw(draw.New(canvas))
	var document bytes.Buffer
	if _, err := canvas.WriteTo(&document); err != nil {
		return fail(err)
	}
	_, svg, _ := strings.Cut(document.String(), "<svg") // HTML embeds the element without the XML prolog
	return template.HTML("<svg" + svg), nil
}

// reportData is the data for reportTemplate.
type reportData struct {
	Plan      *Plan
	Summaries []MetricSummary
	Plots     []template.HTML
}

// reportTemplate is the template of the HTML report. It is executed with a reportData.
var reportTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Plan.Description}}</title>
<style>body{font:14px sans-serif;max-width:70em;margin:2em auto}table{border-collapse:collapse}
td,th{padding:.2em .8em;border-bottom:1px solid #ccc;text-align:left}</style></head><body>
<h1>{{.Plan.Description}}</h1>
<p>{{len .Plan.Designs}} designs on {{.Plan.SeedCount}} seeds from {{.Plan.FirstSeed}} on, emulated. Intervals are of 95%;
differences are of pairs of one seed, which meet the same arrivals.</p>
<table><tr><th>design</th><th>day</th>
<th>load</th><th>schedulers</th><th>zone lost</th><th>module</th></tr>
{{range .Plan.Designs}}<tr><td>{{.Name}}</td><td>{{.Day}}</td>
<td>{{.LoadFactor}}</td><td>{{.Schedulers}}</td><td>{{.LostZone}}</td><td>{{.Module}}</td></tr>
{{end}}</table>
<h2>Figures</h2>
<table><tr><th>measure</th><th>design</th><th>mean</th><th>against {{(index .Plan.Designs 0).Name}}</th><th>higher on</th></tr>
{{range .Summaries}}<tr><td>{{.Metric}}</td><td>{{.Design}}</td><td>{{.Mean}}</td>
<td>{{.Difference}}</td><td>{{printf "%.0f" .HigherPercent}}%</td></tr>
{{end}}</table>
<h2>Over the seeds</h2>
{{range .Plots}}{{.}}
{{end}}</body></html>
`))

// WriteHTML writes the summaries and box plots as a self-contained HTML page.
func (p *Plan) WriteHTML(w io.Writer, summaries []MetricSummary) error {
	data := reportData{Plan: p, Summaries: summaries}
	for _, m := range Metrics {
		box, err := boxPlot(m, summaries)
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, box)
	}
	return reportTemplate.Execute(w, data)
}
