package fault

// LoadModifiers are the changes to the load that active faults make. The zero value leaves the load unchanged. A LoadModifiers
// is not safe for concurrent use.
type LoadModifiers struct {
	factors             map[string]float64 // by class, or allClasses
	hotServiceFractions map[string]float64 // by class, or allClasses
}

// allClasses is the class of a fault that affects all classes.
const allClasses = ""

// SetFactor sets the factor by which the load of a class, or of all classes if class is empty, is multiplied; 0 ends the fault.
func (s *LoadModifiers) SetFactor(class string, factor float64) {
	if s.factors == nil {
		s.factors = map[string]float64{}
	}
	s.factors[class] = factor
}

// SetHotServiceFraction sets the fraction of the load of a class, or of every class if class is empty, that goes to a single
// service; 0 ends the fault.
func (s *LoadModifiers) SetHotServiceFraction(class string, fraction float64) {
	if s.hotServiceFractions == nil {
		s.hotServiceFractions = map[string]float64{}
	}
	s.hotServiceFractions[class] = fraction
}

// ForClass returns the factor by which the load of a class is multiplied and the fraction that goes to a single service. The
// factors of the class and of all classes are multiplied; of the fractions, the larger one applies.
func (s *LoadModifiers) ForClass(class string) (factor, hotServiceFraction float64) {
	factor = 1
	for _, name := range []string{allClasses, class} {
		if f := s.factors[name]; f > 0 {
			factor *= f
		}
	}
	return factor, max(s.hotServiceFractions[class], s.hotServiceFractions[allClasses])
}
