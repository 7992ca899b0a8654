package flaxshelf

import (
	"slices"
	"time"
)

// Retention: how long placements and machines are kept, and what is dropped earlier.

// pruneHistory drops placements that are older than historyMaxAge, exceed maxHistoryPlacements or were forgotten.
func (p *Placer) pruneHistory() { p.history.Prune(p.now - p.historyMaxAge()) }

// historyMaxAge returns the age beyond which placements are dropped from the history. It is based on the class with the
// longest mean lifetime.
func (p *Placer) historyMaxAge() time.Duration {
	return time.Duration(historyMeanLifetimes * float64(p.longestMeanLifetime()))
}

// pruneMachines deletes machines that were removed more than removedMachineRetention ago and have no active attempt of this
// scheduler.
func (p *Placer) pruneMachines() {
	p.removedMachines = slices.DeleteFunc(p.removedMachines, func(m *machine) bool {
		if m.State != Removed {
			return true
		}
		if m.entry.HasAttempts() || p.now-m.removedAt <= removedMachineRetention {
			return false
		}
		p.deleteMachine(m)
		return true
	})
}

// resetMachine drops the evidence and the placements on a machine that has restarted.
func (p *Placer) resetMachine(m *machine) {
	m.health, m.overloadedUntil, m.rejectsUntil, m.loadReport = health{}, 0, 0, LoadReport{}
	clear(m.classHealth)
	p.forgetMachinePlacements(m)
}

// forgetUnstartedPlacement removes from the history the placement of an attempt that never ran.
func (p *Placer) forgetUnstartedPlacement(a *attempt) {
	if !p.disabled[ForgetUnstartedPlacements] {
		p.history.Forget(a.placement)
	}
}

// forgetMachinePlacements removes from the history the placements on a removed or restarted machine. With them the machine
// would look full after its next start, although none of these tasks runs any more.
func (p *Placer) forgetMachinePlacements(m *machine) {
	if !p.disabled[ForgetRemovedMachinePlacements] {
		p.history.ForgetMachine(m.entry, p.now)
	}
}
