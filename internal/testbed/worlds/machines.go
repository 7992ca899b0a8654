package worlds

import (
	"fmt"

	"flaxshelf.example/flaxshelf"
)

// Numbers of zones and cells among which machines are distributed.
const (
	zoneCount = 3
	cellCount = 5
)

// newMachine draws a machine. The order of the IDs differs from the order of creation.
func (w *World) newMachine() flaxshelf.Machine {
	w.machineCount++
	m := flaxshelf.Machine{
		ID:   fmt.Sprintf("m%d", (w.machineCount*7919)%100003),
		Kind: w.random.IntN(len(w.cfg.Kinds)),
		Zone: fmt.Sprint("z", w.random.IntN(zoneCount)),
		Cell: w.random.IntN(cellCount),
	}
	w.setFreeCapacity(&m)
	return m
}

// setFreeCapacity draws the listed free capacity of a machine. For half of the machines it is a multiple of 1/64 or
// 1/512 of the kind's capacity, as maxUsedFraction is 1 or 1/8.
func (w *World) setFreeCapacity(m *flaxshelf.Machine) {
	if !w.cfg.ListsFreeCapacity {
		return
	}
	kind := w.cfg.Kinds[max(m.Kind, 0)]
	fraction := w.random.Float64
	if w.random.IntN(2) == 0 {
		fraction = func() float64 { return float64(w.random.IntN(65)) / 64 }
	}
	m.FreeCores, m.FreeMemory = kind.Cores*(1-w.maxUsedFraction*fraction()), kind.Memory*(1-w.maxUsedFraction*fraction())
}

// discoveryEvent draws a discovery event: changes of some machines, the complete list again, or a failure of discovery.
func (w *World) discoveryEvent() flaxshelf.Event {
	if w.random.IntN(12) == 0 {
		return flaxshelf.DiscoveryFailed{}
	}
	if w.random.IntN(20) == 0 {
		return w.completeMachineList()
	}
	var changed []flaxshelf.Machine
	for range 1 + w.random.IntN(4) {
		changed = append(changed, w.changeMachine(&w.machines[w.random.IntN(len(w.machines))])...)
	}
	return flaxshelf.MachinesUpdated{Machines: changed}
}

// changeMachine changes a machine at random and returns the entries of the list that have changed.
func (w *World) changeMachine(m *flaxshelf.Machine) (entries []flaxshelf.Machine) {
	switch w.random.IntN(12) {
	case 0:
		m.State = flaxshelf.Draining
	case 1:
		m.State = flaxshelf.Removed
	case 2:
		m.Started, m.State = w.now, flaxshelf.Active
	case 3: // replaced
		removed := *m
		removed.State = flaxshelf.Removed
		entries = append(entries, removed)
		*m = w.newMachine()
		m.Started = w.now
	case 4:
		m.Kind = w.random.IntN(len(w.cfg.Kinds)+1) - 1
	case 5:
		m.Zone, m.Cell = fmt.Sprint("z", w.random.IntN(zoneCount)), w.random.IntN(cellCount)
	default:
		m.State = flaxshelf.Active
		w.setFreeCapacity(m)
	}
	return append(entries, *m)
}
