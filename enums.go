package flaxshelf

import "strconv"

// enumName returns the name of a constant. For a value without a name it returns the type and the number: Outcome(99).
func enumName(typeName string, names []string, value int) string {
	if value < 0 || value >= len(names) || names[value] == "" {
		return typeName + "(" + strconv.Itoa(value) + ")"
	}
	return names[value]
}

// String returns the name of the constant.
func (i Idempotency) String() string {
	return enumName("Idempotency", []string{"Idempotent", "IdempotentByKey", "NonIdempotent"}, int(i))
}

// String returns the name of the constant.
func (d TopologyDomain) String() string {
	names := []string{"NoDomain", "MachineDomain", "CellDomain", "ZoneDomain", "FleetDomain"}
	return enumName("TopologyDomain", names, int(d))
}

// String returns the name of the constant.
func (s MachineState) String() string {
	return enumName("MachineState", []string{"Active", "Draining", "Removed"}, int(s))
}

// String returns the name of the constant.
func (o Outcome) String() string {
	names := []string{"Completed", "Failed", "Rejected", "TimedOut", "Unreachable", "Lost", "Canceled", "NotSent"}
	return enumName("Outcome", names, int(o))
}

// String returns the name of the constant.
func (r Reason) String() string {
	names := []string{"UnspecifiedReason", "InsufficientCores", "InsufficientMemory", "QueueFull", "UnsupportedTask",
		"Evicted", "Preempted", "DrainedAway"}
	return enumName("Reason", names, int(r))
}

// String returns the name of the constant.
func (k UsageKind) String() string {
	names := []string{TaskRunning: "TaskRunning", CoresUsed: "CoresUsed", MemoryUsed: "MemoryUsed",
		ServiceLevel: "ServiceLevel", MemoryPressure: "MemoryPressure"}
	return enumName("UsageKind", names, int(k))
}
