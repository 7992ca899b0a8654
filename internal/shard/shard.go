// Package shard owns how one scheduler's work is divided among several cores: which core has a job, a key or an attempt,
// what a node's word means to each, and how their answers become one. It must not do I/O, and it chooses no machine.
//
// Each core is a scheduler.Core with a module of its own, to the module one scheduler of several. To clients and nodes
// they are one: one name, one connection to each node, one space of IDs, keys and sessions.
package shard

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// MaxCores is the most cores of one scheduler.
const MaxCores = 64

// Map tells which core has what. It is safe for concurrent use.
type Map struct {
	n         int
	byService bool
	prefixes  []string // of the IDs that each core of this life gives

	mu      sync.RWMutex
	adopted map[string]int // jobs of former lives whose core their ID does not tell
	keys    map[string]int // where a service decided: the cores of keys, the newer half
	older   map[string]int
	most    int // of keys
}

// New makes the map of one life of a scheduler. Where a class's spread is bounded, all tasks of a service go to one core,
// which then counts them as a scheduler of one core does; no other division keeps the bound whatever is handed over.
func New(name string, cfg scheduler.Config, n int) *Map {
	m := &Map{n: n, adopted: map[string]int{}, keys: map[string]int{},
		most: cfg.Limits.MaxPending + cfg.Limits.MaxRunning + cfg.Limits.MaxFinished}
	m.byService = n > 1 && slices.ContainsFunc(cfg.Module.Classes,
		func(c flaxshelf.Class) bool { return c.SpreadDomain != flaxshelf.NoDomain })
	for i := range n {
		m.prefixes = append(m.prefixes, CoreName(name, i, n)+"."+strconv.FormatInt(int64(cfg.StartedAt/time.Millisecond), 36)+".")
	}
	return m
}

// CoreName is the name of core i of n; the scheduler's own where there is one.
func CoreName(name string, i, n int) string {
	if n == 1 {
		return name
	}
	return name + "~" + strconv.Itoa(i)
}

func (m *Map) hash(s string) int { return int(xxhash.Sum64String(s) % uint64(m.n)) }

// Submit is the core for a submission. A key always comes to the same one, also in another life of the scheduler, since
// an owner who asks again names the same service. Work without either goes to the core whose turn it is, unless that is
// behind: waiting tells how many inputs wait for a core.
func (m *Map) Submit(s *scheduler.Spec, turn uint64, waiting func(core int) int) int {
	switch {
	case m.n == 1:
		return 0
	case m.byService && s.Service != "":
		return m.ofKey(s.Key, m.hash(s.Service))
	case s.Key != "":
		return m.ofKey(s.Key, m.hash(s.Key))
	}
	first := int(turn % uint64(m.n))
	least := first
	for i := range m.n {
		if waiting(i) < waiting(least) {
			least = i
		}
	}
	if waiting(first) > 2*waiting(least)+behind {
		return least
	}
	return first
}

// behind is how many inputs may wait for a core before it is passed over, beside twice those of the freest.
const behind = 64

