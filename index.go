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
	moved bool       // machines have come or gone since they were numbered
	dirty []*machine // touched since review looked at them
	due   timerqueue.Heap[*machine]
	shape int // grows when a machine comes, goes or changes its kind: rankings of homes are void then

	cold, failing, strained, ours, refusing, rushed, reporting *bitset.BitSet
	kinds, classes                                             []*bitset.BitSet // in service by kind; failing by class
	zones                                                      map[string]*place
	cells                                                      map[int]*place
	left, spare                                                *bitset.BitSet // in use by the choice in hand

	weights []float64 // of each kind, the smaller of its shares of the largest cores and memory
	hashes  []uint64
	kind    []int32   // -1: not listed or of no known kind
	told    []float64 // load by the last fresh report
	others  []float64
	pick    []int32 // the candidate of the vote in hand, counted from 1

	// Where the list tells free room:
	roomCores, roomMemory []float64 // by its word and the settings, less what it may lack
	baseCores, baseMemory []float64 // by its word and the settings
	useCores, useMemory   []float64 // asked of it, terms of the fleet's sum
	asked                 []float64
	byAsked               []int32 // the machines by asked, most first, then by number
	askedOld              []int32 // numbers whose place in byAsked is void
	allCores, allMemory   float64 // sums of the terms
	summed                bool

	lateStep    int // the step for which the late sums hold
	lateAt      int // length of the history when they were made
	late        []*machine
	seen        *bitset.BitSet // asked for their room in this step
	held        map[alike]bool // tasks that ask so find nothing, until something is offered
	candidates  []candidate    // of the choice in hand
	packed      []column       // by kind, as of packedShape
	need        []uint64       // by kind: the least hash of those that rank among the first few
	packedShape int
	top         []ranked
	replayed    []replayed
	binds       []*bind
}

// place is a cell or zone.
type place struct {
	bits *bitset.BitSet // its listed machines
}

// alike is all of a task's ask on which it depends whether something is left for it before its first offer.
type alike struct {
	class         int
	service       string // only where spread is bounded
	cores, memory float64
	late          bool
}

// service is what is kept of one service.
type service struct {
	held  []int32 // machines that have our attempts and tasks of it; void while the index has moved
	zones map[*place]int
	cells map[*place]int
	hash  uint64
	top   []int32 // the best ranked machines, best first, as of shape
	shape int
}

// stay is a service's attempts and tasks on one machine.
type stay struct {
	n   int
	pos int // in service.held
	of  *service
}

// keepServices bounds the services that are remembered though they have nothing out.
const keepServices = 4096

func newIndex(c *Config) index {
	x := index{shape: 1, zones: map[string]*place{}, cells: map[int]*place{}, held: map[alike]bool{}}
	for _, k := range c.Kinds {
		x.weights = append(x.weights, weight(k, c.Kinds))
	}
	x.kinds, x.classes = make([]*bitset.BitSet, len(c.Kinds)), make([]*bitset.BitSet, len(c.Classes))
	x.size(0)
	return x
}

// size makes all sets and columns anew for n machines.
func (x *index) size(n int) {
	set := func() *bitset.BitSet { return bitset.MustNew(uint(n)) }
	for _, s := range []**bitset.BitSet{&x.cold, &x.failing, &x.strained, &x.ours, &x.refusing, &x.rushed,
		&x.reporting, &x.left, &x.spare, &x.seen} {
		*s = set()
	}
	for i := range x.kinds {
		x.kinds[i] = set()
	}
	for i := range x.classes {
		x.classes[i] = set()
	}
	for _, f := range []*[]float64{&x.told, &x.others, &x.roomCores, &x.roomMemory, &x.baseCores, &x.baseMemory,
		&x.useCores, &x.useMemory, &x.asked} {
		*f = make([]float64, n)
	}
	x.hashes, x.kind, x.pick = make([]uint64, n), make([]int32, n), make([]int32, n)
	x.byAsked, x.askedOld = nil, nil
	clear(x.zones)
	clear(x.cells)
	x.lateStep = -1
}

