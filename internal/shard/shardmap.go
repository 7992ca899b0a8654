package shard

import (
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// maxBacklogLead bounds the backlog of a core that gets work: the core is skipped if its backlog exceeds twice that of the
// least loaded core by more than this number of inputs.
const maxBacklogLead = 64

// Map maps jobs, keys and attempts to cores, for one incarnation of a scheduler. It is safe for concurrent use.
type Map struct {
	cores      int
	byService  bool     // all tasks of a service are on one core
	idPrefixes []string // of the IDs that each core of this incarnation assigns

	mu      sync.RWMutex
	adopted map[string]int // cores of the jobs of former incarnations that are not on the core of their ID's hash
	keys    keyCache       // used with byService, where the key alone does not determine the core
}

// New returns the map of one incarnation of a scheduler. If any class has a spread limit, all tasks of a service are on one
// core, which counts them exactly; with any other division, adopted tasks could exceed the limit.
func New(name string, cfg scheduler.Config, cores int) *Map {
	isSpread := func(class flaxshelf.TaskClass) bool { return class.SpreadDomain != flaxshelf.NoDomain }
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

// Submit returns the core for a submission. A key always has the same core, in other incarnations of the scheduler too,
// since an owner that retries uses the same service. Work without a key or a service is distributed round-robin by turn, and
// skips overloaded cores: backlog returns the number of inputs that wait for a core.
func (m *Map) Submit(spec *scheduler.JobSpec, turn uint64, backlog func(core int) int) int {
	if m.cores == 1 {
		return 0
	}
	if core, ok := m.coreOfWork(spec); ok {
		return core
	}
	return m.roundRobin(turn, backlog)
}

// coreOfWork returns the core of a service or a key. It returns false for work without either.
func (m *Map) coreOfWork(spec *scheduler.JobSpec) (core int, ok bool) {
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

// coreOfKey returns the core that the key had before, or else assigns the default to it. Otherwise a key that is submitted
// again with another service would start the work twice.
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

// coreOfPrefix returns the core of this incarnation that has assigned the ID, or -1 if there is none.
func (m *Map) coreOfPrefix(id string) int {
	return slices.IndexFunc(m.idPrefixes, func(prefix string) bool { return strings.HasPrefix(id, prefix) })
}

// Attempt returns the core of an attempt, whose ID consists of its job's ID and two numbers.
func (m *Map) Attempt(id string) int {
	job := id
	for range 2 {
		if i := strings.LastIndexByte(job, '/'); i >= 0 {
			job = job[:i]
		}
	}
	return m.Job(job)
}

// Split divides a node's report among the cores: each core gets a NodeUp with its own jobs. A job of a former incarnation,
// which may have had another number of cores, is assigned to the core to which the same work would be submitted, so that an
// owner that retries finds it and the spread limit of its service counts it. Without a key or a service it is assigned by
// its ID.
func (m *Map) Split(up scheduler.NodeConnected) []scheduler.NodeConnected {
	if m.cores == 1 {
		return []scheduler.NodeConnected{up}
	}
	parts := make([]scheduler.NodeConnected, m.cores)
	for core := range parts {
		parts[core] = scheduler.NodeConnected{Node: up.Node, StartedAt: up.StartedAt, MayBeWarmingUp: up.MayBeWarmingUp}
	}
	for _, reported := range up.Accepted {
		core := m.coreOfRunning(&reported)
		parts[core].Accepted = append(parts[core].Accepted, reported)
	}
	for _, ended := range up.Ended {
		core := m.Attempt(ended.Attempt)
		parts[core].Ended = append(parts[core].Ended, ended)
	}
	return parts
}

// coreOfRunning returns the core that has or adopts the job of an attempt, and stores it if the ID determines another one.
func (m *Map) coreOfRunning(reported *scheduler.ReportedAttempt) int {
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
