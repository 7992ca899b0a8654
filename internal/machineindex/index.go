package machineindex

import (
	"slices"

	"github.com/bits-and-blooms/bitset"

	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

// Options configures an Index.
type Options struct {
	Affinity                AffinityPolicy
	HistoryLimit            int // maximum number of recent placements, see History.Recent
	ServiceRemovalThreshold int // a service whose last active attempt ends is removed if there are more services than this
}

// Index has the machines of one scheduler by number, see the package documentation. Use New to create one.
type Index struct {
	entries         []*Entry // ordered by machine ID
	renumberPending bool     // machines were inserted or removed since the last Refresh

	invalid  []*Entry // machines that the next Refresh updates
	expiries timerqueue.Heap[*Entry]

	sets    []*bitset.BitSet
	columns []*Column

	fleetVersion int      // incremented by each renumbering and each change of a kind
	kinds        []int32  // by machine number; -1: the machine is not listed, or its kind is unknown
	idHashes     []uint64 // by machine number

	services serviceTable
	affinity affinityTable
	capacity capacityColumns
	ranking  requestedRanking
	history  History
	assumed  assumedCapacity

	placementBuffer []*Placement // reused by placementsOn
}

// Entry is the entry of one machine in an Index.
type Entry struct {
	idHash uint64
	number int // see Number

	invalid bool // contained in Index.invalid
	expiry  timerqueue.Item[*Entry]

	located bool // SetLocation was called
	zone    machineDomain[string]
	cell    machineDomain[int]

	attempts          map[string]*attemptCount // counts of active attempts by service
	placements        []*Placement             // ordered by time; some may have been pruned from the history
	assumed           assumedSum
	candidatePosition int32 // position among the candidates of ForEachPlacement, counted from 1; 0 if not among them
}

// Number returns the machine's number. It is -1 between Insert and the next Refresh, and after Remove.
func (e *Entry) Number() int { return e.number }

// IDHash returns the Hash of the machine's ID.
func (e *Entry) IDHash() uint64 { return e.idHash }

// New returns an Index without machines.
func New(options Options) *Index {
	idx := &Index{
		fleetVersion: 1,
		affinity:     affinityTable{policy: options.Affinity},
		history:      History{limit: options.HistoryLimit},
		services:     newServiceTable(options.ServiceRemovalThreshold),
	}
	idx.assumed.resize(0)
	return idx
}

// Insert adds a machine. Its position must be that of its ID among the ordered IDs of all machines.
func (idx *Index) Insert(position int, id string) *Entry {
	e := &Entry{idHash: Hash(id), number: -1, attempts: map[string]*attemptCount{}}
	e.expiry.Value = e
	idx.entries = slices.Insert(idx.entries, position, e)
	idx.renumberPending = true
	return e
}

// Remove removes the machine at a position in the order of IDs. The machine must not have active attempts. Its placements
// remain in the history.
func (idx *Index) Remove(position int) {
	e := idx.entries[position]
	idx.entries = slices.Delete(idx.entries, position, position+1)
	idx.expiries.Remove(&e.expiry)
	idx.renumberPending, e.number = true, -1
}

// Kind returns the kind of a machine, or -1 if it has none.
func (idx *Index) Kind(number int) int { return int(idx.kinds[number]) }

// SetKind sets the kind of a machine: an index in AffinityPolicy.KindWeights, or -1 for none.
func (idx *Index) SetKind(number, kind int) {
	if idx.kinds[number] != int32(kind) {
		idx.kinds[number] = int32(kind)
		idx.fleetVersion++
	}
}

// renumber numbers the machines in the order of their IDs and invalidates each of them.
func (idx *Index) renumber() {
	machineCount := len(idx.entries)
	idx.renumberPending = false
	idx.fleetVersion++
	idx.resizeSets(machineCount)
	idx.kinds = make([]int32, machineCount)
	idx.idHashes = make([]uint64, machineCount)
	idx.capacity.resize(machineCount)
	idx.ranking.resize(machineCount)
	idx.assumed.resize(machineCount)
	idx.services.clearNumbers()
	for number, e := range idx.entries {
		e.number, idx.idHashes[number] = number, e.idHash
		e.zone.domain, e.cell.domain = nil, nil
		e.assumed.cores, e.assumed.memory = 0, 0
		for _, count := range e.attempts { // each service has its own list, so the order doesn't matter
			count.service.addMachine(count, int32(number))
		}
		idx.services.updateDomains(e, machineCount)
		idx.Invalidate(e)
	}
}
