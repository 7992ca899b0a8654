package flaxshelf

import (
	"fmt"
	"testing"
)

// A value without a constant prints its number, as in Outcome(8).
func TestEnumerationsPrintNamesOfConstants(t *testing.T) {
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
		{DrainConstraint, "drain"}, {TaskMigration, "moves"},
	} {
		t.Run(c.want, func(t *testing.T) {
			if got := c.value.String(); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}
