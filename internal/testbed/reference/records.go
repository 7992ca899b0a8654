package reference

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf"
)

// machine is what is known of one machine.
type machine struct {
	flaxshelf.Machine
	idHash    uint64 // the same at every scheduler
	listed    bool   // named by a list since this scheduler started
	listedAt  flaxshelf.Time
	removedAt flaxshelf.Time

	health           health   // of the machine as a whole
	classHealth      []health // of each class there
	overloadedUntil  flaxshelf.Time
	serviceShortfall float64 // fraction of full service missing, as last reported while overloaded

	rejectsUntil          flaxshelf.Time // it is expected to reject tasks of rejectedSize or more
	rejectedSize          float64
	consecutiveRejections int
	offerWindow           int // how many offers may be pending; 0: no limit
	pendingOffers         int
	slowStartOffers       []flaxshelf.Time // recent offers while it was in slow start

	loadReport     flaxshelf.LoadReport
	loadReportedAt flaxshelf.Time

	attemptsOf map[string]int // this scheduler's active attempts, by service
	ownCores   float64        // requested by them
	ownMemory  float64

	// Requested by this scheduler since the list last named the machine.
	coresSinceListed  float64
	memorySinceListed float64

	// Requested by this scheduler so recently that the listed free capacity may not show it.
	unshownStep   int // the step for which they hold
	unshownCores  float64
	unshownMemory float64

	affinity float64 // to the service of the choice in progress
}

// health is the evidence of outcomes about a machine or about one class on it.
type health struct {
	ejectedUntil        flaxshelf.Time
	consecutiveFailures int
	lastFailure         flaxshelf.Time
	lastSuccess         flaxshelf.Time
}

// attempt is one offer of a task to a machine.
type attempt struct {
	machine   *machine
	placement *placement
	sentAt    flaxshelf.Time
	active    bool // it has not ended
	placed    bool
	neverRan  bool // its outcome proves that the task was not started
	migrating bool // Migrate was emitted for it

	// When poor service was last reported, and since when nothing better was.
	poorServiceAt    flaxshelf.Time
	poorServiceSince flaxshelf.Time
}

// task is a submitted or adopted task with its attempts.
type task struct {
	flaxshelf.Task
	class       *flaxshelf.Class
	submittedAt flaxshelf.Time
	attempts    []attempt
	settled     bool // it has its final answer, or needs none
	placed      bool

	// Machines that answered it with an error which is not attributed to machine or task yet.
	unattributedFailures []*machine
}

// placement is an entry of the history that the vote replays.
type placement struct {
	machine         *machine
	offeredAt       flaxshelf.Time
	class           int
	cores           float64
	memory          float64
	expectedRuntime time.Duration // 0: unknown
	forgotten       bool          // it no longer counts
}

// lifetimeStats adds up the lifetimes of one class's tasks, from which meanLifetime estimates their mean.
type lifetimeStats struct {
	observed time.Duration // total lifetime of those that ended
	ended    int           // those that ended by themselves or were canceled
	running  int
	startSum flaxshelf.Time // sum of the start times of those that run
}

// sizeOn is the fraction of machine m that task t requests: the larger of those of cores and memory.
func (p *Placer) sizeOn(t *task, m *machine) float64 {
	if m.Kind < 0 {
		return 0
	}
	kind := p.cfg.Kinds[m.Kind]
	return max(t.Cores/kind.Cores, t.Memory/kind.Memory)
}

func (p *Placer) addTask(spec flaxshelf.Task) *task {
	t := &task{Task: spec, class: &p.unknownClass, submittedAt: p.now}
	if spec.Class >= 0 && spec.Class < len(p.cfg.Classes) {
		t.class = &p.cfg.Classes[spec.Class]
	}
	p.tasks[spec.ID] = t
	return t
}

// findAttempt finds an attempt by its task's ID and its number. Either result is nil where it is unknown.
func (p *Placer) findAttempt(taskID string, number int) (*task, *attempt) {
	t := p.tasks[taskID]
	if t == nil || number < 0 || number >= len(t.attempts) {
		return t, nil
	}
	return t, &t.attempts[number]
}

