package flaxshelf

import (
	"github.com/bits-and-blooms/bitset"

	"flaxshelf.example/flaxshelf/internal/machineindex"
)

// choiceObserver is called at each stage of a choice. Tests use it to compare the results of the index with those of plain
// scans over all machines. It must not change its arguments, which are valid during the call only.
type choiceObserver interface {
	// afterHardConstraints is called with the machines that satisfy the hard constraints for t.
	afterHardConstraints(t *task, eligible *bitset.BitSet)
	// afterSoftConstraints is called with the machines that take part in the vote.
	afterSoftConstraints(t *task, candidates []machineindex.Candidate)
	// beforeReplay is called with the candidates that can win the vote and the placements that are replayed on them.
	beforeReplay(contenders []machineindex.Candidate, replayed []replayedPlacement)
	// afterChoice is called with the machine that was chosen, or nil. If the request is already known to be infeasible,
	// no other method is called for the choice.
	afterChoice(t *task, chosen *machine)
	// afterMigrationCheck is called with the result of hasBetterMachines.
	afterMigrationCheck(t *task, hasBetter bool)
}

// noObserver is the observer outside of tests. It does nothing.
type noObserver struct{}

func (noObserver) afterHardConstraints(*task, *bitset.BitSet)                 {}
func (noObserver) afterSoftConstraints(*task, []machineindex.Candidate)       {}
func (noObserver) beforeReplay([]machineindex.Candidate, []replayedPlacement) {}
func (noObserver) afterChoice(*task, *machine)                                {}
func (noObserver) afterMigrationCheck(*task, bool)                            {}
