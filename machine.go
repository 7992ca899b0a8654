package flaxshelf

import (
	"cmp"
	"slices"

	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

// machine is what is known of one machine: its entry of the machine list, this scheduler's placements on it, and the
// evidence of its condition.
type machine struct {
	Machine
	idHash    uint64 // the same at every scheduler
	listed    bool   // named by a list since this scheduler started
	listedAt  Time   // when the list last named it
	removedAt Time

	// Where it stands in the index.
	number       int  // -1: none
	awaitsReview bool // queued for reviewMachine
	reviewTimer  timerqueue.Item[*machine]
	zoneDomain   *domain // nil: not listed
	cellDomain   *domain // nil: not listed

	health      health   // of the machine as a whole
	classHealth []health // of each class there

	overloadedUntil  Time    // tasks are served badly there, or memory is short
	serviceShortfall float64 // fraction of full service missing, as last reported while overloaded

	rejectsUntil          Time    // it is expected to reject tasks of rejectedSize or more
	rejectedSize          float64 // fraction of its capacity, see sizeOn
	consecutiveRejections int     // reduced by acceptances
	offerWindow           int     // how many offers may be pending; 0: no limit
	pendingOffers         int     // offers without an answer yet
	slowStartOffers       []Time  // recent offers while it was in slow start

	loadReport     LoadReport
	loadReportedAt Time

	residencies map[string]*residency // this scheduler's active attempts, by service
	ownCores    float64               // requested by them
	ownMemory   float64
	placements  []*placement // in order; some may have left the history

	// Requested by this scheduler since the list last named it.
	coresSinceListed  float64
	memorySinceListed float64

	// Requested by this scheduler so recently that the listed free capacity may not show it, see unshown.go.
	unshownStep   int // the step for which they hold
	unshownCores  float64
	unshownMemory float64
}

// health is the evidence of outcomes about a machine or about one class on it.
type health struct {
	ejectedUntil        Time // no offers until then
	consecutiveFailures int
	lastFailure         Time
	lastSuccess         Time
}

// findOrAddMachine returns the record of a machine. A machine that no list has named yet counts as removed.
func (p *Placer) findOrAddMachine(id string) *machine {
	if m := p.machines[id]; m != nil {
		return m
	}
	m := &machine{
		Machine:     Machine{ID: id, Kind: -1, State: Removed},
		removedAt:   p.now,
		idHash:      hash(id),
		residencies: map[string]*residency{},
		number:      -1,
		classHealth: make([]health, len(p.cfg.Classes)),
	}
	m.reviewTimer.Value = m
	p.machines[id] = m
	p.removedMachines = append(p.removedMachines, m)
	compareID := func(m *machine, id string) int { return cmp.Compare(m.ID, id) }
	position, _ := slices.BinarySearchFunc(p.machinesByID, id, compareID)
	p.machinesByID = slices.Insert(p.machinesByID, position, m)
	p.index.renumber = true
	return m
}

// pruneMachines forgets machines that were removed a while ago and have no attempt of this scheduler.
func (p *Placer) pruneMachines() {
	p.removedMachines = slices.DeleteFunc(p.removedMachines, func(m *machine) bool {
		if m.State != Removed {
			return true
		}
		if len(m.residencies) > 0 || p.now-m.removedAt <= removedMachineRetention {
			return false
		}
		p.forgetMachine(m)
		return true
	})
}

// forgetMachine drops the record of a machine.
func (p *Placer) forgetMachine(m *machine) {
	delete(p.machines, m.ID)
	if i := slices.Index(p.machinesByID, m); i >= 0 {
		p.machinesByID = slices.Delete(p.machinesByID, i, i+1)
	}
	p.index.reviewTimers.Remove(&m.reviewTimer)
	p.index.renumber, m.number = true, -1
}

// healthOf is the health of a class on m, or that of the machine for a class that the settings don't name.
func (m *machine) healthOf(class int) *health {
	if class < 0 || class >= len(m.classHealth) {
		return &m.health
	}
	return &m.classHealth[class]
}

// inSameDomain reports whether two machines are in the same topology domain of the given reach.
func inSameDomain(reach TopologyDomain, a, b *machine) bool {
	switch reach {
	case MachineDomain:
		return a == b
	case CellDomain:
		return a.listed && b.listed && a.Cell == b.Cell
	case ZoneDomain:
		return a.listed && b.listed && a.Zone == b.Zone
	}
	return reach == FleetDomain
}

// sizeOn is the fraction of machine m that task t requests: the larger of those of cores and memory. It is 0 for a
// machine of unknown kind.
func (p *Placer) sizeOn(t *task, m *machine) float64 {
	if m.Kind < 0 {
		return 0
	}
	kind := p.cfg.Kinds[m.Kind]
	return max(t.Cores/kind.Cores, t.Memory/kind.Memory)
}

// recordLoadReport keeps a machine's own report of its load.
func (p *Placer) recordLoadReport(m *machine, report LoadReport) {
	if report.Present {
		m.loadReport, m.loadReportedAt = report, p.now
		p.requestReview(m)
	}
}

// reportedLoad is the load by a machine's last report, as a fraction of its kind; 0 without a fresh one.
func (p *Placer) reportedLoad(m *machine) float64 {
	if !m.loadReport.Present || p.now-m.loadReportedAt > reportFreshness || m.Kind < 0 {
		return 0
	}
	kind, load := p.cfg.Kinds[m.Kind], 0.0
	if m.loadReport.HasCores {
		load = max(load, 1-m.loadReport.FreeCores/kind.Cores)
	}
	if m.loadReport.HasMemory {
		load = max(load, 1-m.loadReport.FreeMemory/kind.Memory)
	}
	return load
}

// requestedFraction is the fraction of m that all schedulers together have requested, by the machine list.
func (p *Placer) requestedFraction(m *machine) float64 {
	kind := p.cfg.Kinds[m.Kind]
	return max((kind.Cores-m.FreeCores)/kind.Cores, (kind.Memory-m.FreeMemory)/kind.Memory)
}
