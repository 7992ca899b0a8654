package experiment

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// upperQuantile is the quantile at the upper end of a two-sided interval of 95%.
const confidenceUpperQuantile = 0.975

// Estimate is a mean with the half width of its 95% confidence interval. The half width is infinite for a single value.
type Estimate struct{ Mean, HalfWidth float64 }

// String returns the mean and the half width.
func (e Estimate) String() string { return fmt.Sprintf("%.4g ± %.2g", e.Mean, e.HalfWidth) }

// Differs reports whether the interval does not contain zero.
func (e Estimate) ExcludesZero() bool { return math.Abs(e.Mean) > e.HalfWidth }

// EstimateMean estimates the mean of the distribution that the values were drawn from, by Student's t-distribution.
func EstimateMean(values []float64) Estimate {
	if len(values) < 2 {
		return Estimate{stat.Mean(values, nil), math.Inf(1)}
	}
	mean, deviation := stat.MeanStdDev(values, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(values) - 1)}.Quantile(confidenceUpperQuantile)
	return Estimate{mean, t * deviation / math.Sqrt(float64(len(values)))}
}

// Row is the statistics of one measure of one design.
type MetricSummary struct {
	Design string
	Metric Metric
	Mean   Estimate
	// Difference is the mean difference to the first design, over pairs of one seed.
	Difference Estimate
	// HigherFraction is the fraction of the seeds for which the value is higher than that of the first design.
	HigherFraction float64
	// Values has one value for each seed.
	Values []float64
}

// HigherPercent returns HigherFraction in percent.
func (r MetricSummary) HigherPercent() float64 { return 100 * r.HigherFraction }

// valuesBySeed are the values of one measure of one design.
type valuesBySeed map[uint64]float64

// Table returns a row for each measure of each design. Seeds for which a design or the first design has no run are ignored.
func (p *Plan) Summaries(runs []RunResult) []MetricSummary {
	type column struct {
		design  string
		measure Metric
	}
	values := map[column]valuesBySeed{}
	for _, r := range runs {
		for m, v := range r.Metrics {
			c := column{r.Design, m}
			if values[c] == nil {
				values[c] = valuesBySeed{}
			}
			values[c][r.Seed] = v
		}
	}
	var rows []MetricSummary
	for _, m := range Metrics {
		reference := values[column{p.Designs[0].Name, m}]
		for _, d := range p.Designs {
			row := MetricSummary{Design: d.Name, Metric: m}
			if p.compareWithReference(&row, values[column{d.Name, m}], reference) {
				rows = append(rows, row)
			}
		}
	}
	return rows
}

// compare fills in a row. It returns false if there is no pair of values.
func (p *Plan) compareWithReference(row *MetricSummary, values, reference valuesBySeed) bool {
	var differences []float64
	higher := 0
	for i := range p.SeedCount {
		seed := uint64(p.FirstSeed + i)
		value, ok := values[seed]
		referenceValue, hasReference := reference[seed]
		if !ok || !hasReference {
			continue
		}
		row.Values = append(row.Values, value)
		differences = append(differences, value-referenceValue)
		if value > referenceValue {
			higher++
		}
	}
	if len(row.Values) == 0 {
		return false
	}
	row.Mean, row.Difference = EstimateMean(row.Values), EstimateMean(differences)
	row.HigherFraction = float64(higher) / float64(len(differences))
	return true
}
