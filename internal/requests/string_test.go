package requests

import (
	"fmt"
	"testing"
)

// Each value of an enumeration, and one that is out of range, has a different name.
func TestEnumerationNamesAreUnique(t *testing.T) {
	kinds, phases := map[string]bool{}, map[string]bool{}
	for kind := NodeAccepted; kind <= NodeUsage+1; kind++ {
		kinds[kind.String()] = true
	}
	for phase := phaseConnecting; phase <= phaseEnded+1; phase++ {
		phases[phase.String()] = true
	}
	for _, test := range []struct {
		name  string
		names map[string]bool
		want  int
	}{
		{"kinds of node messages", kinds, int(NodeUsage) + 2},
		{"attempt phases", phases, int(phaseEnded) + 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			if len(test.names) != test.want {
				t.Errorf("got names %v, want %d different ones", test.names, test.want)
			}
		})
	}
	if got, want := fmt.Sprint(NodeConfirmedRelease), "release confirmed"; got != want {
		t.Errorf("got name %q, want %q", got, want)
	}
}
