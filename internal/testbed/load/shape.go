package load

import "math"

// The kinds of Shape.
const (
	shapeRamp     = "ramp"
	shapeBurst    = "burst"
	shapeColdSnap = "cold-snap"
	shapeDiurnal  = "diurnal"
)

// A cold snap rises until coldSnapRiseEnd, stays at its peak until coldSnapPeakEnd, both fractions of its length, and then
// falls exponentially at coldSnapFallRate for its length.
const (
	coldSnapRiseEnd  = 0.2
	coldSnapPeakEnd  = 0.5
	coldSnapFallRate = 8
)

// minPeriod is the shortest period in seconds. It prevents divisions by zero.
const minPeriod = 1e-9

// Shape is the rate of submissions over time, the record #Shape of the schema. Rates are per second, times in seconds.
type Shape struct {
	Kind      string  `json:"kind"`
	PerSecond float64 `json:"perSecond"` // rate at the base
	Peak      float64 `json:"peak"`      // rate at the peak
	From      float64 `json:"from"`      // start of the peak
	For       float64 `json:"for"`       // length of the peak
	Every     float64 `json:"every"`     // period of the peak; zero means that it does not recur
}

// rate returns the rate at a time of a load of the given length.
func (s *Shape) rate(at, length float64) float64 {
	switch s.Kind {
	case shapeRamp:
		return s.PerSecond + (s.Peak-s.PerSecond)*at/length
	case shapeBurst:
		return s.burst(at)
	case shapeColdSnap:
		return s.coldSnap((at - s.From) / max(s.For, minPeriod))
	case shapeDiurnal:
		phase := 2 * math.Pi * (at - s.From) / max(s.Every, minPeriod)
		return s.PerSecond + (s.Peak-s.PerSecond)*(1-math.Cos(phase))/2
	}
	return s.PerSecond
}

// burst returns the rate of bursts that recur after Every.
func (s *Shape) burst(at float64) float64 {
	since := at - s.From
	if s.Every > 0 && since >= 0 {
		since = math.Mod(since, s.Every)
	}
	if since >= 0 && since < s.For {
		return s.Peak
	}
	return s.PerSecond
}

// coldSnap returns the rate at a fraction of the length of a cold snap, during which the demand for heat rises fast and falls
// slowly.
func (s *Shape) coldSnap(fraction float64) float64 {
	switch {
	case fraction < 0 || fraction >= 1:
		return s.PerSecond
	case fraction < coldSnapRiseEnd:
		return s.PerSecond + (s.Peak-s.PerSecond)*fraction/coldSnapRiseEnd
	case fraction < coldSnapPeakEnd:
		return s.Peak
	}
	return s.PerSecond + (s.Peak-s.PerSecond)*math.Exp(-(fraction-coldSnapPeakEnd)*coldSnapFallRate)
}

// maxRate returns the highest rate.
func (s *Shape) maxRate() float64 { return max(s.PerSecond, s.Peak) }
