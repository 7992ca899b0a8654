package reference

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf"
)

// Placer makes the decisions of one scheduler.
type Placer struct {
	cfg               flaxshelf.Config
	random            *rand.Rand
	now               flaxshelf.Time
	startedAt         flaxshelf.Time
	started           bool
	stepNumber        int
	actions           []flaxshelf.Action
	machines          map[string]*machine
	machinesByID      []*machine // by ID
	tasks             map[string]*task
	openTasks         []*task      // taken, not yet settled, in order of arrival
	history           []*placement // in order of time
	lifetimes         []lifetimeStats
	tenantCores       map[int]float64 // cores asked by our attempts and tasks, by tenant
	latencyMean       float64         // smoothed seconds from offer to Placed
	latencyDeviation  float64
	timerDue          flaxshelf.Time // the earliest wake still to come; 0: none
	subscribeAt       flaxshelf.Time // when to subscribe next; 0: not needed
	discoveryFailures int
	unknownClass      flaxshelf.Class
}

type machine struct {
	flaxshelf.Machine
	idHash                        uint64 // of its ID: the same at every scheduler
	listed                        bool   // named by a list in this life of the scheduler
	removedAt                     flaxshelf.Time
	slowStartOffers               []flaxshelf.Time // recent offers, kept while the machine may be cold
	health                                         // of the machine as a whole
	classHealth                   []health         // and of each class there
	serviceShortfall              float64
	overloadedUntil               flaxshelf.Time // until then: our tasks there are served badly or memory is short
	rejectsUntil                  flaxshelf.Time // until then it refuses tasks of fullSize or more
	rejectedSize                  float64
	consecutiveRejections         int            // refusals in a row
	listedAt                      flaxshelf.Time // when the list last told its free room
	offerWindow                   int            // so many offers may wait there for their answer; 0: any number
	pendingOffers                 int            // our offers there without an answer yet
	unlistedStep                  int            // the step for which lateCores and lateMemory hold
	unlistedCores, unlistedMemory float64        // asked by our binds that the list's word may lack
	coresSinceListed              float64        // asked by our binds since the list's last word
	memorySinceListed             float64
	loadReport                    flaxshelf.LoadReport
	loadReportedAt                flaxshelf.Time
	attemptsOf                    map[string]int // our attempts and tasks there, by service
	ownCores                      float64        // asked by them
	ownMemory                     float64
	affinity                      float64 // among the homes of the service in hand
}

// health is what outcomes say of a machine, or of a class there.
type health struct {
	ejectedUntil        flaxshelf.Time // no offers until then: it failed, was lost or could not be reached
	consecutiveFailures int
	lastFailure         flaxshelf.Time
	lastSuccess         flaxshelf.Time
}

type attempt struct {
	machine   *machine
	sentAt    flaxshelf.Time
	active    bool // no Ended yet
	neverRan  bool // surely never ran
	done      bool
	placed    bool
	placement *placement
	// Later than the text, see the module's relocate.
	migrating                       bool
	poorServiceAt, poorServiceSince flaxshelf.Time
}

type task struct {
	flaxshelf.Task
	class                *flaxshelf.Class
	submittedAt          flaxshelf.Time
	attempts             []attempt
	settled              bool // it has its final answer, or needs none
	placed               bool
	unattributedFailures []*machine // that answered it with an error and are not blamed yet
}

// placement is one replayed offer: what was asked of which machine when, and the life drawn for it.
type placement struct {
	machine         *machine
	placedAt        flaxshelf.Time
	class           int
	cores, memory   float64
	expectedRuntime time.Duration
	forgotten       bool // it left the history
}

// lifetimeStats is what a class's lives add up to: a censored mean, see meanLife.
type lifetimeStats struct {
	observed time.Duration // by those that ended
	running  int
	startSum flaxshelf.Time // the sum of the times from which the running ones are seen
	ended    int
}

func (p *Placer) addTask(spec flaxshelf.Task) *task {
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
		m = &machine{removedAt: p.now, idHash: hash(id), attemptsOf: map[string]int{}}
		m.classHealth = make([]health, len(p.cfg.Classes))
		m.Machine = flaxshelf.Machine{ID: id, Kind: -1, State: flaxshelf.Removed}
		p.machines[id] = m
		byID := func(m *machine, id string) int { return cmp.Compare(m.ID, id) }
		i, _ := slices.BinarySearchFunc(p.machinesByID, id, byID)
		p.machinesByID = slices.Insert(p.machinesByID, i, m)
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
	t.attempts = append(t.attempts, attempt{machine: m, sentAt: p.now, active: true, placement: b})
	m.attemptsOf[t.Service]++
	m.ownCores += t.Cores
	m.ownMemory += t.Memory
	m.coresSinceListed += t.Cores
	m.memorySinceListed += t.Memory
	m.unlistedCores += t.Cores
	m.unlistedMemory += t.Memory
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

// markPlaced books that an attempt was placed.
func (p *Placer) markPlaced(t *task, a *attempt) {
	a.placed, t.placed = true, true
	a.machine.pendingOffers--
	if l := p.lifetimesOf(t.Class); l != nil {
		l.running, l.startSum = l.running+1, l.startSum+a.sentAt
	}
}

// lifetimesOf is the record of a class's lives; nil for a class that the settings don't name.
func (p *Placer) lifetimesOf(class int) *lifetimeStats {
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
func inSameDomain(at flaxshelf.TopologyDomain, a, b *machine) bool {
	switch at {
	case flaxshelf.MachineDomain:
		return a == b
	case flaxshelf.CellDomain:
		return a.listed && b.listed && a.Cell == b.Cell
	case flaxshelf.ZoneDomain:
		return a.listed && b.listed && a.Zone == b.Zone
	}
	return at == flaxshelf.FleetDomain
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

func (t *task) triedOn(m *machine) bool {
	return slices.ContainsFunc(t.attempts, func(a attempt) bool { return a.machine == m })
}
