package flaxshelf

// What a Placer keeps of machines, tasks and attempts, and the bookkeeping of it. No decision is made here.

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

// Placer makes the decisions of one scheduler.
type Placer struct {
	cfg                 Config
	disabled            [constraintCount]bool // taken out by a test
	randomSource        *rand.PCG
	random              *rand.Rand // of src
	index               index
	services            map[string]*service
	removedMachines     []*machine // that are out, and may have come back since
	forgottenPlacements int        // binds that left the history since it was pruned
	lastSerial          uint64     // made so far
	now                 Time
	startedAt           Time
	started             bool
	stepNumber          int
	actions             []Action
	machines            map[string]*machine
	machinesByID        []*machine // by ID
	tasks               map[string]*task
	openTasks           []*task // taken, not yet settled, in order of arrival
	sortBuffer          []*task
	history             []*placement // in order of time
	lifetimes           []lifetimeStats
	tenantCores         map[int]float64 // cores asked by our attempts and tasks, by tenant
	latencyMean         float64         // smoothed seconds from offer to Placed
	latencyDeviation    float64
	timerDue            Time // the earliest wake still to come; 0: none
	subscribeAt         Time // when to subscribe next; 0: not needed
	discoveryFailures   int
	unknownClass        Class
}

type machine struct {
	Machine
	idHash                        uint64 // of its ID: the same at every scheduler
	listed                        bool   // named by a list in this life of the scheduler
	removedAt                     Time
	slowStartOffers               []Time   // recent offers, kept while the machine may be cold
	health                                 // of the machine as a whole
	classHealth                   []health // and of each class there
	serviceShortfall              float64  // of full service, as our tasks there were last told while strained
	overloadedUntil               Time     // until then: our tasks there are served badly or memory is short
	rejectsUntil                  Time     // until then it refuses tasks of fullSize or more
	rejectedSize                  float64
	consecutiveRejections         int     // refusals in a row
	listedAt                      Time    // when the list last told its free room
	offerWindow                   int     // so many offers may wait there for their answer; 0: any number
	pendingOffers                 int     // our offers there without an answer yet
	unlistedStep                  int     // the step for which lateCores and lateMemory hold
	unlistedCores, unlistedMemory float64 // asked by our binds that the list's word may lack
	coresSinceListed              float64 // asked by our binds since the list's last word
	memorySinceListed             float64
	loadReport                    LoadReport
	loadReportedAt                Time
	residencies                   map[string]*residency // our attempts and tasks there, by service
	ownCores                      float64               // asked by them
	ownMemory                     float64
	number                        int  // its number in the index; -1: none
	awaitsReview                  bool // it waits for review
	reviewTimer                   timerqueue.Item[*machine]
	zoneDomain, cellDomain        *domain      // nil: not listed
	placements                    []*placement // ours, in order; some may have left the history
}

// health is what outcomes say of a machine, or of a class there.
type health struct {
	ejectedUntil        Time // no offers until then: it failed, was lost or could not be reached
	consecutiveFailures int
	lastFailure         Time
	lastSuccess         Time
}

type attempt struct {
	machine   *machine
	sentAt    Time
	active    bool // no Ended yet
	neverRan  bool // surely never ran
	done      bool
	placed    bool
	migrating bool // it was asked to leave
	placement *placement
	// When it was last told how well it is served, and since when all that was told was bad.
	poorServiceAt, poorServiceSince Time
}

type task struct {
	Task
	class                *Class
	submittedAt          Time
	attempts             []attempt
	settled              bool // it has its final answer, or needs none
	placed               bool
	queueRank            int        // among the open tasks of this step
	unattributedFailures []*machine // that answered it with an error and are not blamed yet
}

// queueRanks bounds the ranks of open tasks.
const queueRanks = 4

// placement is one replayed offer: what was asked of which machine when, and the life drawn for it.
type placement struct {
	machine         *machine
	placedAt        Time
	class           int
	cores, memory   float64
	expectedRuntime time.Duration
	forgotten       bool // it left the history
	serial          uint64
}

// lifetimeStats is what a class's lives add up to: a censored mean, see meanLife.
type lifetimeStats struct {
	observed time.Duration // by those that ended
	running  int
	startSum Time // the sum of the times from which the running ones are seen
	ended    int
}

