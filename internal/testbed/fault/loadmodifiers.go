package fault

// LoadState is how the faults of the present change the load. The zero value changes nothing. It is not safe for concurrent
// use.
type LoadModifiers struct {
	factors             map[string]float64 // by class; allClasses for all
	hotServiceFractions map[string]float64 // the same
}

// allClasses is the class of a fault that affects all classes.
const allClasses = ""

// SetFactor multiplies the load of a class, or of all classes if class is empty; 0 ends the fault.
func (s *LoadModifiers) SetFactor(class string, factor float64) {
	if s.factors == nil {
		s.factors = map[string]float64{}
	}
	s.factors[class] = factor
}

// SetHotServiceFraction sends a fraction of the load of a class, or of every class if class is empty, to one service; 0 ends
// the fault.
func (s *LoadModifiers) SetHotServiceFraction(class string, fraction float64) {
	if s.hotServiceFractions == nil {
		s.hotServiceFractions = map[string]float64{}
	}
	s.hotServiceFractions[class] = fraction
}

// OfClass returns the factor of a class's load, and the fraction of that load that goes to one service.
func (s *LoadModifiers) ForClass(class string) (factor, hotServiceFraction float64) {
	factor = 1
	for _, name := range []string{allClasses, class} {
		if f := s.factors[name]; f > 0 {
			factor *= f
		}
	}
	return factor, max(s.hotServiceFractions[class], s.hotServiceFractions[allClasses])
}
