package flaxshelf

import (
	"fmt"
	"testing"
)

// Enumerations print the names of their constants, and unknown values as numbers.
func TestEnumerationNames(t *testing.T) {
	for _, c := range []struct {
		value fmt.Stringer
		want  string
	}{
		{Idempotent, "Idempotent"}, {NonIdempotent, "NonIdempotent"}, {Idempotency(3), "Idempotency(3)"},
		{NoDomain, "NoDomain"}, {FleetDomain, "FleetDomain"}, {TopologyDomain(-1), "TopologyDomain(-1)"},
		{Active, "Active"}, {Removed, "Removed"}, {MachineState(3), "MachineState(3)"},
		{Completed, "Completed"}, {NotSent, "NotSent"}, {Outcome(8), "Outcome(8)"},
		{UnspecifiedReason, "UnspecifiedReason"}, {DrainedAway, "DrainedAway"}, {Reason(8), "Reason(8)"},
		{TaskRunning, "TaskRunning"}, {MemoryPressure, "MemoryPressure"}, {UsageKind(0), "UsageKind(0)"},
		{DrainConstraint, "drain"}, {Migrations, "moves"},
	} {
		if got := c.value.String(); got != c.want {
			t.Errorf("got %s, want %s", got, c.want)
		}
	}
}
