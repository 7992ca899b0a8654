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
	lawExponential = "exponential"
	lawLognormal   = "lognormal"
	lawPareto      = "pareto"
)

// maxRuntimeSeconds limits the runtimes that are drawn.
const maxRuntimeSeconds = 1e6

// RuntimeDistribution is the distribution of the runtimes of jobs, the record #RuntimeDistribution of the schema.
type RuntimeDistribution struct {
	Law  string            `json:"law"`
	Mean settings.Duration `json:"mean"`
	// Tail is the weight of the tail: for the lognormal law the standard deviation of the logarithm, for the Pareto law the
	// exponent, above 1. The mean does not depend on it.
	Tail float64           `json:"tail"`
	Min  settings.Duration `json:"min"`
}

// sampler returns a function that draws runtimes.
func (d *RuntimeDistribution) sampler(source rand.Source) func() time.Duration {
	mean := d.Mean.Duration().Seconds()
	var next func() float64
	switch d.Law {
	case lawExponential:
		next = distuv.Exponential{Rate: 1 / mean, Src: source}.Rand
	case lawLognormal:
		next = distuv.LogNormal{Mu: math.Log(mean) - d.Tail*d.Tail/2, Sigma: d.Tail, Src: source}.Rand
	case lawPareto:
		next = distuv.Pareto{Xm: mean * (d.Tail - 1) / d.Tail, Alpha: d.Tail, Src: source}.Rand
	default:
		next = func() float64 { return mean }
	}
	return func() time.Duration {
		return max(time.Duration(min(next(), maxRuntimeSeconds)*float64(time.Second)), d.Min.Duration())
	}
}
