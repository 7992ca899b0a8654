package flaxshelf

// The machines by number, as sets of bits and columns of figures: a choice then reads a word for 64 machines instead
// of a record for each. Nothing is decided here: Placer.review says what is in a set, and the bars say what follows.
// docs/scale.md weighs these structures against plain scans.

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

// index is kept up to date by refresh, which looks again at the machines that were touched.
type index struct {
	renumber     bool       // machines have come or gone since they were numbered
	dirty        []*machine // touched since review looked at them
	reviewTimers timerqueue.Heap[*machine]
	fleetVersion int // grows when a machine comes, goes or changes its kind: rankings of homes are void then

	slowStarting, failing, overloaded, occupied, rejecting, offerLimited, reporting *bitset.BitSet
	activeByKind, failingByClass                                                    []*bitset.BitSet // in service by kind; failing by class
	zones                                                                           map[string]*domain
	cells                                                                           map[int]*domain
	eligible, scratch                                                               *bitset.BitSet // in use by the choice in hand

	kindWeights  []float64 // of each kind, the smaller of its shares of the largest cores and memory
	idHashes     []uint64
	kindOf       []int32   // -1: not listed or of no known kind
	reportedLoad []float64 // load by the last fresh report
	externalLoad []float64
	candidateOf  []int32 // the candidate of the vote in hand, counted from 1

	// Where the list tells free room:
	freeCores, freeMemory           []float64 // by its word and the settings, less what it may lack
	listedCores, listedMemory       []float64 // by its word and the settings
	requestedCores, requestedMemory []float64 // asked of it, terms of the fleet's sum
	requestedShare                  []float64
	byRequestedShare                []int32 // the machines by asked, most first, then by number
	rankChanged                     []int32 // numbers whose place in byAsked is void
	totalCores, totalMemory         float64 // sums of the terms
	totalsValid                     bool

	unlistedStep     int // the step for which the late sums hold
	unlistedHistory  int // length of the history when they were made
	unlistedMachines []*machine
	unlistedChecked  *bitset.BitSet            // asked for their room in this step
	infeasible       map[equivalenceClass]bool // tasks that ask so find nothing, until something is offered
	candidates       []candidate               // of the choice in hand
	hashColumns      []hashColumn              // by kind, as of packedShape
	topThresholds    []uint64                  // by kind: the least hash of those that rank among the first few
	columnsVersion   int
	topBuffer        []rankedMachine
	replayBuffer     []replayedPlacement
	placementBuffer  []*placement
}

// domain is a cell or zone.
type domain struct {
	machines *bitset.BitSet // its listed machines
}

// equivalenceClass is all of a task's ask on which it depends whether something is left for it before its first offer.
type equivalenceClass struct {
	class         int
	service       string // only where spread is bounded
	cores, memory float64
	nearDeadline  bool
}

// service is what is kept of one service.
type service struct {
	machines    []int32 // machines that have our attempts and tasks of it; void while the index has moved
	zones       map[*domain]int
	cells       map[*domain]int
	hash        uint64
	topMachines []int32 // the best ranked machines, best first, as of shape
	topVersion  int
}

// residency is a service's attempts and tasks on one machine.
type residency struct {
	count    int
	position int // in service.held
	service  *service
}

// maxIdleServices bounds the services that are remembered though they have nothing out.
const maxIdleServices = 4096

func newIndex(c *Config) index {
	x := index{fleetVersion: 1, zones: map[string]*domain{}, cells: map[int]*domain{}, infeasible: map[equivalenceClass]bool{}}
	for _, k := range c.Kinds {
		x.kindWeights = append(x.kindWeights, kindWeight(k, c.Kinds))
	}
	x.activeByKind, x.failingByClass = make([]*bitset.BitSet, len(c.Kinds)), make([]*bitset.BitSet, len(c.Classes))
	x.resize(0)
	return x
}

