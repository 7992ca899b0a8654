package flaxshelf

import (
	"github.com/bits-and-blooms/bitset"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// choiceObserver is called at each stage of a choice, so that tests compare what the index gave with plain scans. It must
// not change its arguments, which are valid during the call.
type choiceObserver interface {
	// afterHardConstraints is called with the machines that may take t.
	afterHardConstraints(t *task, eligible *bitset.BitSet)
	// afterSoftConstraints is called with the machines in the vote.
	afterSoftConstraints(t *task, candidates []machineindex.Candidate)
	// beforeReplay is called with the candidates that can win and the history that is replayed on them.
	beforeReplay(contenders []machineindex.Candidate, replayed []replayedPlacement)
	// afterChoice is called with the machine that was chosen, or nil; the other stages are left out for a request that is
	// known to be infeasible.
	afterChoice(t *task, chosen *machine)
	// afterMigrationCheck is called with the result of hasBetterMachines.
	afterMigrationCheck(t *task, hasBetter bool)
}

// noObserver is the observer outside of tests.
type noObserver struct{}

func (noObserver) afterHardConstraints(*task, *bitset.BitSet)                 {}
func (noObserver) afterSoftConstraints(*task, []machineindex.Candidate)       {}
func (noObserver) beforeReplay([]machineindex.Candidate, []replayedPlacement) {}
func (noObserver) afterChoice(*task, *machine)                                {}
func (noObserver) afterMigrationCheck(*task, bool)                            {}
