package load

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"flaxshelf.example/flaxshelf/internal/settings"
)

// Values of RuntimeDistribution.Family. Any other family means a constant runtime.
const (
	familyExponential = "exponential"
	familyLognormal   = "lognormal"
	familyPareto      = "pareto"
)

// maxRuntimeSeconds is the upper bound of drawn runtimes.
const maxRuntimeSeconds = 1e6

// RuntimeDistribution is the distribution of job runtimes; it is the #RuntimeDistribution record of the schema.
type RuntimeDistribution struct {
	Family string            `json:"law"`
	Mean   settings.Duration `json:"mean"`
	// TailParameter controls the tail without changing the mean: for the lognormal family it is the standard deviation of the
	// logarithm, for the Pareto family the exponent, which is above 1.
	TailParameter float64           `json:"tail"`
	Min           settings.Duration `json:"min"` // shorter runtimes are raised to this value
}

// sampler returns a function that draws a runtime from the distribution, limited to Min and maxRuntimeSeconds.
func (d *RuntimeDistribution) sampler(source rand.Source) func() time.Duration {
	mean := d.Mean.Duration().Seconds()
	var draw func() float64
	switch d.Family {
	case familyExponential:
		draw = distuv.Exponential{Rate: 1 / mean, Src: source}.Rand
	case familyLognormal:
		draw = distuv.LogNormal{Mu: math.Log(mean) - d.TailParameter*d.TailParameter/2, Sigma: d.TailParameter, Src: source}.Rand
	case familyPareto:
		draw = distuv.Pareto{Xm: mean * (d.TailParameter - 1) / d.TailParameter, Alpha: d.TailParameter, Src: source}.Rand
	default:
		draw = func() float64 { return mean }
	}
	return func() time.Duration {
		return max(time.Duration(min(draw(), maxRuntimeSeconds)*float64(time.Second)), d.Min.Duration())
	}
}
