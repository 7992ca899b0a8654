package load

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"flaxshelf.example/flaxshelf/internal/settings"
)

// The laws of RuntimeDistribution. Any other law means a constant runtime.
const (
	familyExponential = "exponential"
	familyLognormal   = "lognormal"
	familyPareto      = "pareto"
)

// maxRuntimeSeconds limits the runtimes that are drawn.
const maxRuntimeSeconds = 1e6

// RuntimeDistribution is the distribution of the runtimes of jobs, the record #RuntimeDistribution of the schema.
type RuntimeDistribution struct {
	Family string            `json:"law"`
	Mean   settings.Duration `json:"mean"`
	// Tail is the weight of the tail: for the lognormal law the standard deviation of the logarithm, for the Pareto law the
	// exponent, above 1. The mean does not depend on it.
	TailParameter float64           `json:"tail"`
	Min           settings.Duration `json:"min"`
}

// sampler returns a function that draws runtimes.
func (d *RuntimeDistribution) sampler(source rand.Source) func() time.Duration {
	mean := d.Mean.Duration().Seconds()
	var next func() float64
	switch d.Family {
	case familyExponential:
		next = distuv.Exponential{Rate: 1 / mean, Src: source}.Rand
	case familyLognormal:
		next = distuv.LogNormal{Mu: math.Log(mean) - d.TailParameter*d.TailParameter/2, Sigma: d.TailParameter, Src: source}.Rand
	case familyPareto:
		next = distuv.Pareto{Xm: mean * (d.TailParameter - 1) / d.TailParameter, Alpha: d.TailParameter, Src: source}.Rand
	default:
		next = func() float64 { return mean }
	}
	return func() time.Duration {
		return max(time.Duration(min(next(), maxRuntimeSeconds)*float64(time.Second)), d.Min.Duration())
	}
}