func (p *Placer) addTask(spec Task) *task {
	t := &task{Task: spec, class: &p.unknownClass, submittedAt: p.now}
	if spec.Class >= 0 && spec.Class < len(p.cfg.Classes) {
		t.class = &p.cfg.Classes[spec.Class]
	}
	p.tasks[spec.ID] = t
	return t
}

// findAttempt finds an attempt by its number; nil where the module knows of none.
func (p *Placer) findAttempt(id string, n int) (*task, *attempt) {
	t := p.tasks[id]
	if t == nil || n < 0 || n >= len(t.attempts) {
		return t, nil
	}
	return t, &t.attempts[n]
}

func (p *Placer) findOrAddMachine(id string) *machine {
	m := p.machines[id]
	if m == nil {
		m = &machine{removedAt: p.now, idHash: hash(id), residencies: map[string]*residency{}, number: -1}
		m.reviewTimer.Value = m
		m.classHealth = make([]health, len(p.cfg.Classes))
		m.Machine = Machine{ID: id, Kind: -1, State: Removed}
		p.machines[id] = m
		p.removedMachines = append(p.removedMachines, m)
		byID := func(m *machine, id string) int { return cmp.Compare(m.ID, id) }
		i, _ := slices.BinarySearchFunc(p.machinesByID, id, byID)
		p.machinesByID = slices.Insert(p.machinesByID, i, m)
		p.index.renumber = true
	}
	return m
}

// healthOf is the health of a class at m; the machine's own for a class that the settings don't name.
func (m *machine) healthOf(class int) *health {
	if class < 0 || class >= len(m.classHealth) {
		return &m.health
	}
	return &m.classHealth[class]
}

// recordPlacement books a new attempt of t on m.
func (p *Placer) recordPlacement(t *task, m *machine) {
	b := &placement{machine: m, placedAt: p.now, class: t.Class, cores: t.Cores, memory: t.Memory, expectedRuntime: t.ExpectedRuntime}
	p.history = append(p.history, b)
	p.indexPlacement(b)
	t.attempts = append(t.attempts, attempt{machine: m, sentAt: p.now, active: true, placement: b})
	p.addResidency(t.Service, m)
	m.ownCores += t.Cores
	m.ownMemory += t.Memory
	m.coresSinceListed += t.Cores
	m.memorySinceListed += t.Memory
	p.addUnlisted(m, t)
	m.pendingOffers++
	p.requestReview(m)
	p.tenantCores[t.Tenant] += t.Cores
}

func (p *Placer) releasePlacement(t *task, m *machine) {
	p.removeResidency(t.Service, m)
	p.requestReview(m)
	m.ownCores -= t.Cores
	p.tenantCores[t.Tenant] -= t.Cores
	m.ownMemory -= t.Memory
}

// markPlaced books that an attempt was placed.
func (p *Placer) markPlaced(t *task, a *attempt) {
	a.placed, t.placed = true, true
	a.machine.pendingOffers--
	if l := p.lifetimeOf(t.Class); l != nil {
		l.running, l.startSum = l.running+1, l.startSum+a.sentAt
	}
}

// forgetPlacement has a bind leave the history.
func (p *Placer) forgetPlacement(b *placement) {
	if !b.forgotten {
		b.forgotten = true
		p.forgottenPlacements++
	}
}

// forgetMachine drops a machine that is out and has nothing of ours.
func (p *Placer) forgetMachine(m *machine) {
	delete(p.machines, m.ID)
	if i := slices.Index(p.machinesByID, m); i >= 0 {
		p.machinesByID = slices.Delete(p.machinesByID, i, i+1)
	}
	p.index.reviewTimers.Remove(&m.reviewTimer)
	p.index.renumber, m.number = true, -1
}

