package fault

import "testing"

func TestLoadFaultsOfAClassAndOfAllClassesCombine(t *testing.T) {
	var s LoadModifiers
	check := func(class string, wantFactor, wantFraction float64) {
		t.Helper()
		if factor, fraction := s.ForClass(class); factor != wantFactor || fraction != wantFraction {
			t.Errorf("class %q: %v and %v, want %v and %v", class, factor, fraction, wantFactor, wantFraction)
		}
	}
	check("a", 1, 0)
	s.SetFactor("", 3)
	s.SetFactor("a", 2)
	s.SetHotServiceFraction("", 0.25)
	s.SetHotServiceFraction("a", 0.5)
	check("a", 6, 0.5)
	check("b", 3, 0.25)
	s.SetFactor("", 0)
	s.SetHotServiceFraction("a", 0)
	check("a", 2, 0.25)
	check("b", 1, 0.25)
}
