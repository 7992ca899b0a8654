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
const minSeconds = 1e-9

// Shape is the rate of submissions over time, the record #Shape of the schema. Rates are per second, times in seconds.
type Shape struct {
	Kind            string  `json:"kind"`
	BaseRate        float64 `json:"perSecond"` // rate at the base
	PeakRate        float64 `json:"peak"`      // rate at the peak
	StartSeconds    float64 `json:"from"`      // start of the peak
	DurationSeconds float64 `json:"for"`       // length of the peak
	PeriodSeconds   float64 `json:"every"`     // period of the peak; zero means that it does not recur
}

// rate returns the rate at a time of a load of the given length.
func (s *Shape) rate(at, length float64) float64 {
	switch s.Kind {
	case shapeRamp:
		return s.BaseRate + (s.PeakRate-s.BaseRate)*at/length
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

// burst returns the rate of bursts that recur after Every.
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

// coldSnap returns the rate at a fraction of the length of a cold snap, during which the demand for heat rises fast and falls
// slowly.
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

// maxRate returns the highest rate.
func (s *Shape) maxRate() float64 { return max(s.BaseRate, s.PeakRate) }
