package reference

import "time"

// Tuned values, equal to those of the module but written a second time, so that a change of one is noticed.
const (
	replayRuns              = 24               // replays in a vote
	historyLifetimes        = 3.0              // mean lifetimes that the history reaches back
	maxHistory              = 768              // placements in the history
	initialLifetime         = 60 * time.Second // the mean lifetime before any task has ended
	minCandidates           = 2                // a soft constraint that would leave fewer machines is skipped
	largeTaskSize           = 0.15             // a task that requests more of a machine is large
	consolidationFill       = 0.85             // to which machines are filled, where those in use are priced
	listDelay               = time.Second      // the listed free capacity may lack what was requested so long before
	maxOfferWindow          = 16               // pending offers at which their limit after a rejection ends
	baseEjection            = 500 * time.Millisecond
	maxEjectionDoublings    = 4
	failureMemory           = 10 * time.Second // failures and successes count so long
	overloadDuration        = 1500 * time.Millisecond
	rejectionBackoff        = 500 * time.Millisecond
	queueFullBackoff        = 150 * time.Millisecond
	shortfallWeight         = 3.0  // load that counts for a machine that serves none of its tasks
	memoryShortfall         = 0.3  // service shortfall that counts where memory is short or tasks were evicted
	memoryPressureLimit     = 0.92 // fraction of a machine's memory in use beyond which memory is short
	poorServiceShortfall    = 0.5  // a task that lacks so much of full service may be migrated
	reportedLoadMargin      = 0.3  // a reported load so far over the mean of its peers contradicts the replay
	reportFreshness         = 3 * time.Second
	placementRetryInterval  = 40 * time.Millisecond // between choices for a queued task
	subscribeBackoff        = 250 * time.Millisecond
	removedMachineRetention = time.Minute // how long a removed machine is remembered
)
