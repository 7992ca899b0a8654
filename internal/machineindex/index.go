package machineindex

import (
	"slices"

	"github.com/bits-and-blooms/bitset"

	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

// Options are the values that an Index takes from its owner's policy.
type Options struct {
	Affinity        AffinityPolicy
	HistoryLimit    int // most placements that count as recent
	MaxIdleServices int // most services remembered of which no attempt is active
}

// Index holds the machines of one scheduler by number, see the package documentation. Use New to make one.
type Index struct {
	entries         []*Entry // in the order of the machines' IDs
	renumberPending bool     // entries were inserted or removed since they were numbered

	invalid  []*Entry // to be updated by the next Refresh
	expiries timerqueue.Heap[*Entry]

	sets    []*bitset.BitSet
	columns []*Column

	fleetVersion int     // grows when a machine is added, removed or changes its kind
	kinds        []int32 // by machine; -1: not listed or of unknown kind
	idHashes     []uint64

	services servicePlacements
	affinity affinityTable
	capacity capacityColumns
	ranking  requestedRanking
	history  History
	assumed  assumedCapacity

	placementBuffer []*Placement
}

// Entry is the part of an Index that belongs to one machine.
type Entry struct {
	idHash uint64
	number int // -1: none

	invalid bool // queued in Index.invalid
	expiry  timerqueue.Item[*Entry]

	located bool // SetLocation was called
	zone    domainMember[string]
	cell    domainMember[int]

	attempts   map[string]*attemptCount // active ones, by service
	placements []*Placement             // in order of time; some may have left the history
	assumed    assumedSum
	candidate  int32 // position among the candidates of a lookup, counted from 1; 0: none
}

// Number returns the machine's number: -1 before the first Refresh after Insert and after Remove.
func (e *Entry) Number() int { return e.number }

// IDHash returns the Hash of the machine's ID.
func (e *Entry) IDHash() uint64 { return e.idHash }

// New makes an Index without machines.
func New(options Options) *Index {
	idx := &Index{
		fleetVersion: 1,
		affinity:     affinityTable{policy: options.Affinity},
		history:      History{limit: options.HistoryLimit},
		services:     newServicePlacements(options.MaxIdleServices),
	}
	idx.assumed.resize(0)
	return idx
}

// Insert adds a machine at its position in the order of IDs.
func (idx *Index) Insert(position int, id string) *Entry {
	e := &Entry{idHash: Hash(id), number: -1, attempts: map[string]*attemptCount{}}
	e.expiry.Value = e
	idx.entries = slices.Insert(idx.entries, position, e)
	idx.renumberPending = true
	return e
}

// Remove takes the machine at a position in the order of IDs out of the Index. Its placements stay in the history.
func (idx *Index) Remove(position int) {
	e := idx.entries[position]
	idx.entries = slices.Delete(idx.entries, position, position+1)
	idx.expiries.Remove(&e.expiry)
	idx.renumberPending, e.number = true, -1
}

// Kind returns the kind of a machine that SetKind wrote; -1 where there is none.
func (idx *Index) Kind(number int) int { return int(idx.kinds[number]) }

// SetKind writes the kind of a machine, an index in AffinityPolicy.KindWeights; -1 for none.
func (idx *Index) SetKind(number, kind int) {
	if idx.kinds[number] != int32(kind) {
		idx.kinds[number] = int32(kind)
		idx.fleetVersion++
	}
}

// renumber numbers the machines in the order of their IDs and invalidates each of them.
func (idx *Index) renumber() {
	machines := len(idx.entries)
	idx.renumberPending = false
	idx.fleetVersion++
	idx.resizeSets(machines)
	idx.kinds = make([]int32, machines)
	idx.idHashes = make([]uint64, machines)
	idx.capacity.resize(machines)
	idx.ranking.resize(machines)
	idx.assumed.resize(machines)
	idx.services.clearNumbers()
	for number, e := range idx.entries {
		e.number, idx.idHashes[number] = number, e.idHash
		e.zone.domain, e.cell.domain = nil, nil
		e.assumed.cores, e.assumed.memory = 0, 0
		for _, count := range e.attempts { // each is in a list of its own, so their order doesn't matter
			count.service.addMachine(count, int32(number))
		}
		idx.services.joinDomains(e, machines)
		idx.Invalidate(e)
	}
}
