package flaxshelf

import (
	"math"
	"math/bits"
	"slices"

	"github.com/bits-and-blooms/bitset"

	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

// index holds the machines by number, as bit sets and columns of figures, so that a choice reads one word for 64 machines
// instead of a record for each. It decides nothing: reviewMachine says what is in a set, the constraints say what follows.
// docs/scale.md compares these structures with plain scans.
//
// Machines are numbered in the order of their IDs. The index is brought up to date by refresh, which reviews the machines
// that have changed.
type index struct {
	renumber     bool       // machines were added or forgotten since they were numbered
	toReview     []*machine // changed since the last review
	reviewTimers timerqueue.Heap[*machine]
	fleetVersion int // grows when a machine comes, goes or changes its kind: affinity rankings are void then

	// Sets of machines.
	slowStarting   *bitset.BitSet
	failing        *bitset.BitSet
	overloaded     *bitset.BitSet
	occupied       *bitset.BitSet // by attempts of this scheduler
	rejecting      *bitset.BitSet
	offerLimited   *bitset.BitSet
	reporting      *bitset.BitSet // with a fresh load report
	activeByKind   []*bitset.BitSet
	failingByClass []*bitset.BitSet
	zones          map[string]*domain
	cells          map[int]*domain

	// In use by the choice in progress.
	eligible        *bitset.BitSet
	scratch         *bitset.BitSet
	candidates      []candidate
	candidateOf     []int32 // by machine: its candidate in the vote, counted from 1; 0: none
	replayBuffer    []replayedPlacement
	placementBuffer []*placement
	touchedBuffer   []bool
	contenderBuffer []candidate
	voteBuffer      []float64

	// infeasible is the kinds of requests for which no machine is left, until something is offered or has changed.
	infeasible map[equivalenceClass]bool

	// Columns by machine.
	idHashes     []uint64
	kindOf       []int32 // -1: not listed or of unknown kind
	reportedLoad []float64
	externalLoad []float64

	capacityColumns
	unshownCapacity
	affinityTables
}

// equivalenceClass is what decides, before a task's first offer, whether any machine is left for it. Tasks with equal
// fields share the answer within a step.
type equivalenceClass struct {
	class        int
	service      string // only where spread is bounded
	cores        float64
	memory       float64
	nearDeadline bool
}

func newIndex(cfg *Config) index {
	x := index{
		fleetVersion:   1,
		zones:          map[string]*domain{},
		cells:          map[int]*domain{},
		infeasible:     map[equivalenceClass]bool{},
		activeByKind:   make([]*bitset.BitSet, len(cfg.Kinds)),
		failingByClass: make([]*bitset.BitSet, len(cfg.Classes)),
	}
	for _, kind := range cfg.Kinds {
		x.kindWeights = append(x.kindWeights, kindWeight(kind, cfg.Kinds))
	}
	x.resize(0)
	return x
}

// resize makes all sets and columns anew for so many machines.
func (x *index) resize(machines int) {
	for _, set := range []**bitset.BitSet{&x.slowStarting, &x.failing, &x.overloaded, &x.occupied, &x.rejecting,
		&x.offerLimited, &x.reporting, &x.eligible, &x.scratch, &x.unshownChecked} {
		*set = bitset.MustNew(uint(machines))
	}
	for kind := range x.activeByKind {
		x.activeByKind[kind] = bitset.MustNew(uint(machines))
	}
	for class := range x.failingByClass {
		x.failingByClass[class] = bitset.MustNew(uint(machines))
	}
	for _, column := range []*[]float64{&x.reportedLoad, &x.externalLoad, &x.freeCores, &x.freeMemory, &x.listedCores,
		&x.listedMemory, &x.requestedCores, &x.requestedMemory, &x.requestedFraction} {
		*column = make([]float64, machines)
	}
	x.idHashes = make([]uint64, machines)
	x.kindOf = make([]int32, machines)
	x.candidateOf = make([]int32, machines)
	x.byRequestedFraction, x.rankChanged = nil, nil
	clear(x.zones)
	clear(x.cells)
	x.unshownStep = -1
}

// requestReview has a machine reviewed before the next choice.
func (p *Placer) requestReview(m *machine) {
	if !m.awaitsReview {
		m.awaitsReview = true
		p.index.toReview = append(p.index.toReview, m)
	}
}

// reviewExpired requests a review of the machines of which some condition has ended by now.
func (p *Placer) reviewExpired() {
	for item := p.index.reviewTimers.PopDue(p.now); item != nil; item = p.index.reviewTimers.PopDue(p.now) {
		p.requestReview(item.Value)
	}
}

// scheduleReview has m reviewed at a time; never for the end of time.
func (x *index) scheduleReview(m *machine, at Time) {
	if at < math.MaxInt64 {
		x.reviewTimers.Set(&m.reviewTimer, at)
	} else {
		x.reviewTimers.Remove(&m.reviewTimer)
	}
}

// refresh brings the index up to date.
func (p *Placer) refresh() {
	x := &p.index
	if x.renumber {
		p.renumberMachines()
	}
	if len(x.toReview) == 0 {
		return
	}
	for _, m := range x.toReview {
		m.awaitsReview = false
		if m.number >= 0 {
			p.reviewMachine(m)
		}
	}
	x.toReview, x.totalsValid = x.toReview[:0], false
	clear(x.infeasible)
}

// renumberMachines numbers the machines in the order of their IDs.
func (p *Placer) renumberMachines() {
	x := &p.index
	x.renumber = false
	x.fleetVersion++
	x.resize(len(p.machinesByID))
	for _, s := range p.services {
		s.clearDomains()
	}
	for number, m := range p.machinesByID {
		m.number, m.zoneDomain, m.cellDomain = number, nil, nil
		x.idHashes[number] = m.idHash
		for _, r := range m.residencies { // each is in a list of its own, so their order doesn't matter
			r.service.addMachine(r, int32(number))
		}
		p.requestReview(m)
		p.updateDomains(m)
	}
	x.rankAll(len(p.machinesByID))
}

// setMember writes whether a machine's number is in a set.
func setMember(set *bitset.BitSet, number int, member bool) { set.SetTo(uint(number), member) }

// forEachCommon calls do for each number that is in both sets, in order. do may change either set at its own number.
func forEachCommon(a, b *bitset.BitSet, do func(number int)) {
	wordsA, wordsB := a.Words(), b.Words()
	for w := range wordsA {
		for word := wordsA[w] & wordsB[w]; word != 0; word &= word - 1 {
			do(w<<6 + bits.TrailingZeros64(word))
		}
	}
}

// zeroed is a slice of so many zero values, in the memory of buffer where that suffices.
func zeroed[T any](buffer []T, length int) []T {
	buffer = slices.Grow(buffer[:0], length)[:length]
	clear(buffer)
	return buffer
}