// resize makes all sets and columns anew for n machines.
func (x *index) resize(n int) {
	set := func() *bitset.BitSet { return bitset.MustNew(uint(n)) }
	for _, s := range []**bitset.BitSet{&x.slowStarting, &x.failing, &x.overloaded, &x.occupied, &x.rejecting, &x.offerLimited,
		&x.reporting, &x.eligible, &x.scratch, &x.unlistedChecked} {
		*s = set()
	}
	for i := range x.activeByKind {
		x.activeByKind[i] = set()
	}
	for i := range x.failingByClass {
		x.failingByClass[i] = set()
	}
	for _, f := range []*[]float64{&x.reportedLoad, &x.externalLoad, &x.freeCores, &x.freeMemory, &x.listedCores, &x.listedMemory,
		&x.requestedCores, &x.requestedMemory, &x.requestedShare} {
		*f = make([]float64, n)
	}
	x.idHashes, x.kindOf, x.candidateOf = make([]uint64, n), make([]int32, n), make([]int32, n)
	x.byRequestedShare, x.rankChanged = nil, nil
	clear(x.zones)
	clear(x.cells)
	x.unlistedStep = -1
}

// requestReview has a machine looked at again before the next choice.
func (p *Placer) requestReview(m *machine) {
	if !m.awaitsReview {
		m.awaitsReview = true
		p.index.dirty = append(p.index.dirty, m)
	}
}

// reviewExpired touches the machines of which some bar has ended by now.
func (p *Placer) reviewExpired() {
	for i := p.index.reviewTimers.PopDue(p.now); i != nil; i = p.index.reviewTimers.PopDue(p.now) {
		p.requestReview(i.Value)
	}
}

// refresh brings the index up to date.
func (p *Placer) refresh() {
	x := &p.index
	if x.renumber {
		p.renumberMachines()
	}
	if len(x.dirty) == 0 {
		return
	}
	for _, m := range x.dirty {
		m.awaitsReview = false
		if m.number >= 0 {
			p.reviewMachine(m)
		}
	}
	x.dirty, x.totalsValid = x.dirty[:0], false
	clear(x.infeasible)
}

// renumberMachines numbers the machines in the order of their IDs.
func (p *Placer) renumberMachines() {
	x := &p.index
	x.renumber = false
	x.fleetVersion++
	x.resize(len(p.machinesByID))
	for _, s := range p.services {
		s.machines = s.machines[:0]
		clear(s.zones)
		clear(s.cells)
	}
	for i, m := range p.machinesByID {
		m.number, m.zoneDomain, m.cellDomain = i, nil, nil
		x.idHashes[i] = m.idHash
		x.byRequestedShare = append(x.byRequestedShare, int32(i))
		for _, s := range m.residencies { // each has a list of its own, so their order does not matter
			s.position = len(s.service.machines)
			s.service.machines = append(s.service.machines, int32(i))
		}
		p.requestReview(m)
		p.updateDomains(m)
	}
	x.rankChanged = slices.Clone(x.byRequestedShare)
}

// updateDomains writes down where the list says that a machine stands, and counts its tasks there.
func (p *Placer) updateDomains(m *machine) {
	x := &p.index
	if x.renumber {
		return
	}
	var zone, cell *domain
	if m.listed {
		zone, cell = domainOf(x.zones, m.Zone, len(p.machinesByID)), domainOf(x.cells, m.Cell, len(p.machinesByID))
	}
	move := func(at **domain, to *domain, counts func(*service) map[*domain]int) {
		if *at == to {
			return
		}
		for _, s := range m.residencies { // sums, in any order
			addCount(counts(s.service), *at, -s.count)
			addCount(counts(s.service), to, s.count)
		}
		if *at != nil {
			(*at).machines.Clear(uint(m.number))
		}
		if to != nil {
			to.machines.Set(uint(m.number))
		}
		*at = to
	}
	move(&m.zoneDomain, zone, func(s *service) map[*domain]int { return s.zones })
	move(&m.cellDomain, cell, func(s *service) map[*domain]int { return s.cells })
}

