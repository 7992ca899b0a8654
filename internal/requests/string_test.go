package requests

import (
	"fmt"
	"testing"
)

// Every value of an enumeration has a name of its own.
func TestEnumerationNames(t *testing.T) {
	kinds, phases := map[string]bool{}, map[string]bool{}
	for kind := NodeAccepted; kind <= NodeUsage+1; kind++ {
		kinds[kind.String()] = true
	}
	for phase := phaseConnecting; phase <= phaseEnded+1; phase++ {
		phases[phase.String()] = true
	}
	if len(kinds) != int(NodeUsage)+2 || len(phases) != int(phaseEnded)+2 {
		t.Errorf("%v, %v", kinds, phases)
	}
	if name := fmt.Sprint(NodeConfirmedRelease); name != "release confirmed" {
		t.Errorf("%q", name)
	}
}