// ofKey is the core that a key has come to before, or else core, where it belongs from now on. The newest keys are kept,
// as many as a scheduler keeps jobs. Risk covered: a key that is used again with another service would start the work
// twice.
func (m *Map) ofKey(key string, core int) int {
	if key == "" || !m.byService {
		return core
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, ok := m.keys[key]; ok {
		return old
	}
	if old, ok := m.older[key]; ok {
		core = old
	}
	if len(m.keys) >= m.most {
		m.keys, m.older = map[string]int{}, m.keys
	}
	m.keys[key] = core
	return core
}

// Job is the core of a job or an array.
func (m *Map) Job(id string) int {
	for i, p := range m.prefixes {
		if strings.HasPrefix(id, p) {
			return i
		}
	}
	m.mu.RLock()
	core, ok := m.adopted[id]
	m.mu.RUnlock()
	if ok {
		return core
	}
	return m.hash(id)
}

// Attempt is the core of an attempt, which is named after its job.
func (m *Map) Attempt(id string) int {
	job := id
	for range 2 {
		if i := strings.LastIndexByte(job, '/'); i >= 0 {
			job = job[:i]
		}
	}
	return m.Job(job)
}

// Split shares out what a node holds: each core is told that the node is up, and of its own jobs. Jobs of a former life
// go where the same work would be submitted to, since an owner who asks again must find them and their service's spread
// counts them, and else by their IDs. Lives may have had other numbers of cores.
func (m *Map) Split(up scheduler.NodeUp) []scheduler.NodeUp {
	if m.n == 1 {
		return []scheduler.NodeUp{up}
	}
	parts := make([]scheduler.NodeUp, m.n)
	for i := range parts {
		parts[i] = scheduler.NodeUp{Node: up.Node, Started: up.Started, MayBeCold: up.MayBeCold}
	}
	for _, h := range up.Running {
		core := m.Job(h.Job)
		if !m.ours(h.Job) {
			core = m.hash(h.Job)
			if m.byService && h.Spec.Service != "" {
				core = m.ofKey(h.Spec.Key, m.hash(h.Spec.Service))
			} else if h.Spec.Key != "" {
				core = m.ofKey(h.Spec.Key, m.hash(h.Spec.Key))
			}
			if core != m.hash(h.Job) {
				m.mu.Lock()
				m.adopted[h.Job] = core
				m.mu.Unlock()
			}
		}
		parts[core].Running = append(parts[core].Running, h)
	}
	for _, e := range up.Ended {
		core := m.Attempt(e.Attempt)
		parts[core].Ended = append(parts[core].Ended, e)
	}
	return parts
}

func (m *Map) ours(id string) bool {
	return slices.ContainsFunc(m.prefixes, func(p string) bool { return strings.HasPrefix(id, p) })
}

// ---- Configuration.

// Check tells why a scheduler can't have n cores; nil where it can.
func Check(n int) error {
	if n < 1 || n > MaxCores {
		return fmt.Errorf("is %d, expected 1 to %d", n, MaxCores)
	}
	return nil
}

// Divide is the configuration of core i of n: to the module one of n times as many schedulers, with its share of the
// bounds. Cold budgets divide themselves by the number of schedulers.
func Divide(c scheduler.Config, i, n int) scheduler.Config {
	if n == 1 {
		return c
	}
	share := func(all int) int { return max((all+n-1-i)/n, 1) }
	c.Name = CoreName(c.Name, i, n)
	c.Seed += uint64(i) * 0x9e3779b97f4a7c15
	c.Module.Index, c.Module.Schedulers = c.Module.Index*n+i, max(c.Module.Schedulers, 1)*n
	c.Limits.MaxPending, c.Limits.MaxRunning = share(c.Limits.MaxPending), share(c.Limits.MaxRunning)
	c.Limits.MaxFinished = share(c.Limits.MaxFinished)
	return c
}

// ---- Requests that concern all cores.

// Everyone tells whether an input concerns all cores, or one, which it then names. Session commands concern all, and
// Leads tells that core 0 takes them first.
func (m *Map) Everyone(in scheduler.Input) (core int, all bool) {
	if m.n == 1 {
		return 0, false
	}
	switch in := in.(type) {
	case scheduler.Command:
		return m.Job(in.Job), false
	case scheduler.Query:
		return m.Job(in.Job), in.Job == ""
	case scheduler.Watch:
		return m.Job(in.Job), in.Job == ""
	case scheduler.SessionCommand:
		return 0, in.Verb == scheduler.Create || in.Verb == scheduler.Destroy
	case scheduler.Machines:
		return 0, true
	}
	return 0, false
}

// IsAnsweredByFirstCore tells that core 0 takes an input first, whose answer decides whether and in which order the others
// get it: else two cores might hear of a session's end and its new beginning in two orders.
func IsAnsweredByFirstCore(in scheduler.Input) bool {
	_, ok := in.(scheduler.SessionCommand)
	return ok
}

// Merge makes one answer of those of all cores to one input. An error of any is the answer.
func Merge(in scheduler.Input, answers []scheduler.Answer) scheduler.Answer {
	out := answers[0]
	for _, a := range answers {
		if a.Err != nil {
			return a
		}
	}
	switch in := in.(type) {
	case scheduler.Query:
		out.Jobs = nil
		for _, a := range answers {
			out.Jobs = append(out.Jobs, a.Jobs...)
		}
		slices.SortFunc(out.Jobs, func(a, b scheduler.Info) int { return cmp.Compare(a.ID, b.ID) })
		if in.Limit > 0 {
			out.Jobs = out.Jobs[:min(in.Limit, len(out.Jobs))]
		}
	case scheduler.Machines:
		out.Machines = slices.Clone(out.Machines)
		at := map[string]int{}
		for i, v := range out.Machines {
			at[v.ID] = i
		}
		for _, a := range answers[1:] {
			for _, v := range a.Machines {
				if i, ok := at[v.ID]; ok {
					out.Machines[i].Jobs += v.Jobs
					out.Machines[i].Connected = out.Machines[i].Connected || v.Connected
				} else {
					at[v.ID] = len(out.Machines)
					out.Machines = append(out.Machines, v)
				}
			}
		}
		slices.SortFunc(out.Machines, func(a, b scheduler.MachineInfo) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}

// ---- Positions in the stream of all cores' changes.

// Position is the latest revision of each core that a stream has told.
type Position []uint64

// ParsePosition reads a position as String writes it; of another number of cores it tells nothing.
func ParsePosition(s string, n int) Position {
	p := make(Position, n)
	words := strings.Split(s, "-")
	if len(words) != n {
		return p
	}
	for i, w := range words {
		v, err := strconv.ParseUint(w, 10, 64)
		if err != nil {
			return make(Position, n)
		}
		p[i] = v
	}
	return p
}

func (p Position) String() string {
	var b strings.Builder
	for i, v := range p {
		if i > 0 {
			b.WriteByte('-')
		}
		b.WriteString(strconv.FormatUint(v, 10))
	}
	return b.String()
}

// ---- Signs asked of peers.

// Token is a core's token of a sign as a peer is given it, Untoken what it was.
func Token(core int, token uint64) uint64 { return token*MaxCores + uint64(core) }

// Untoken is the core and its token.
func Untoken(t uint64) (core int, token uint64) { return int(t % MaxCores), t / MaxCores }