func domainOf[K comparable](places map[K]*domain, name K, n int) *domain {
	at := places[name]
	if at == nil {
		at = &domain{machines: bitset.MustNew(uint(n))}
		places[name] = at
	}
	return at
}

func addCount(counts map[*domain]int, at *domain, n int) {
	if at == nil {
		return
	}
	if counts[at] += n; counts[at] == 0 {
		delete(counts, at)
	}
}

// findOrAddService finds or makes the record of a service.
func (p *Placer) findOrAddService(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{zones: map[*domain]int{}, cells: map[*domain]int{}, hash: hash(name)}
		p.services[name] = s
	}
	return s
}

// addResidency counts one more attempt or task of a service on m, leave one less.
func (p *Placer) addResidency(name string, m *machine) {
	s := m.residencies[name]
	if s == nil {
		s = &residency{service: p.findOrAddService(name), position: -1}
		m.residencies[name] = s
		if !p.index.renumber {
			s.position = len(s.service.machines)
			s.service.machines = append(s.service.machines, int32(m.number))
		}
	}
	s.count++
	addCount(s.service.zones, m.zoneDomain, 1)
	addCount(s.service.cells, m.cellDomain, 1)
}

func (p *Placer) removeResidency(name string, m *machine) {
	s := m.residencies[name]
	if s == nil {
		return
	}
	addCount(s.service.zones, m.zoneDomain, -1)
	addCount(s.service.cells, m.cellDomain, -1)
	if s.count--; s.count > 0 {
		return
	}
	delete(m.residencies, name)
	if !p.index.renumber {
		held := s.service.machines
		last := held[len(held)-1]
		held[s.position] = last
		p.machinesByID[last].residencies[name].setPosition(s.position)
		s.service.machines = held[:len(held)-1]
	}
	if len(s.service.machines) == 0 && len(p.services) > maxIdleServices && !p.index.renumber {
		delete(p.services, name)
	}
}

// setPosition is for the stay that took another's place; nil where that was the last one itself.
func (s *residency) setPosition(pos int) {
	if s != nil {
		s.position = pos
	}
}

// setMember writes whether number i is in a set.
func setMember(s *bitset.BitSet, i int, in bool) { s.SetTo(uint(i), in) }

// updateColumns writes the figures of m: what the list's word means in the settings' measures.
func (p *Placer) updateColumns(m *machine, kind int) {
	x, i := &p.index, m.number
	x.requestedCores[i], x.requestedMemory[i] = 0, 0
	if kind >= 0 {
		x.externalLoad[i] = p.externalLoad(m)
	}
	if kind < 0 || !p.cfg.ListsFreeCapacity {
		return
	}
	k := p.cfg.Kinds[kind]
	x.listedCores[i] = m.FreeCores + (p.cfg.CoreOvercommit-1)*k.Cores
	x.listedMemory[i] = m.FreeMemory + (p.cfg.MemoryOvercommit-1)*k.Memory
	if m.State != Removed {
		x.requestedCores[i] = k.Cores - m.FreeCores + m.coresSinceListed
		x.requestedMemory[i] = k.Memory - m.FreeMemory + m.memorySinceListed
	}
	if asked := p.requestedShare(m); asked != x.requestedShare[i] {
		x.requestedShare[i] = asked
		x.rankChanged = append(x.rankChanged, int32(i))
	}
	if m.unlistedStep != x.unlistedStep {
		m.unlistedCores, m.unlistedMemory = 0, 0
	}
	x.updateFreeCapacity(m)
}

// scheduleReview has m looked at when the time has come; not at all for the end of time.
func (x *index) scheduleReview(m *machine, at Time) {
	if at < math.MaxInt64 {
		x.reviewTimers.Set(&m.reviewTimer, at)
	} else {
		x.reviewTimers.Remove(&m.reviewTimer)
	}
}

