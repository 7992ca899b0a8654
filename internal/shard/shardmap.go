package shard

import (
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// maxBacklogLead is how many more inputs than twice those of the least loaded core may wait for a core before it is
// passed over.
const maxBacklogLead = 64

// Map knows which core has what, for one incarnation of a scheduler. It is safe for concurrent use.
type Map struct {
	cores      int
	byService  bool     // all tasks of a service go to one core
	idPrefixes []string // of the IDs that each core of this incarnation gives

	mu      sync.RWMutex
	adopted map[string]int // core of each job of a former incarnation that its ID does not lead to
	keys    keyCache       // used where the service decides, and a key alone does not lead to the core
}

// New makes the map of one incarnation of a scheduler. Where the spread of any class is bounded, all tasks of a service
// go to one core, which counts them exactly; no other division keeps the bound whatever is adopted.
func New(name string, cfg scheduler.Config, cores int) *Map {
	isSpread := func(class flaxshelf.Class) bool { return class.SpreadDomain != flaxshelf.NoDomain }
	m := &Map{
		cores:     cores,
		byService: cores > 1 && slices.ContainsFunc(cfg.Module.Classes, isSpread),
		adopted:   map[string]int{},
		keys:      newKeyCache(cfg.Limits.MaxPending + cfg.Limits.MaxRunning + cfg.Limits.MaxFinished),
	}
	for core := range cores {
		m.idPrefixes = append(m.idPrefixes, scheduler.IDPrefix(CoreName(name, core, cores), cfg.StartedAt))
	}
	return m
}

// Submit returns the core for a submission. A key always leads to the same core, also in another incarnation of the
// scheduler, since an owner that retries names the same service. Work without a key or a service goes round the cores
// by turn, past a core that is overloaded: backlog returns how many inputs wait for a core.
func (m *Map) Submit(spec *scheduler.Spec, turn uint64, backlog func(core int) int) int {
	if m.cores == 1 {
		return 0
	}
	if core, ok := m.coreOfWork(spec); ok {
		return core
	}
	return m.roundRobin(turn, backlog)
}

// coreOfWork returns the core that a service or a key leads to; false for work without either.
func (m *Map) coreOfWork(spec *scheduler.Spec) (core int, ok bool) {
	if m.byService && spec.Service != "" {
		return m.coreOfKey(spec.Key, m.hash(spec.Service)), true
	}
	if spec.Key != "" {
		return m.coreOfKey(spec.Key, m.hash(spec.Key)), true
	}
	return 0, false
}

func (m *Map) roundRobin(turn uint64, backlog func(core int) int) int {
	next := int(turn % uint64(m.cores))
	least := next
	for core := range m.cores {
		if backlog(core) < backlog(least) {
			least = core
		}
	}
	if backlog(next) > 2*backlog(least)+maxBacklogLead {
		return least
	}
	return next
}

// coreOfKey returns the core that a key has led to before, or else the default, which it leads to from now on.
// Otherwise a key that is used again with another service would start the work twice.
func (m *Map) coreOfKey(key string, defaultCore int) int {
	if key == "" || !m.byService {
		return defaultCore
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.keys.coreOf(key, defaultCore)
}

func (m *Map) hash(s string) int { return int(xxhash.Sum64String(s) % uint64(m.cores)) }

// Job returns the core of a job or an array.
func (m *Map) Job(id string) int {
	if core := m.coreOfPrefix(id); core >= 0 {
		return core
	}
	m.mu.RLock()
	core, ok := m.adopted[id]
	m.mu.RUnlock()
	if ok {
		return core
	}
	return m.hash(id)
}

// coreOfPrefix returns the core of this incarnation that gave the ID; -1 for none.
func (m *Map) coreOfPrefix(id string) int {
	return slices.IndexFunc(m.idPrefixes, func(prefix string) bool { return strings.HasPrefix(id, prefix) })
}

// Attempt returns the core of an attempt, whose ID is that of its job with two numbers.
func (m *Map) Attempt(id string) int {
	job := id
	for range 2 {
		if i := strings.LastIndexByte(job, '/'); i >= 0 {
			job = job[:i]
		}
	}
	return m.Job(job)
}

// Split divides a node's report of what it has: each core is notified that the node is up, with its own jobs. Jobs of a
// former incarnation, which may have had another number of cores, go where the same work would be submitted to, since
// an owner that retries must find them and the spread of their service counts them; others go by their IDs.
func (m *Map) Split(up scheduler.NodeUp) []scheduler.NodeUp {
	if m.cores == 1 {
		return []scheduler.NodeUp{up}
	}
	parts := make([]scheduler.NodeUp, m.cores)
	for core := range parts {
		parts[core] = scheduler.NodeUp{Node: up.Node, Started: up.Started, MayBeCold: up.MayBeCold}
	}
	for _, reported := range up.Running {
		core := m.coreOfRunning(&reported)
		parts[core].Running = append(parts[core].Running, reported)
	}
	for _, ended := range up.Ended {
		core := m.Attempt(ended.Attempt)
		parts[core].Ended = append(parts[core].Ended, ended)
	}
	return parts
}

// coreOfRunning returns the core that has or adopts the job of an attempt, and remembers it where the ID leads elsewhere.
func (m *Map) coreOfRunning(reported *scheduler.RunningAttempt) int {
	if core := m.coreOfPrefix(reported.Job); core >= 0 {
		return core
	}
	byID := m.hash(reported.Job)
	core, ok := m.coreOfWork(&reported.Spec)
	if !ok {
		return byID
	}
	if core != byID {
		m.mu.Lock()
		m.adopted[reported.Job] = core
		m.mu.Unlock()
	}
	return core
}