func (p *Placer) findOrAddMachine(id string) *machine {
	m := p.machines[id]
	if m == nil {
		m = &machine{removedAt: p.now, idHash: hash(id), attemptsOf: map[string]int{}}
		m.classHealth = make([]health, len(p.cfg.Classes))
		m.Machine = flaxshelf.Machine{ID: id, Kind: -1, State: flaxshelf.Removed}
		p.machines[id] = m
		compareID := func(m *machine, id string) int { return cmp.Compare(m.ID, id) }
		i, _ := slices.BinarySearchFunc(p.machinesByID, id, compareID)
		p.machinesByID = slices.Insert(p.machinesByID, i, m)
	}
	return m
}

// healthOf is the health of a class on m, or that of the machine for a class that the settings don't name.
func (m *machine) healthOf(class int) *health {
	if class < 0 || class >= len(m.classHealth) {
		return &m.health
	}
	return &m.classHealth[class]
}

// recordPlacement records a new attempt of t on m.
func (p *Placer) recordPlacement(t *task, m *machine) {
	placed := &placement{machine: m, offeredAt: p.now, class: t.Class, cores: t.Cores, memory: t.Memory,
		expectedRuntime: t.ExpectedRuntime}
	p.history = append(p.history, placed)
	t.attempts = append(t.attempts, attempt{machine: m, sentAt: p.now, active: true, placement: placed})
	m.attemptsOf[t.Service]++
	m.ownCores += t.Cores
	m.ownMemory += t.Memory
	m.coresSinceListed += t.Cores
	m.memorySinceListed += t.Memory
	m.unshownCores += t.Cores
	m.unshownMemory += t.Memory
	m.pendingOffers++
	p.tenantCores[t.Tenant] += t.Cores
}

func (p *Placer) releasePlacement(t *task, m *machine) {
	if m.attemptsOf[t.Service]--; m.attemptsOf[t.Service] <= 0 {
		delete(m.attemptsOf, t.Service)
	}
	m.ownCores -= t.Cores
	p.tenantCores[t.Tenant] -= t.Cores
	m.ownMemory -= t.Memory
}

// markPlaced records that a machine accepted an attempt, or runs it.
func (p *Placer) markPlaced(t *task, a *attempt) {
	a.placed, t.placed = true, true
	a.machine.pendingOffers--
	if stats := p.lifetimesOf(t.Class); stats != nil {
		stats.running++
		stats.startSum += a.sentAt
	}
}

// lifetimesOf is the statistics of a class; nil for a class that the settings don't name.
func (p *Placer) lifetimesOf(class int) *lifetimeStats {
	if class < 0 || class >= len(p.lifetimes) {
		return nil
	}
	return &p.lifetimes[class]
}

// forgetIfSettled drops a task that is settled and has no active attempt.
func (p *Placer) forgetIfSettled(t *task) {
	if t.settled && t.activeAttempt() == nil {
		delete(p.tasks, t.ID)
	}
}

// inSameDomain reports whether two machines are in the same topology domain of the given reach.
func inSameDomain(reach flaxshelf.TopologyDomain, a, b *machine) bool {
	switch reach {
	case flaxshelf.MachineDomain:
		return a == b
	case flaxshelf.CellDomain:
		return a.listed && b.listed && a.Cell == b.Cell
	case flaxshelf.ZoneDomain:
		return a.listed && b.listed && a.Zone == b.Zone
	}
	return reach == flaxshelf.FleetDomain
}

// hash is the same at every scheduler.
func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s)) // never fails
	return mix(h.Sum64())
}

// mix spreads the bits of a hash whose inputs differ little.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// activeAttempt is the first attempt that has not ended, or nil.
func (t *task) activeAttempt() *attempt {
	for i := range t.attempts {
		if t.attempts[i].active {
			return &t.attempts[i]
		}
	}
	return nil
}

// mayHaveRun reports whether an attempt lacks proof that the task was not started.
func (t *task) mayHaveRun() bool {
	return slices.ContainsFunc(t.attempts, func(a attempt) bool { return !a.neverRan })
}

// triedOn reports whether the task was offered to m.
func (t *task) triedOn(m *machine) bool {
	return slices.ContainsFunc(t.attempts, func(a attempt) bool { return a.machine == m })
}