// forEachCommon calls do for each number that is in a and in b, in order. do may change either set at its own number.
func forEachCommon(a, b *bitset.BitSet, do func(i int)) {
	x, y := a.Words(), b.Words()
	for w := range x {
		for word := x[w] & y[w]; word != 0; word &= word - 1 {
			do(w<<6 + bits.TrailingZeros64(word))
		}
	}
}

// addLackingCapacity adds to out the numbers of left that have less room than asked.
func (x *index) addLackingCapacity(left, out *bitset.BitSet, cores, memory float64) {
	from, to := left.Words(), out.Words()
	for w := range from {
		word, lacks := from[w]&^to[w], uint64(0)
		for ; word != 0; word &= word - 1 {
			i := w<<6 + bits.TrailingZeros64(word)
			if !(x.freeCores[i] >= cores && x.freeMemory[i] >= memory) {
				lacks |= word & -word
			}
		}
		to[w] |= lacks
	}
}

// totals is what the fleet's listed machines are asked for in all. The terms are added in the order of the machines, so
// that the sum is the same to the last bit whatever changed since.
func (x *index) totals() (cores, memory float64) {
	if !x.totalsValid {
		x.totalsValid, x.totalCores, x.totalMemory = true, 0, 0
		for i, c := range x.requestedCores {
			x.totalCores += c
			x.totalMemory += x.requestedMemory[i]
		}
	}
	return x.totalCores, x.totalMemory
}

// rankedByRequestedShare is the machines by asked, most first. Those that changed are taken out and merged in again.
func (x *index) rankedByRequestedShare() []int32 {
	if len(x.rankChanged) == 0 {
		return x.byRequestedShare
	}
	order := func(a, b int32) int {
		return cmp.Or(cmp.Compare(x.requestedShare[b], x.requestedShare[a]), cmp.Compare(a, b))
	}
	slices.Sort(x.rankChanged)
	changed := slices.Compact(x.rankChanged)
	if len(changed) > len(x.byRequestedShare)/8 {
		slices.SortFunc(x.byRequestedShare, order)
	} else {
		old := x.scratch.ClearAll()
		for _, i := range changed {
			old.Set(uint(i))
		}
		kept := slices.DeleteFunc(x.byRequestedShare, func(i int32) bool { return old.Test(uint(i)) })
		slices.SortFunc(changed, order)
		merged := make([]int32, 0, len(kept)+len(changed))
		for len(kept) > 0 && len(changed) > 0 {
			if order(kept[0], changed[0]) < 0 {
				merged, kept = append(merged, kept[0]), kept[1:]
			} else {
				merged, changed = append(merged, changed[0]), changed[1:]
			}
		}
		x.byRequestedShare = append(append(merged, kept...), changed...)
	}
	x.rankChanged = x.rankChanged[:0]
	return x.byRequestedShare
}

// ---- Ranks of homes.

// topAffinityCount is how many of a service's best machines are kept by rank.
const topAffinityCount = 12

// affinity orders machines as homes of a service, see rank: among machines of one weight u alone tells.
type affinity struct{ hashValue, weight float64 }

func (x *index) affinityOf(s *service, i int32) affinity {
	weight := 1.0
	if k := x.kindOf[i]; k >= 0 {
		weight = x.kindWeights[k]
	}
	return affinity{float64(mix(x.idHashes[i]^s.hash)>>11 + 1), weight}
}

// compare is above 0 where k ranks before o.
func (k affinity) compare(o affinity) int {
	if k.weight == o.weight {
		return cmp.Compare(k.hashValue, o.hashValue)
	}
	return cmp.Compare(k.score(), o.score())
}

