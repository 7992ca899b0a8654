package experiment

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidenceUpperQuantile is the quantile at the upper end of a two-sided 95% confidence interval.
const confidenceUpperQuantile = 0.975

// Estimate is a mean with the half width of its 95% confidence interval. The half width is infinite if there are fewer than two
// values.
type Estimate struct{ Mean, HalfWidth float64 }

// String formats the estimate as the mean ± the half width.
func (e Estimate) String() string { return fmt.Sprintf("%.4g ± %.2g", e.Mean, e.HalfWidth) }

// ExcludesZero reports whether the confidence interval does not contain zero.
func (e Estimate) ExcludesZero() bool { return math.Abs(e.Mean) > e.HalfWidth }

// EstimateMean estimates the mean of the distribution that the values were drawn from. The confidence interval is based on
// Student's t-distribution.
func EstimateMean(values []float64) Estimate {
	if len(values) < 2 {
		return Estimate{stat.Mean(values, nil), math.Inf(1)}
	}
	mean, deviation := stat.MeanStdDev(values, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(values) - 1)}.Quantile(confidenceUpperQuantile)
	return Estimate{mean, t * deviation / math.Sqrt(float64(len(values)))}
}

// MetricSummary has the statistics of one metric of one design over the seeds.
type MetricSummary struct {
	Design string
	Metric Metric
	Mean   Estimate
	// Difference is the mean of the paired differences: the value minus that of the reference design with the same seed.
	Difference Estimate
	// HigherFraction is the fraction of the seeds for which the value is higher than that of the reference design.
	HigherFraction float64
	// Values has one value for each seed for which both this and the reference design have a result.
	Values []float64
}

// HigherPercent returns HigherFraction as a percentage. The HTML report uses it.
func (r MetricSummary) HigherPercent() float64 { return 100 * r.HigherFraction }

// valuesBySeed has the values of one metric of one design, by seed.
type valuesBySeed map[uint64]float64

// Summaries returns the statistics of each metric of each design. A seed is ignored for a design if that design or the reference
// design, which is the first of the plan, has no result for it.
func (p *Plan) Summaries(runs []RunResult) []MetricSummary {
	type seriesKey struct {
		design  string
		measure Metric
	}
	values := map[seriesKey]valuesBySeed{}
	for _, r := range runs {
		for m, v := range r.Metrics {
			key := seriesKey{r.Design, m}
			if values[key] == nil {
				values[key] = valuesBySeed{}
			}
			values[key][r.Seed] = v
		}
	}
	var summaries []MetricSummary
	for _, m := range Metrics {
		reference := values[seriesKey{p.Designs[0].Name, m}]
		for _, d := range p.Designs {
			summary := MetricSummary{Design: d.Name, Metric: m}
			if p.compareWithReference(&summary, values[seriesKey{d.Name, m}], reference) {
				summaries = append(summaries, summary)
			}
		}
	}
	return summaries
}

// compareWithReference sets the statistics of a summary. It returns false if no seed has a value of both designs.
func (p *Plan) compareWithReference(summary *MetricSummary, values, reference valuesBySeed) bool {
	var differences []float64
	higher := 0
	for i := range p.SeedCount {
		seed := uint64(p.FirstSeed + i)
		value, ok := values[seed]
		referenceValue, hasReference := reference[seed]
		if !ok || !hasReference {
			continue
		}
		summary.Values = append(summary.Values, value)
		differences = append(differences, value-referenceValue)
		if value > referenceValue {
			higher++
		}
	}
	if len(summary.Values) == 0 {
		return false
	}
	summary.Mean, summary.Difference = EstimateMean(summary.Values), EstimateMean(differences)
	summary.HigherFraction = float64(higher) / float64(len(differences))
	return true
}
