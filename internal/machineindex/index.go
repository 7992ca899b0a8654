package machineindex

import (
	"slices"
	"time"

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

	attempts     map[string]*attemptCount // active ones, by service
	placements   []*Placement             // in order of time; some may have left the history
	assumedSince time.Duration            // placements from then on count as assumed
	candidate    int32                    // position among the candidates of a lookup, counted from 1; 0: none
}

// Number returns the machine's number: -1 before the first Refresh after Insert and after Remove.
func (e *Entry) Number() int { return e.number }

// IDHash returns the Hash of the machine's ID.
func (e *Entry) IDHash() uint64 { return e.idHash }

// New makes an Index without machines.
func New(options Options) *Index {
	return &Index{
		fleetVersion: 1,
		affinity:     affinityTable{policy: options.Affinity},
		history:      History{limit: options.HistoryLimit},
		services:     newServicePlacements(options.MaxIdleServices),
		assumed:      newAssumedCapacity(0),
	}
}

// Insert adds a machine at its position in the order of IDs.
func (x *Index) Insert(position int, id string) *Entry {
	e := &Entry{idHash: Hash(id), number: -1, attempts: map[string]*attemptCount{}}
	e.expiry.Value = e
	x.entries = slices.Insert(x.entries, position, e)
	x.renumberPending = true
	return e
}

// Remove takes the machine at a position in the order of IDs out of the Index. Its placements stay in the history.
func (x *Index) Remove(position int) {
	e := x.entries[position]
	x.entries = slices.Delete(x.entries, position, position+1)
	x.expiries.Remove(&e.expiry)
	x.renumberPending, e.number = true, -1
}

// Kind returns the kind of a machine that SetKind wrote; -1 where there is none.
func (x *Index) Kind(number int) int { return int(x.kinds[number]) }

// SetKind writes the kind of a machine, an index in AffinityPolicy.KindWeights; -1 for none.
func (x *Index) SetKind(number, kind int) {
	if x.kinds[number] != int32(kind) {
		x.kinds[number] = int32(kind)
		x.fleetVersion++
	}
}

// renumber numbers the machines in the order of their IDs and invalidates each of them.
func (x *Index) renumber() {
	machines := len(x.entries)
	x.renumberPending = false
	x.fleetVersion++
	x.resizeSets(machines)
	x.kinds = make([]int32, machines)
	x.idHashes = make([]uint64, machines)
	x.capacity.resize(machines)
	x.ranking.resize(machines)
	x.assumed = newAssumedCapacity(machines)
	x.services.clearNumbers()
	for number, e := range x.entries {
		e.number, x.idHashes[number] = number, e.idHash
		e.zone.domain, e.cell.domain = nil, nil
		for _, count := range e.attempts { // each is in a list of its own, so their order doesn't matter
			count.service.addMachine(count, int32(number))
		}
		x.services.joinDomains(e, machines)
		x.Invalidate(e)
	}
}