// bestTwo names the two machines of left that rank first as homes of s; -1 where there are fewer.
func (x *index) bestTwo(s *service, left *bitset.BitSet) (first, second int32) {
	if s.topVersion != x.fleetVersion {
		x.rankTopMachines(s)
	}
	first, second = -1, -1
	for _, i := range s.topMachines {
		if !left.Test(uint(i)) {
			continue
		}
		if first >= 0 {
			return first, i
		}
		first = i
	}
	// Few of the best are left: all that are left are looked at.
	first = -1
	var a, b affinity
	forEachCommon(left, left, func(n int) {
		i := int32(n)
		switch k := x.affinityOf(s, i); {
		case first < 0 || k.compare(a) > 0:
			second, b = first, a
			first, a = i, k
		case second < 0 || k.compare(b) > 0:
			second, b = i, k
		}
	})
	return first, second
}

// rankTopMachines finds the machines that rank best of all. A hash is compared with what a machine of its weight needs in
// order to be among the first few in expectation, so hardly any logarithm is taken.
func (x *index) rankTopMachines(s *service) {
	if x.columnsVersion != x.fleetVersion {
		x.packColumns()
	}
	s.topVersion, s.topMachines = x.fleetVersion, s.topMachines[:0]
	top := x.topBuffer[:0]
	for k := range x.hashColumns {
		c, need := &x.hashColumns[k], x.topThresholds[k]
		for j, h := range c.hashes {
			if mix(h^s.hash)>>11 >= need {
				i := c.machines[j]
				top = append(top, rankedMachine{i, x.affinityOf(s, i)})
			}
		}
	}
	slices.SortFunc(top, func(a, b rankedMachine) int { return b.affinity.compare(a.affinity) })
	for _, r := range top {
		s.topMachines = append(s.topMachines, r.machine)
	}
	x.topBuffer = top
}

// rankedMachine is a machine with its rank.
type rankedMachine struct {
	machine  int32
	affinity affinity
}

// hashColumn is the machines of one kind side by side.
type hashColumn struct {
	hashes   []uint64
	machines []int32
}

// packColumns lays the machines of each kind side by side.
func (x *index) packColumns() {
	x.columnsVersion = x.fleetVersion
	x.hashColumns, x.topThresholds = make([]hashColumn, len(x.kindWeights)), make([]uint64, len(x.kindWeights))
	all := 0.0
	for i, k := range x.kindOf {
		if k >= 0 {
			all += x.kindWeights[k]
			c := &x.hashColumns[k]
			c.hashes, c.machines = append(c.hashes, x.idHashes[i]), append(c.machines, int32(i))
		}
	}
	for k, w := range x.kindWeights {
		x.topThresholds[k] = uint64(math.Exp(-topAffinityCount/all*w) * (1 << 53))
	}
}

// ---- The history by machine.

// placementsOf is the recent binds of the candidates that x.pick marks, in the order of the history. Where they are few
// their machines' own lists are merged, else the whole history is read.
func (p *Placer) placementsOf(list []candidate) []*placement {
	recent, out := p.recentHistory(), p.index.placementBuffer[:0]
	if len(recent) == 0 {
		return nil
	}
	n, first := 0, recent[0].serial
	for _, c := range list {
		n += len(p.machinesByID[c.machine].placements)
		if n > len(recent)/4 {
			break
		}
	}
	if n > len(recent)/4 {
		for _, b := range recent {
			if !b.forgotten && b.machine.number >= 0 && p.index.candidateOf[b.machine.number] > 0 && b.machine.Kind >= 0 {
				out = append(out, b)
			}
		}
	} else {
		for _, c := range list {
			for _, b := range p.machinesByID[c.machine].placements {
				if !b.forgotten && b.serial >= first && b.machine.Kind >= 0 {
					out = append(out, b)
				}
			}
		}
		slices.SortFunc(out, func(a, b *placement) int { return cmp.Compare(a.serial, b.serial) })
	}
	p.index.placementBuffer = out
	return out
}

