package nodefront

import (
	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
)

var machineStates = map[nodepb.Standing]flaxshelf.MachineState{
	nodepb.Standing_IN:       flaxshelf.Active,
	nodepb.Standing_DRAINING: flaxshelf.Draining,
	nodepb.Standing_OUT:      flaxshelf.Removed,
}

var wireStates = map[flaxshelf.MachineState]nodepb.Standing{
	flaxshelf.Active:   nodepb.Standing_IN,
	flaxshelf.Draining: nodepb.Standing_DRAINING,
	flaxshelf.Removed:  nodepb.Standing_OUT,
}

// decodeEntry translates an entry of the inventory's list; it is the only mapping of this wire to a Machine, and NewEntry is
// its inverse. A kind that the settings don't name is unknown, which is no error.
func decodeEntry(config *settings.Scheduler, entry *nodepb.Entry) flaxshelf.Machine {
	return flaxshelf.Machine{
		ID:         entry.Node,
		Kind:       config.KindIndex(entry.Kind),
		Zone:       entry.Zone,
		Cell:       int(entry.Cell),
		State:      machineStates[entry.Standing],
		Started:    scheduler.Time(entry.StartedUnixNs),
		FreeCores:  entry.FreeCores,
		FreeMemory: entry.FreeMemory,
	}
}

// NewEntry returns the entry by which a node registers at the inventory: its machine and the address at which it listens.
// Kinds are numbered differently in each scheduler's settings, so the entry has the name kind; machine.Kind is ignored.
func NewEntry(machine flaxshelf.Machine, kind, address string) *nodepb.Entry {
	return &nodepb.Entry{
		Node:          machine.ID,
		Address:       address,
		Kind:          kind,
		Zone:          machine.Zone,
		Cell:          int32(machine.Cell),
		Standing:      wireStates[machine.State],
		StartedUnixNs: int64(machine.Started),
		FreeCores:     machine.FreeCores,
		FreeMemory:    machine.FreeMemory,
	}
}
