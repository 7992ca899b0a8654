package nodefront

import (
	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
)

// machineStates maps the standing of a node, as the inventory protocol encodes it, to the state of the machine.
var machineStates = map[nodepb.Standing]flaxshelf.MachineState{
	nodepb.Standing_IN:       flaxshelf.Active,
	nodepb.Standing_DRAINING: flaxshelf.Draining,
	nodepb.Standing_OUT:      flaxshelf.Removed,
}

// wireStates is the inverse of machineStates.
var wireStates = map[flaxshelf.MachineState]nodepb.Standing{
	flaxshelf.Active:   nodepb.Standing_IN,
	flaxshelf.Draining: nodepb.Standing_DRAINING,
	flaxshelf.Removed:  nodepb.Standing_OUT,
}

// decodeEntry translates an entry of the inventory's list of nodes. It is the only decoder of entries, and NewEntry is its
// inverse. A kind that is not in the settings becomes -1, which is not an error.
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

// NewEntry returns the entry with which a node registers at the inventory; address is the address at which the node listens.
// The entry has the name of the kind in place of machine.Kind, which is an index into one scheduler's settings.
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