// touch has a machine looked at again before the next choice.
func (p *Placer) touch(m *machine) {
	if !m.dirty {
		m.dirty = true
		p.index.dirty = append(p.index.dirty, m)
	}
}

// expire touches the machines of which some bar has ended by now.
func (p *Placer) expire() {
	for i := p.index.due.PopDue(p.now); i != nil; i = p.index.due.PopDue(p.now) {
		p.touch(i.Value)
	}
}

// refresh brings the index up to date.
func (p *Placer) refresh() {
	x := &p.index
	if x.moved {
		p.renumber()
	}
	if len(x.dirty) == 0 {
		return
	}
	for _, m := range x.dirty {
		m.dirty = false
		if m.at >= 0 {
			p.review(m)
		}
	}
	x.dirty, x.summed = x.dirty[:0], false
	clear(x.held)
}

// renumber numbers the machines in the order of their IDs.
func (p *Placer) renumber() {
	x := &p.index
	x.moved = false
	x.shape++
	x.size(len(p.order))
	for _, s := range p.services {
		s.held = s.held[:0]
		clear(s.zones)
		clear(s.cells)
	}
	for i, m := range p.order {
		m.at, m.zone, m.cell = i, nil, nil
		x.hashes[i] = m.hash
		x.byAsked = append(x.byAsked, int32(i))
		for _, s := range m.services { // each has a list of its own, so their order does not matter
			s.pos = len(s.of.held)
			s.of.held = append(s.of.held, int32(i))
		}
		p.touch(m)
		p.settleIn(m)
	}
	x.askedOld = slices.Clone(x.byAsked)
}

// settleIn writes down where the list says that a machine stands, and counts its tasks there.
func (p *Placer) settleIn(m *machine) {
	x := &p.index
	if x.moved {
		return
	}
	var zone, cell *place
	if m.listed {
		zone, cell = placeOf(x.zones, m.Zone, len(p.order)), placeOf(x.cells, m.Cell, len(p.order))
	}
	move := func(at **place, to *place, counts func(*service) map[*place]int) {
		if *at == to {
			return
		}
		for _, s := range m.services { // sums, in any order
			add(counts(s.of), *at, -s.n)
			add(counts(s.of), to, s.n)
		}
		if *at != nil {
			(*at).bits.Clear(uint(m.at))
		}
		if to != nil {
			to.bits.Set(uint(m.at))
		}
		*at = to
	}
	move(&m.zone, zone, func(s *service) map[*place]int { return s.zones })
	move(&m.cell, cell, func(s *service) map[*place]int { return s.cells })
}

func placeOf[K comparable](places map[K]*place, name K, n int) *place {
	at := places[name]
	if at == nil {
		at = &place{bits: bitset.MustNew(uint(n))}
		places[name] = at
	}
	return at
}

func add(counts map[*place]int, at *place, n int) {
	if at == nil {
		return
	}
	if counts[at] += n; counts[at] == 0 {
		delete(counts, at)
	}
}

// service finds or makes the record of a service.
func (p *Placer) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{zones: map[*place]int{}, cells: map[*place]int{}, hash: hash(name)}
		p.services[name] = s
	}
	return s
}

// enter counts one more attempt or task of a service on m, leave one less.
func (p *Placer) enter(name string, m *machine) {
	s := m.services[name]
	if s == nil {
		s = &stay{of: p.service(name), pos: -1}
		m.services[name] = s
		if !p.index.moved {
			s.pos = len(s.of.held)
			s.of.held = append(s.of.held, int32(m.at))
		}
	}
	s.n++
	add(s.of.zones, m.zone, 1)
	add(s.of.cells, m.cell, 1)
}

