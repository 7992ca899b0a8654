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
	cfg       Config
	without   [bars]bool // taken out by a test
	src       *rand.PCG
	rng       *rand.Rand // of src
	index     index
	services  map[string]*service
	outs      []*machine // that are out, and may have come back since
	offs      int        // binds that left the history since it was pruned
	binds     uint64     // made so far
	now       Time
	born      Time
	started   bool
	steps     int
	out       []Action
	machines  map[string]*machine
	order     []*machine // by ID
	tasks     map[string]*task
	open      []*task // taken, not yet settled, in order of arrival
	spareOpen []*task
	history   []*bind // in order of time
	lives     []lifetime
	tenants   map[int]float64 // cores asked by our attempts and tasks, by tenant
	lag       float64         // smoothed seconds from offer to Placed
	lagDev    float64
	wakes     Time // the earliest wake still to come; 0: none
	askAt     Time // when to subscribe next; 0: not needed
	askFails  int
	unknown   Class
}

type machine struct {
	Machine
	hash                  uint64 // of its ID: the same at every scheduler
	listed                bool   // named by a list in this life of the scheduler
	goneAt                Time
	offers                []Time   // recent offers, kept while the machine may be cold
	health                         // of the machine as a whole
	classes               []health // and of each class there
	lack                  float64  // of full service, as our tasks there were last told while strained
	strained              Time     // until then: our tasks there are served badly or memory is short
	fullBar               Time     // until then it refuses tasks of fullSize or more
	fullSize              float64
	fulls                 int     // refusals in a row
	viewAt                Time    // when the list last told its free room
	window                int     // so many offers may wait there for their answer; 0: any number
	waiting               int     // our offers there without an answer yet
	lateIn                int     // the step for which lateCores and lateMemory hold
	lateCores, lateMemory float64 // asked by our binds that the list's word may lack
	newCores              float64 // asked by our binds since the list's last word
	newMemory             float64
	load                  LoadReport
	loadAt                Time
	services              map[string]*stay // our attempts and tasks there, by service
	cores                 float64          // asked by them
	memory                float64
	at                    int  // its number in the index; -1: none
	dirty                 bool // it waits for review
	due                   timerqueue.Item[*machine]
	zone, cell            *place  // nil: not listed
	binds                 []*bind // ours, in order; some may have left the history
}

// health is what outcomes say of a machine, or of a class there.
type health struct {
	bar      Time // no offers until then: it failed, was lost or could not be reached
	strikes  int
	failedAt Time
	servedAt Time
}

type attempt struct {
	m       *machine
	sent    Time
	live    bool // no Ended yet
	proved  bool // surely never ran
	done    bool
	placed  bool
	moving  bool // it was asked to leave
	history *bind
	// When it was last told how well it is served, and since when all that was told was bad.
	badAt, badSince Time
}

type task struct {
	Task
	class    *Class
	taken    Time
	attempts []attempt
	settled  bool // it has its final answer, or needs none
	placed   bool
	rank     int        // among the open tasks of this step
	errors   []*machine // that answered it with an error and are not blamed yet
}

// ranks bounds the ranks of open tasks.
const ranks = 4

// bind is one replayed offer: what was asked of which machine when, and the life drawn for it.
type bind struct {
	m             *machine
	at            Time
	class         int
	cores, memory float64
	hint          time.Duration
	off           bool // it left the history
	serial        uint64
}

// lifetime is what a class's lives add up to: a censored mean, see meanLife.
type lifetime struct {
	seen    time.Duration // by those that ended
	running int
	since   Time // the sum of the times from which the running ones are seen
	ended   int
}

