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
	cfg      flaxshelf.Config
	rng      *rand.Rand
	now      flaxshelf.Time
	born     flaxshelf.Time
	started  bool
	steps    int
	out      []flaxshelf.Action
	machines map[string]*machine
	order    []*machine // by ID
	tasks    map[string]*task
	open     []*task // taken, not yet settled, in order of arrival
	history  []*bind // in order of time
	lives    []lifetime
	tenants  map[int]float64 // cores asked by our attempts and tasks, by tenant
	lag      float64         // smoothed seconds from offer to Placed
	lagDev   float64
	wakes    flaxshelf.Time // the earliest wake still to come; 0: none
	askAt    flaxshelf.Time // when to subscribe next; 0: not needed
	askFails int
	unknown  flaxshelf.Class
}

type machine struct {
	flaxshelf.Machine
	hash                  uint64 // of its ID: the same at every scheduler
	listed                bool   // named by a list in this life of the scheduler
	goneAt                flaxshelf.Time
	offers                []flaxshelf.Time // recent offers, kept while the machine may be cold
	health                                 // of the machine as a whole
	classes               []health         // and of each class there
	lack                  float64
	strained              flaxshelf.Time // until then: our tasks there are served badly or memory is short
	fullBar               flaxshelf.Time // until then it refuses tasks of fullSize or more
	fullSize              float64
	fulls                 int            // refusals in a row
	viewAt                flaxshelf.Time // when the list last told its free room
	window                int            // so many offers may wait there for their answer; 0: any number
	waiting               int            // our offers there without an answer yet
	lateIn                int            // the step for which lateCores and lateMemory hold
	lateCores, lateMemory float64        // asked by our binds that the list's word may lack
	newCores              float64        // asked by our binds since the list's last word
	newMemory             float64
	load                  flaxshelf.LoadReport
	loadAt                flaxshelf.Time
	services              map[string]int // our attempts and tasks there, by service
	cores                 float64        // asked by them
	memory                float64
	rank                  float64 // among the homes of the service in hand
}

// health is what outcomes say of a machine, or of a class there.
type health struct {
	bar      flaxshelf.Time // no offers until then: it failed, was lost or could not be reached
	strikes  int
	failedAt flaxshelf.Time
	servedAt flaxshelf.Time
}

type attempt struct {
	m       *machine
	sent    flaxshelf.Time
	live    bool // no Ended yet
	proved  bool // surely never ran
	done    bool
	placed  bool
	history *bind
	// Later than the text, see the module's relocate.
	moving          bool
	badAt, badSince flaxshelf.Time
}

type task struct {
	flaxshelf.Task
	class    *flaxshelf.Class
	taken    flaxshelf.Time
	attempts []attempt
	settled  bool // it has its final answer, or needs none
	placed   bool
	errors   []*machine // that answered it with an error and are not blamed yet
}

// bind is one replayed offer: what was asked of which machine when, and the life drawn for it.
type bind struct {
	m             *machine
	at            flaxshelf.Time
	class         int
	cores, memory float64
	hint          time.Duration
	off           bool // it left the history
}

// lifetime is what a class's lives add up to: a censored mean, see meanLife.
type lifetime struct {
	seen    time.Duration // by those that ended
	running int
	since   flaxshelf.Time // the sum of the times from which the running ones are seen
	ended   int
}

func (p *Placer) newTask(spec flaxshelf.Task) *task {
	t := &task{Task: spec, class: &p.unknown, taken: p.now}
	if spec.Class >= 0 && spec.Class < len(p.cfg.Classes) {
		t.class = &p.cfg.Classes[spec.Class]
	}
	p.tasks[spec.ID] = t
	return t
}

// attempt finds an attempt by its number; nil where the module knows of none.
func (p *Placer) attempt(id string, n int) (*task, *attempt) {
	t := p.tasks[id]
	if t == nil || n < 0 || n >= len(t.attempts) {
		return t, nil
	}
	return t, &t.attempts[n]
}

func (p *Placer) machine(id string) *machine {
	m := p.machines[id]
	if m == nil {
		m = &machine{goneAt: p.now, hash: hash(id), services: map[string]int{}}
		m.classes = make([]health, len(p.cfg.Classes))
		m.Machine = flaxshelf.Machine{ID: id, Kind: -1, State: flaxshelf.Removed}
		p.machines[id] = m
		byID := func(m *machine, id string) int { return cmp.Compare(m.ID, id) }
		i, _ := slices.BinarySearchFunc(p.order, id, byID)
		p.order = slices.Insert(p.order, i, m)
	}
	return m
}

// record is the health of a class at m; the machine's own for a class that the settings don't name.
func (m *machine) record(class int) *health {
	if class < 0 || class >= len(m.classes) {
		return &m.health
	}
	return &m.classes[class]
}

// occupy books a new attempt of t on m.
func (p *Placer) occupy(t *task, m *machine) {
	b := &bind{m: m, at: p.now, class: t.Class, cores: t.Cores, memory: t.Memory, hint: t.ExpectedRuntime}
	p.history = append(p.history, b)
	t.attempts = append(t.attempts, attempt{m: m, sent: p.now, live: true, history: b})
	m.services[t.Service]++
	m.cores += t.Cores
	m.memory += t.Memory
	m.newCores += t.Cores
	m.newMemory += t.Memory
	m.lateCores += t.Cores
	m.lateMemory += t.Memory
	m.waiting++
	p.tenants[t.Tenant] += t.Cores
}

func (p *Placer) release(t *task, m *machine) {
	if m.services[t.Service]--; m.services[t.Service] <= 0 {
		delete(m.services, t.Service)
	}
	m.cores -= t.Cores
	p.tenants[t.Tenant] -= t.Cores
	m.memory -= t.Memory
}

// seat books that an attempt was placed.
func (p *Placer) seat(t *task, a *attempt) {
	a.placed, t.placed = true, true
	a.m.waiting--
	if l := p.life(t.Class); l != nil {
		l.running, l.since = l.running+1, l.since+a.sent
	}
}

// life is the record of a class's lives; nil for a class that the settings don't name.
func (p *Placer) life(class int) *lifetime {
	if class < 0 || class >= len(p.lives) {
		return nil
	}
	return &p.lives[class]
}

// drop forgets a task that is settled and has no attempt out.
func (p *Placer) drop(t *task) {
	if !t.settled {
		return
	}
	for i := range t.attempts {
		if t.attempts[i].live {
			return
		}
	}
	delete(p.tasks, t.ID)
}

// same tells whether two machines stand in the same place of the given extent.
func same(at flaxshelf.TopologyDomain, a, b *machine) bool {
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

func (t *task) inFlight() *attempt {
	for i := range t.attempts {
		if t.attempts[i].live {
			return &t.attempts[i]
		}
	}
	return nil
}

func (t *task) mayHaveRun() bool {
	return slices.ContainsFunc(t.attempts, func(a attempt) bool { return !a.proved })
}

func (t *task) tried(m *machine) bool {
	return slices.ContainsFunc(t.attempts, func(a attempt) bool { return a.m == m })
}