func (p *Placer) leave(name string, m *machine) {
	s := m.services[name]
	if s == nil {
		return
	}
	add(s.of.zones, m.zone, -1)
	add(s.of.cells, m.cell, -1)
	if s.n--; s.n > 0 {
		return
	}
	delete(m.services, name)
	if !p.index.moved {
		held := s.of.held
		last := held[len(held)-1]
		held[s.pos] = last
		p.order[last].services[name].posIs(s.pos)
		s.of.held = held[:len(held)-1]
	}
	if len(s.of.held) == 0 && len(p.services) > keepServices && !p.index.moved {
		delete(p.services, name)
	}
}

// posIs is for the stay that took another's place; nil where that was the last one itself.
func (s *stay) posIs(pos int) {
	if s != nil {
		s.pos = pos
	}
}

// put writes whether number i is in a set.
func put(s *bitset.BitSet, i int, in bool) { s.SetTo(uint(i), in) }

// columns writes the figures of m: what the list's word means in the settings' measures.
func (p *Placer) columns(m *machine, kind int) {
	x, i := &p.index, m.at
	x.useCores[i], x.useMemory[i] = 0, 0
	if kind >= 0 {
		x.others[i] = p.others(m)
	}
	if kind < 0 || !p.cfg.ListsFreeCapacity {
		return
	}
	k := p.cfg.Kinds[kind]
	x.baseCores[i] = m.FreeCores + (p.cfg.CoreOvercommit-1)*k.Cores
	x.baseMemory[i] = m.FreeMemory + (p.cfg.MemoryOvercommit-1)*k.Memory
	if m.State != Removed {
		x.useCores[i] = k.Cores - m.FreeCores + m.newCores
		x.useMemory[i] = k.Memory - m.FreeMemory + m.newMemory
	}
	if asked := p.asked(m); asked != x.asked[i] {
		x.asked[i] = asked
		x.askedOld = append(x.askedOld, int32(i))
	}
	if m.lateIn != x.lateStep {
		m.lateCores, m.lateMemory = 0, 0
	}
	x.takeOff(m)
}

// again has m looked at when the time has come; not at all for the end of time.
func (x *index) again(m *machine, at Time) {
	if at < math.MaxInt64 {
		x.due.Set(&m.due, at)
	} else {
		x.due.Remove(&m.due)
	}
}

// both calls do for each number that is in a and in b, in order. do may change either set at its own number.
func both(a, b *bitset.BitSet, do func(i int)) {
	x, y := a.Words(), b.Words()
	for w := range x {
		for word := x[w] & y[w]; word != 0; word &= word - 1 {
			do(w<<6 + bits.TrailingZeros64(word))
		}
	}
}

// lacking adds to out the numbers of left that have less room than asked.
func (x *index) lacking(left, out *bitset.BitSet, cores, memory float64) {
	from, to := left.Words(), out.Words()
	for w := range from {
		word, lacks := from[w]&^to[w], uint64(0)
		for ; word != 0; word &= word - 1 {
			i := w<<6 + bits.TrailingZeros64(word)
			if !(x.roomCores[i] >= cores && x.roomMemory[i] >= memory) {
				lacks |= word & -word
			}
		}
		to[w] |= lacks
	}
}

// sums is what the fleet's listed machines are asked for in all. The terms are added in the order of the machines, so
// that the sum is the same to the last bit whatever changed since.
func (x *index) sums() (cores, memory float64) {
	if !x.summed {
		x.summed, x.allCores, x.allMemory = true, 0, 0
		for i, c := range x.useCores {
			x.allCores += c
			x.allMemory += x.useMemory[i]
		}
	}
	return x.allCores, x.allMemory
}

// ranked is the machines by asked, most first. Those that changed are taken out and merged in again.
func (x *index) ranked() []int32 {
	if len(x.askedOld) == 0 {
		return x.byAsked
	}
	order := func(a, b int32) int { return cmp.Or(cmp.Compare(x.asked[b], x.asked[a]), cmp.Compare(a, b)) }
	slices.Sort(x.askedOld)
	changed := slices.Compact(x.askedOld)
	if len(changed) > len(x.byAsked)/8 {
		slices.SortFunc(x.byAsked, order)
	} else {
		old := x.spare.ClearAll()
		for _, i := range changed {
			old.Set(uint(i))
		}
		kept := slices.DeleteFunc(x.byAsked, func(i int32) bool { return old.Test(uint(i)) })
		slices.SortFunc(changed, order)
		merged := make([]int32, 0, len(kept)+len(changed))
		for len(kept) > 0 && len(changed) > 0 {
			if order(kept[0], changed[0]) < 0 {
				merged, kept = append(merged, kept[0]), kept[1:]
			} else {
				merged, changed = append(merged, changed[0]), changed[1:]
			}
		}
		x.byAsked = append(append(merged, kept...), changed...)
	}
	x.askedOld = x.askedOld[:0]
	return x.byAsked
}

