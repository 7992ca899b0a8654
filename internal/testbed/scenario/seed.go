package scenario

// The strides keep the seeds of the incarnations of different runs, schedulers and nodes apart. Recordings and stored
// results depend on them.
const (
	runSeedStride       = 1000
	schedulerSeedStride = 100
	nodeSeedStride      = 1000
)

// SchedulerSeed returns the seed of an incarnation of a scheduler, from the seed of the run, the scheduler's index and the
// number of the incarnation, which starts at 1.
func SchedulerSeed(runSeed uint64, scheduler, incarnation int) uint64 {
	return runSeed*runSeedStride + uint64(scheduler*schedulerSeedStride+incarnation) + 1
}

// NodeSeed returns the seed of an incarnation of a node, from the seed of the run, a number that no other node
// of the run has, and the number of the incarnation, which starts at 1.
func NodeSeed(runSeed uint64, node, incarnation int) uint64 {
	return runSeed + uint64(node*nodeSeedStride+incarnation)
}
