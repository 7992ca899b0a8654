package flaxshelf

import (
	"slices"
	"time"
)

// Retention: how long placements and machines are remembered, and what is forgotten early.

// pruneHistory drops placements that are too old, too many or forgotten.
func (p *Placer) pruneHistory() { p.history.Prune(p.now - p.historyMaxAge()) }

// historyMaxAge returns the age beyond which placements are dropped from the history.
func (p *Placer) historyMaxAge() time.Duration {
	return time.Duration(historyMeanLifetimes * float64(p.longestMeanLifetime()))
}

// pruneMachines forgets machines that were removed a while ago and have no attempt of this scheduler.
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

// resetMachine forgets what was known of a machine that has restarted.
func (p *Placer) resetMachine(m *machine) {
	m.health, m.overloadedUntil, m.rejectsUntil, m.loadReport = health{}, 0, 0, LoadReport{}
	clear(m.classHealth)
	p.forgetMachinePlacements(m)
}

// forgetUnstartedPlacement removes the placement of an attempt that never ran from the history.
func (p *Placer) forgetUnstartedPlacement(a *attempt) {
	if !p.disabled[ForgetUnstartedPlacements] {
		p.history.Forget(a.placement)
	}
}

// forgetMachinePlacements removes the placements on a removed or restarted machine from the history. With them the machine
// would look full after its next start.
func (p *Placer) forgetMachinePlacements(m *machine) {
	if !p.disabled[ForgetRemovedMachinePlacements] {
		p.history.ForgetMachine(m.entry, p.now)
	}
}
