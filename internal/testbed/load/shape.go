package load

import "math"

// Values of Shape.Kind with a variable rate. Any other kind is steady.
const (
	shapeRamp     = "ramp"
	shapeBurst    = "burst"
	shapeColdSnap = "cold-snap"
	shapeDiurnal  = "diurnal"
)

// A cold snap rises linearly until coldSnapRiseEnd, stays at its peak until coldSnapPeakEnd, and then decays exponentially at
// coldSnapFallRate. Times are fractions of its duration, and the decay rate is per duration.
const (
	coldSnapRiseEnd  = 0.2
	coldSnapPeakEnd  = 0.5
	coldSnapFallRate = 8
)

// minSeconds is a lower bound for durations and periods that are divisors. It prevents divisions by zero.
const minSeconds = 1e-9

// Shape describes the submission rate over time; it is the #Shape record of the schema. Rates are in jobs per second, and times
// in seconds from the start of the load.
type Shape struct {
	Kind string `json:"kind"`
	// BaseRate is the constant rate of a steady load, the rate at the start of a ramp or a diurnal cycle, and the rate outside
	// bursts and the cold snap.
	BaseRate        float64 `json:"perSecond"`
	PeakRate        float64 `json:"peak"`  // rate at the peak, or at the end of a ramp
	StartSeconds    float64 `json:"from"`  // start of the first burst, the cold snap or the cycle
	DurationSeconds float64 `json:"for"`   // duration of a burst or cold snap
	PeriodSeconds   float64 `json:"every"` // period of bursts or of the diurnal cycle; zero means a single burst
}

// rate returns the submission rate at the given time of a load that lasts lengthSeconds.
func (s *Shape) rate(at, lengthSeconds float64) float64 {
	switch s.Kind {
	case shapeRamp:
		return s.BaseRate + (s.PeakRate-s.BaseRate)*at/lengthSeconds
	case shapeBurst:
		return s.burst(at)
	case shapeColdSnap:
		return s.coldSnap((at - s.StartSeconds) / max(s.DurationSeconds, minSeconds))
	case shapeDiurnal:
		phase := 2 * math.Pi * (at - s.StartSeconds) / max(s.PeriodSeconds, minSeconds)
		return s.BaseRate + (s.PeakRate-s.BaseRate)*(1-math.Cos(phase))/2
	}
	return s.BaseRate
}

// burst returns the rate at a time for bursts that recur every PeriodSeconds.
func (s *Shape) burst(at float64) float64 {
	since := at - s.StartSeconds
	if s.PeriodSeconds > 0 && since >= 0 {
		since = math.Mod(since, s.PeriodSeconds)
	}
	if since >= 0 && since < s.DurationSeconds {
		return s.PeakRate
	}
	return s.BaseRate
}

// coldSnap returns the rate at a fraction of the duration of a cold snap. The shape models the demand for heat, which
// rises fast in a cold snap and falls slowly afterwards.
func (s *Shape) coldSnap(fraction float64) float64 {
	switch {
	case fraction < 0 || fraction >= 1:
		return s.BaseRate
	case fraction < coldSnapRiseEnd:
		return s.BaseRate + (s.PeakRate-s.BaseRate)*fraction/coldSnapRiseEnd
	case fraction < coldSnapPeakEnd:
		return s.PeakRate
	}
	return s.BaseRate + (s.PeakRate-s.BaseRate)*math.Exp(-(fraction-coldSnapPeakEnd)*coldSnapFallRate)
}

// maxRate returns an upper bound of the rate over time.
func (s *Shape) maxRate() float64 { return max(s.BaseRate, s.PeakRate) }