// sortOpenTasks brings the open tasks into the order of their ranks; those of one rank stay as they were.
func (p *Placer) sortOpenTasks() {
	var count [queueRanks]int
	sorted, last := true, 0
	for _, t := range p.openTasks {
		t.queueRank = p.queueRankOf(t)
		count[t.queueRank]++
		sorted, last = sorted && t.queueRank >= last, t.queueRank
	}
	if p.disabled[ArrivalOrder] {
		slices.SortStableFunc(p.openTasks, func(a, b *task) int {
			return cmp.Or(cmp.Compare(a.queueRank, b.queueRank), cmp.Compare(b.submittedAt, a.submittedAt))
		})
		return
	}
	if sorted {
		return
	}
	for i, n := 0, 0; i < queueRanks; i++ {
		count[i], n = n, n+count[i]
	}
	p.sortBuffer = append(p.sortBuffer[:0], p.openTasks...)
	for _, t := range p.sortBuffer {
		p.openTasks[count[t.queueRank]] = t
		count[t.queueRank]++
	}
	clear(p.sortBuffer)
}

// lifetimeOf is the record of a class's lives; nil for a class that the settings don't name.
func (p *Placer) lifetimeOf(class int) *lifetimeStats {
	if class < 0 || class >= len(p.lifetimes) {
		return nil
	}
	return &p.lifetimes[class]
}

// forgetIfSettled forgets a task that is settled and has no attempt out.
func (p *Placer) forgetIfSettled(t *task) {
	if !t.settled {
		return
	}
	for i := range t.attempts {
		if t.attempts[i].active {
			return
		}
	}
	delete(p.tasks, t.ID)
}

// inSameDomain tells whether two machines stand in the same place of the given extent.
func inSameDomain(at TopologyDomain, a, b *machine) bool {
	switch at {
	case MachineDomain:
		return a == b
	case CellDomain:
		return a.listed && b.listed && a.Cell == b.Cell
	case ZoneDomain:
		return a.listed && b.listed && a.Zone == b.Zone
	}
	return at == FleetDomain
}

// hash is the same at every scheduler: what they derive from it they share without talking.
func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return mix(h.Sum64())
}

// mix spreads the bits of a hash whose inputs are much alike.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func (t *task) activeAttempt() *attempt {
	for i := range t.attempts {
		if t.attempts[i].active {
			return &t.attempts[i]
		}
	}
	return nil
}

func (t *task) mayHaveRun() bool {
	return slices.ContainsFunc(t.attempts, func(a attempt) bool { return !a.neverRan })
}

// sizeOn is the share of machine m that task t asks for: the larger of cores and memory.
func (p *Placer) sizeOn(t *task, m *machine) float64 {
	if m.Kind < 0 {
		return 0
	}
	k := p.cfg.Kinds[m.Kind]
	return max(t.Cores/k.Cores, t.Memory/k.Memory)
}

// reportedLoad is the load that a machine's last report tells; 0 without a fresh one.
func (p *Placer) reportedLoad(m *machine) float64 {
	if !m.loadReport.Present || p.now-m.loadReportedAt > reportFreshness || m.Kind < 0 {
		return 0
	}
	k, load := p.cfg.Kinds[m.Kind], 0.0
	if m.loadReport.HasCores {
		load = max(load, 1-m.loadReport.FreeCores/k.Cores)
	}
	if m.loadReport.HasMemory {
		load = max(load, 1-m.loadReport.FreeMemory/k.Memory)
	}
	return load
}

// requestedShare is the share of m that all schedulers together have asked for, by the list's word.
func (p *Placer) requestedShare(m *machine) float64 {
	k := p.cfg.Kinds[m.Kind]
	return max((k.Cores-m.FreeCores)/k.Cores, (k.Memory-m.FreeMemory)/k.Memory)
}

// recordLoadReport keeps what a machine told of its load.
func (p *Placer) recordLoadReport(m *machine, l LoadReport) {
	if l.Present {
		m.loadReport, m.loadReportedAt = l, p.now
		p.requestReview(m)
	}
}

// recentHistory is the history that counts: at most maxHistory binds, also within a step that brings thousands.
func (p *Placer) recentHistory() []*placement { return p.history[max(0, len(p.history)-maxHistory):] }

// replayedPlacement is a bind of the history in the vote in hand.
type replayedPlacement struct {
	candidate     int32 // the candidate
	cores, memory float64
	survival      uint64 // chance that the drawn life reaches to now, in 1<<53rds
}