// indexPlacement adds a bind to its machine's list, from which those that left the history go.
func (p *Placer) indexPlacement(b *placement) {
	p.lastSerial++
	b.serial = p.lastSerial
	old := 0
	if h := p.recentHistory(); len(h) > 0 {
		for old < len(b.machine.placements) && b.machine.placements[old].serial < h[0].serial {
			old++
		}
	}
	b.machine.placements = append(append(b.machine.placements[:0], b.machine.placements[old:]...), b)
}

// ---- Room that the list's word may lack.

// updateUnlisted has room reckoned for those of rest that were not asked for it in this step. What binds take since
// then, occupy takes off. sum adds up one machine's late binds.
func (p *Placer) updateUnlisted(rest *bitset.BitSet, from time.Duration) {
	x := &p.index
	if p.disabled[StaleCapacity] {
		return
	}
	if x.unlistedStep != p.stepNumber {
		for _, m := range x.unlistedMachines {
			m.unlistedCores, m.unlistedMemory = 0, 0
			x.updateFreeCapacity(m)
		}
		x.unlistedMachines, x.unlistedStep, x.unlistedHistory = x.unlistedMachines[:0], p.stepNumber, len(p.history)
		x.unlistedChecked.ClearAll()
		for _, b := range slices.Backward(p.recentHistory()) {
			if m := b.machine; !b.forgotten && b.placedAt >= m.listedAt-from {
				if m.unlistedStep != p.stepNumber {
					m.unlistedStep, m.unlistedCores, m.unlistedMemory = p.stepNumber, 0, 0
					x.unlistedMachines = append(x.unlistedMachines, m)
				}
				m.unlistedCores += b.cores
				m.unlistedMemory += b.memory
			}
		}
		for _, m := range x.unlistedMachines {
			x.updateFreeCapacity(m)
		}
	}
	if len(p.history) > x.unlistedHistory { // binds of this step: machines not asked for their room until now are summed anew
		for _, m := range x.unlistedMachines {
			if m.number < 0 || !rest.Test(uint(m.number)) || x.unlistedChecked.Test(uint(m.number)) {
				continue
			}
			m.unlistedCores, m.unlistedMemory = 0, 0
			for _, b := range slices.Backward(p.recentHistory()) {
				if b.placedAt < m.listedAt-from {
					break
				}
				if b.machine == m && !b.forgotten {
					m.unlistedCores += b.cores
					m.unlistedMemory += b.memory
				}
			}
			x.updateFreeCapacity(m)
		}
	}
	x.unlistedChecked.InPlaceUnion(rest)
}

// addUnlisted adds a bind of this step to what the list's word lacks.
func (p *Placer) addUnlisted(m *machine, t *task) {
	x := &p.index
	if x.unlistedStep != p.stepNumber {
		return
	}
	if m.unlistedStep != p.stepNumber {
		m.unlistedStep, m.unlistedCores, m.unlistedMemory = p.stepNumber, 0, 0
		x.unlistedMachines = append(x.unlistedMachines, m)
	}
	m.unlistedCores += t.Cores
	m.unlistedMemory += t.Memory
	x.updateFreeCapacity(m)
}

func (x *index) updateFreeCapacity(m *machine) {
	if m.number >= 0 && m.number < len(x.freeCores) {
		x.freeCores[m.number] = x.listedCores[m.number] - m.unlistedCores
		x.freeMemory[m.number] = x.listedMemory[m.number] - m.unlistedMemory
	}
}

// kindWeight is a machine's size among the kinds: the smaller of its shares of the largest cores and memory.
func kindWeight(k Kind, kinds []Kind) float64 {
	var most Kind
	for _, k := range kinds {
		most.Cores, most.Memory = max(most.Cores, k.Cores), max(most.Memory, k.Memory)
	}
	return min(k.Cores/most.Cores, k.Memory/most.Memory)
}
