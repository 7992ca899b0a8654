package shard

import (
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// maxBacklogExcess determines when a core is overloaded, so that a submission in its turn is passed to the least loaded core
// instead: when its backlog exceeds twice that of the least loaded core by more than this number of inputs.
const maxBacklogExcess = 64

// Map maps the jobs, keys and attempts of one incarnation of a scheduler to cores. It is safe for concurrent use.
type Map struct {
	cores      int
	byService  bool     // all jobs of a service are on one core
	idPrefixes []string // by core: the prefix of the job IDs that it assigns in this incarnation

	mu      sync.RWMutex
	adopted map[string]int // by job ID: cores of jobs of former incarnations for which the hash of the ID gives another core
	keys    keyCache       // used if byService, because the key alone does not determine the core then
}

// New returns the map of one incarnation of a scheduler. If any class has a spread limit, all jobs of a service are on one
// core, which counts their tasks exactly. If they were divided in any other way, adopted tasks could exceed the limit.
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

// CoreForSubmission returns the core for a submission. A key always has the same core. Across incarnations of the scheduler,
// this relies on owners that use the same service when they retry. If neither a key nor a service determines the core, turn
// does, in round-robin order, but a submission for an overloaded core gets the least loaded core instead. turn should increase
// from call to call. backlog returns the number of inputs that wait for a core.
func (m *Map) CoreForSubmission(spec *scheduler.JobSpec, turn uint64, backlog func(core int) int) int {
	if m.cores == 1 {
		return 0
	}
	if core, ok := m.coreOfSpec(spec); ok {
		return core
	}
	return m.roundRobin(turn, backlog)
}

// coreOfSpec returns the core that the service or the key determines. It returns false if neither does.
func (m *Map) coreOfSpec(spec *scheduler.JobSpec) (core int, ok bool) {
	if m.byService && spec.Service != "" {
		return m.coreOfKey(spec.Key, m.hash(spec.Service)), true
	}
	if spec.Key != "" {
		return m.coreOfKey(spec.Key, m.hash(spec.Key)), true
	}
	return 0, false
}

// roundRobin returns the core whose turn it is, or the one with the smallest backlog if that core is overloaded.
func (m *Map) roundRobin(turn uint64, backlog func(core int) int) int {
	next := int(turn % uint64(m.cores))
	least := next
	for core := range m.cores {
		if backlog(core) < backlog(least) {
			least = core
		}
	}
	if backlog(next) > 2*backlog(least)+maxBacklogExcess {
		return least
	}
	return next
}

// coreOfKey returns the core for a submission with the given key, for which the hash of the service or of the key gives
// defaultCore. If byService is set, the first call for a key returns defaultCore, and later calls return the same core as the
// first while m.keys retains the key, whatever their defaultCore is: a key that is submitted again with another service must
// not start the same job on another core. If byService is not set, or the key is empty, the result is defaultCore.
func (m *Map) coreOfKey(key string, defaultCore int) int {
	if key == "" || !m.byService {
		return defaultCore
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.keys.coreOf(key, defaultCore)
}

func (m *Map) hash(s string) int { return int(xxhash.Sum64String(s) % uint64(m.cores)) }

// CoreOfJob returns the core of a job or of a job array.
func (m *Map) CoreOfJob(id string) int {
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

// coreOfPrefix returns the core that has assigned the ID in this incarnation, or -1 if none has.
func (m *Map) coreOfPrefix(id string) int {
	return slices.IndexFunc(m.idPrefixes, func(prefix string) bool { return strings.HasPrefix(id, prefix) })
}

// CoreOfAttempt returns the core of an attempt, whose ID is that of its job followed by two numbers.
func (m *Map) CoreOfAttempt(id string) int {
	job := id
	for range 2 {
		if i := strings.LastIndexByte(job, '/'); i >= 0 {
			job = job[:i]
		}
	}
	return m.CoreOfJob(job)
}

// SplitReport divides a node's report among the cores: each core gets a NodeConnected with its own jobs. A job of a former
// incarnation, which may have had another number of cores, is assigned to the core that the same submission would get, so
// that an owner that retries finds it and the spread limit of its service counts it. If neither a key nor a service determines
// the core, the job's ID does.
func (m *Map) SplitReport(up scheduler.NodeConnected) []scheduler.NodeConnected {
	if m.cores == 1 {
		return []scheduler.NodeConnected{up}
	}
	parts := make([]scheduler.NodeConnected, m.cores)
	for core := range parts {
		parts[core] = scheduler.NodeConnected{Node: up.Node, StartedAt: up.StartedAt, MayBeWarmingUp: up.MayBeWarmingUp}
	}
	for _, reported := range up.Accepted {
		core := m.coreOfReported(&reported)
		parts[core].Accepted = append(parts[core].Accepted, reported)
	}
	for _, ended := range up.Ended {
		core := m.CoreOfAttempt(ended.Attempt)
		parts[core].Ended = append(parts[core].Ended, ended)
	}
	return parts
}

// coreOfReported returns the core that has the job of a reported attempt or is to adopt it. It stores the core of an adopted job
// in m.adopted if the hash of the job's ID gives another core.
func (m *Map) coreOfReported(reported *scheduler.ReportedAttempt) int {
	if core := m.coreOfPrefix(reported.Job); core >= 0 {
		return core
	}
	byID := m.hash(reported.Job)
	core, ok := m.coreOfSpec(&reported.Spec)
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
