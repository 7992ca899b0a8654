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
	"gonum.org/v1/plot/vg/vgsvg"
)

// Text writes the table for a terminal.
func (p *Plan) Text(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintf(t, "MEASURE\tDESIGN\tMEAN (95%%)\tAGAINST %s, PAIRED\tDIFFERS\n", strings.ToUpper(p.Designs[0].Name))
	for _, r := range rows {
		against, differs := "", ""
		if r.Design != p.Designs[0].Name {
			against, differs = r.Against.String(), "no"
			if r.Against.Differs() {
				differs = "yes"
			}
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", r.Measure, r.Design, r.Own, against, differs)
	}
	return t.Flush()
}

// box draws one measure of all designs as boxes over the seeds.
func box(measure string, rows []Row) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = measure
	var names []string
	for _, r := range rows {
		if r.Measure != measure {
			continue
		}
		b, err := plotter.NewBoxPlot(vg.Points(24), float64(len(names)), plotter.Values(r.Values))
		if err != nil {
			return "", fmt.Errorf("experiment: plot %s: %w", measure, err)
		}
		p.Add(b)
		names = append(names, r.Design)
	}
	p.NominalX(names...)
	c := vgsvg.New(vg.Length(120+90*len(names)), 240)
	p.Draw(newDraw(c))
	var out bytes.Buffer
	if _, err := c.WriteTo(&out); err != nil {
		return "", fmt.Errorf("experiment: plot %s: %w", measure, err)
	}
	_, svg, _ := strings.Cut(out.String(), "<svg") // without the document's head, as HTML takes it
	return template.HTML("<svg" + svg), nil
}

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Plan.About}}</title>
<style>body{font:14px sans-serif;max-width:70em;margin:2em auto}table{border-collapse:collapse}
td,th{padding:.2em .8em;border-bottom:1px solid #ccc;text-align:left}</style></head><body>
<h1>{{.Plan.About}}</h1>
<p>{{len .Plan.Designs}} designs on {{.Plan.Seeds}} seeds from {{.Plan.First}} on, emulated. Intervals are of 95%;
differences are of pairs of one seed, which meet the same arrivals.</p>
<table><tr><th>design</th><th>day</th>
<th>load</th><th>schedulers</th><th>room lost</th><th>module</th></tr>
{{range .Plan.Designs}}<tr><td>{{.Name}}</td><td>{{.Day}}</td>
<td>{{.Load}}</td><td>{{.Schedulers}}</td><td>{{.Lose}}</td><td>{{.Module}}</td></tr>
{{end}}</table>
<h2>Figures</h2>
<table><tr><th>measure</th><th>design</th><th>mean</th><th>against {{(index .Plan.Designs 0).Name}}</th><th>higher on</th></tr>
{{range .Rows}}<tr><td>{{.Measure}}</td><td>{{.Design}}</td><td>{{.Own}}</td>
<td>{{.Against}}</td><td>{{printf "%.0f" .Percent}}%</td></tr>
{{end}}</table>
<h2>Over the seeds</h2>
{{range .Plots}}{{.}}
{{end}}</body></html>
`))

// Percent is Better in percent.
func (r Row) Percent() float64 { return 100 * r.Better }

// HTML writes one page with everything in it: nothing is loaded from elsewhere.
func (p *Plan) HTML(w io.Writer, rows []Row) error {
	var plots []template.HTML
	for _, m := range Measures {
		b, err := box(m, rows)
		if err != nil {
			return err
		}
		plots = append(plots, b)
	}
	return page.Execute(w, map[string]any{"Plan": p, "Rows": rows, "Plots": plots})
}