// ---- Ranks of homes.

// topRanked is how many of a service's best machines are kept by rank.
const topRanked = 12

// rankKey orders machines as homes of a service, see rank: among machines of one weight u alone tells.
type rankKey struct{ u, weight float64 }

func (x *index) rankKey(s *service, i int32) rankKey {
	weight := 1.0
	if k := x.kind[i]; k >= 0 {
		weight = x.weights[k]
	}
	return rankKey{float64(mix(x.hashes[i]^s.hash)>>11 + 1), weight}
}

// compare is above 0 where k ranks before o.
func (k rankKey) compare(o rankKey) int {
	if k.weight == o.weight {
		return cmp.Compare(k.u, o.u)
	}
	return cmp.Compare(k.rank(), o.rank())
}

// best names the two machines of left that rank first as homes of s; -1 where there are fewer.
func (x *index) best(s *service, left *bitset.BitSet) (first, second int32) {
	if s.shape != x.shape {
		x.rankTop(s)
	}
	first, second = -1, -1
	for _, i := range s.top {
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
	var a, b rankKey
	both(left, left, func(n int) {
		i := int32(n)
		switch k := x.rankKey(s, i); {
		case first < 0 || k.compare(a) > 0:
			second, b = first, a
			first, a = i, k
		case second < 0 || k.compare(b) > 0:
			second, b = i, k
		}
	})
	return first, second
}

// rankTop finds the machines that rank best of all. A hash is compared with what a machine of its weight needs in
// order to be among the first few in expectation, so hardly any logarithm is taken.
func (x *index) rankTop(s *service) {
	if x.packedShape != x.shape {
		x.pack()
	}
	s.shape, s.top = x.shape, s.top[:0]
	top := x.top[:0]
	for k := range x.packed {
		c, need := &x.packed[k], x.need[k]
		for j, h := range c.hashes {
			if mix(h^s.hash)>>11 >= need {
				i := c.at[j]
				top = append(top, ranked{i, x.rankKey(s, i)})
			}
		}
	}
	slices.SortFunc(top, func(a, b ranked) int { return b.k.compare(a.k) })
	for _, r := range top {
		s.top = append(s.top, r.i)
	}
	x.top = top
}

// ranked is a machine with its rank.
type ranked struct {
	i int32
	k rankKey
}

// column is the machines of one kind side by side.
type column struct {
	hashes []uint64
	at     []int32
}

// pack lays the machines of each kind side by side.
func (x *index) pack() {
	x.packedShape = x.shape
	x.packed, x.need = make([]column, len(x.weights)), make([]uint64, len(x.weights))
	all := 0.0
	for i, k := range x.kind {
		if k >= 0 {
			all += x.weights[k]
			c := &x.packed[k]
			c.hashes, c.at = append(c.hashes, x.hashes[i]), append(c.at, int32(i))
		}
	}
	for k, w := range x.weights {
		x.need[k] = uint64(math.Exp(-topRanked/all*w) * (1 << 53))
	}
}

// ---- The history by machine.

// bindsOf is the recent binds of the candidates that x.pick marks, in the order of the history. Where they are few
// their machines' own lists are merged, else the whole history is read.
func (p *Placer) bindsOf(list []candidate) []*bind {
	recent, out := p.recent(), p.index.binds[:0]
	if len(recent) == 0 {
		return nil
	}
	n, first := 0, recent[0].serial
	for _, c := range list {
		n += len(p.order[c.i].binds)
		if n > len(recent)/4 {
			break
		}
	}
	if n > len(recent)/4 {
		for _, b := range recent {
			if !b.off && b.m.at >= 0 && p.index.pick[b.m.at] > 0 && b.m.Kind >= 0 {
				out = append(out, b)
			}
		}
	} else {
		for _, c := range list {
			for _, b := range p.order[c.i].binds {
				if !b.off && b.serial >= first && b.m.Kind >= 0 {
					out = append(out, b)
				}
			}
		}
		slices.SortFunc(out, func(a, b *bind) int { return cmp.Compare(a.serial, b.serial) })
	}
	p.index.binds = out
	return out
}

// bound adds a bind to its machine's list, from which those that left the history go.
func (p *Placer) bound(b *bind) {
	p.binds++
	b.serial = p.binds
	old := 0
	if h := p.recent(); len(h) > 0 {
		for old < len(b.m.binds) && b.m.binds[old].serial < h[0].serial {
			old++
		}
	}
	b.m.binds = append(append(b.m.binds[:0], b.m.binds[old:]...), b)
}

// ---- Room that the list's word may lack.

// lateSums has room reckoned for those of rest that were not asked for it in this step. What binds take since
// then, occupy takes off. sum adds up one machine's late binds.
func (p *Placer) lateSums(rest *bitset.BitSet, from time.Duration) {
	x := &p.index
	if p.without[StaleCapacity] {
		return
	}
	if x.lateStep != p.steps {
		for _, m := range x.late {
			m.lateCores, m.lateMemory = 0, 0
			x.takeOff(m)
		}
		x.late, x.lateStep, x.lateAt = x.late[:0], p.steps, len(p.history)
		x.seen.ClearAll()
		for _, b := range slices.Backward(p.recent()) {
			if m := b.m; !b.off && b.at >= m.viewAt-from {
				if m.lateIn != p.steps {
					m.lateIn, m.lateCores, m.lateMemory = p.steps, 0, 0
					x.late = append(x.late, m)
				}
				m.lateCores += b.cores
				m.lateMemory += b.memory
			}
		}
		for _, m := range x.late {
			x.takeOff(m)
		}
	}
	if len(p.history) > x.lateAt { // binds of this step: machines not asked for their room until now are summed anew
		for _, m := range x.late {
			if m.at < 0 || !rest.Test(uint(m.at)) || x.seen.Test(uint(m.at)) {
				continue
			}
			m.lateCores, m.lateMemory = 0, 0
			for _, b := range slices.Backward(p.recent()) {
				if b.at < m.viewAt-from {
					break
				}
				if b.m == m && !b.off {
					m.lateCores += b.cores
					m.lateMemory += b.memory
				}
			}
			x.takeOff(m)
		}
	}
	x.seen.InPlaceUnion(rest)
}

// lateBind adds a bind of this step to what the list's word lacks.
func (p *Placer) lateBind(m *machine, t *task) {
	x := &p.index
	if x.lateStep != p.steps {
		return
	}
	if m.lateIn != p.steps {
		m.lateIn, m.lateCores, m.lateMemory = p.steps, 0, 0
		x.late = append(x.late, m)
	}
	m.lateCores += t.Cores
	m.lateMemory += t.Memory
	x.takeOff(m)
}

func (x *index) takeOff(m *machine) {
	if m.at >= 0 && m.at < len(x.roomCores) {
		x.roomCores[m.at] = x.baseCores[m.at] - m.lateCores
		x.roomMemory[m.at] = x.baseMemory[m.at] - m.lateMemory
	}
}

// weight is a machine's size among the kinds: the smaller of its shares of the largest cores and memory.
func weight(k Kind, kinds []Kind) float64 {
	var most Kind
	for _, k := range kinds {
		most.Cores, most.Memory = max(most.Cores, k.Cores), max(most.Memory, k.Memory)
	}
	return min(k.Cores/most.Cores, k.Memory/most.Memory)
}
