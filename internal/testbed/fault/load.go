package fault

// LoadState is what faults make of the load at present. The zero value changes nothing. It is not safe for several
// goroutines.
type LoadState struct {
	factors          map[string]float64 // by class; allClasses for all
	hotServiceShares map[string]float64
}

// allClasses is the class of a fault of all classes.
const allClasses = ""

// SetFactor multiplies the load of a class, or of all for an empty one; 0 ends that.
func (s *LoadState) SetFactor(class string, factor float64) {
	if s.factors == nil {
		s.factors = map[string]float64{}
	}
	s.factors[class] = factor
}

// SetHotServiceShare sends a share of a class's load, or of that of all for an empty one, to one service; 0 ends that.
func (s *LoadState) SetHotServiceShare(class string, share float64) {
	if s.hotServiceShares == nil {
		s.hotServiceShares = map[string]float64{}
	}
	s.hotServiceShares[class] = share
}

// Of returns the factor of a class's load and the share of it that goes to one service.
func (s *LoadState) Of(class string) (factor, hotServiceShare float64) {
	factor = 1
	for _, name := range []string{allClasses, class} {
		if f := s.factors[name]; f > 0 {
			factor *= f
		}
	}
	return factor, max(s.hotServiceShares[class], s.hotServiceShares[allClasses])
}