func (p *Placer) newTask(spec Task) *task {
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
		m = &machine{goneAt: p.now, hash: hash(id), services: map[string]*stay{}, at: -1}
		m.due.Value = m
		m.classes = make([]health, len(p.cfg.Classes))
		m.Machine = Machine{ID: id, Kind: -1, State: Removed}
		p.machines[id] = m
		p.outs = append(p.outs, m)
		byID := func(m *machine, id string) int { return cmp.Compare(m.ID, id) }
		i, _ := slices.BinarySearchFunc(p.order, id, byID)
		p.order = slices.Insert(p.order, i, m)
		p.index.moved = true
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
	p.bound(b)
	t.attempts = append(t.attempts, attempt{m: m, sent: p.now, live: true, history: b})
	p.enter(t.Service, m)
	m.cores += t.Cores
	m.memory += t.Memory
	m.newCores += t.Cores
	m.newMemory += t.Memory
	p.lateBind(m, t)
	m.waiting++
	p.touch(m)
	p.tenants[t.Tenant] += t.Cores
}

func (p *Placer) release(t *task, m *machine) {
	p.leave(t.Service, m)
	p.touch(m)
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

// takeOff has a bind leave the history.
func (p *Placer) takeOff(b *bind) {
	if !b.off {
		b.off = true
		p.offs++
	}
}

// forgetMachine drops a machine that is out and has nothing of ours.
func (p *Placer) forgetMachine(m *machine) {
	delete(p.machines, m.ID)
	if i := slices.Index(p.order, m); i >= 0 {
		p.order = slices.Delete(p.order, i, i+1)
	}
	p.index.due.Remove(&m.due)
	p.index.moved, m.at = true, -1
}

// sortOpen brings the open tasks into the order of their ranks; those of one rank stay as they were.
func (p *Placer) sortOpen() {
	var count [ranks]int
	sorted, last := true, 0
	for _, t := range p.open {
		t.rank = p.rank(t)
		count[t.rank]++
		sorted, last = sorted && t.rank >= last, t.rank
	}
	if p.without[ArrivalOrder] {
		slices.SortStableFunc(p.open, func(a, b *task) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.taken, a.taken))
		})
		return
	}
	if sorted {
		return
	}
	for i, n := 0, 0; i < ranks; i++ {
		count[i], n = n, n+count[i]
	}
	p.spareOpen = append(p.spareOpen[:0], p.open...)
	for _, t := range p.spareOpen {
		p.open[count[t.rank]] = t
		count[t.rank]++
	}
	clear(p.spareOpen)
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
func same(at TopologyDomain, a, b *machine) bool {
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

// size is the share of machine m that task t asks for: the larger of cores and memory.
func (p *Placer) size(t *task, m *machine) float64 {
	if m.Kind < 0 {
		return 0
	}
	k := p.cfg.Kinds[m.Kind]
	return max(t.Cores/k.Cores, t.Memory/k.Memory)
}

// told is the load that a machine's last report tells; 0 without a fresh one.
func (p *Placer) told(m *machine) float64 {
	if !m.load.Present || p.now-m.loadAt > reportFresh || m.Kind < 0 {
		return 0
	}
	k, load := p.cfg.Kinds[m.Kind], 0.0
	if m.load.HasCores {
		load = max(load, 1-m.load.FreeCores/k.Cores)
	}
	if m.load.HasMemory {
		load = max(load, 1-m.load.FreeMemory/k.Memory)
	}
	return load
}

// asked is the share of m that all schedulers together have asked for, by the list's word.
func (p *Placer) asked(m *machine) float64 {
	k := p.cfg.Kinds[m.Kind]
	return max((k.Cores-m.FreeCores)/k.Cores, (k.Memory-m.FreeMemory)/k.Memory)
}

// report keeps what a machine told of its load.
func (p *Placer) report(m *machine, l LoadReport) {
	if l.Present {
		m.load, m.loadAt = l, p.now
		p.touch(m)
	}
}

// recent is the history that counts: at most maxHistory binds, also within a step that brings thousands.
func (p *Placer) recent() []*bind { return p.history[max(0, len(p.history)-maxHistory):] }

// replayed is a bind of the history in the vote in hand.
type replayed struct {
	n             int32 // the candidate
	cores, memory float64
	alive         uint64 // chance that the drawn life reaches to now, in 1<<53rds
}
