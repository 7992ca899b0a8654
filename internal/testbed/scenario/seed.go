package scenario

// The strides keep the seeds of the incarnations of different runs, schedulers and nodes distinct. Recordings and stored
// results depend on them, so they must not change.
const (
	runSeedStride       = 1000
	schedulerSeedStride = 100
	nodeSeedStride      = 1000
)

// SchedulerSeed returns the seed of an incarnation of a scheduler, given the seed of the run, the index of the scheduler and the
// number of the incarnation, which starts at 1.
func SchedulerSeed(runSeed uint64, scheduler, incarnation int) uint64 {
	return runSeed*runSeedStride + uint64(scheduler*schedulerSeedStride+incarnation) + 1
}

// NodeSeed returns the seed of an incarnation of a node, given the seed of the run, a number that is unique to the node within
// the run, and the number of the incarnation, which starts at 1.
func NodeSeed(runSeed uint64, node, incarnation int) uint64 {
	return runSeed + uint64(node*nodeSeedStride+incarnation)
}
