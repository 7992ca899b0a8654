package flaxshelf

import "time"

// Constants of the placement decisions. Values that Config has a setting for are taken from there and not listed here.
const (
	// The replay vote.
	replayRuns           = 24               // replays of the history in one vote
	historyMeanLifetimes = 3.0              // age limit of the history, in mean lifetimes
	maxHistoryPlacements = 768              // limit of the history's length, which bounds the work of a vote
	initialLifetime      = 60 * time.Second // mean lifetime that is assumed before any task has ended
	minMeanLifetime      = time.Second
	maxMeanLifetime      = 5 * time.Minute // bounds the largest mean lifetime, and so the age of the history
	shortfallWeight      = 3.0             // load added for a service shortfall of 1, in sizes of the machine
	largeTaskSize        = 0.15            // fraction of a machine above which a task counts as large
	topAffinityCount     = 12              // expected number of machines that are ranked by affinity for a service
	minCandidates        = 2               // number of machines that most soft constraints must leave; else they are skipped
	consolidationFill    = 0.85            // fraction to which machines are filled if machines in use have a price

	// Capacity and offers.
	listDelay             = time.Second // longest delay of the free capacity in the machine list
	maxOfferLimit         = 16          // the limit of pending offers after a rejection is lifted when it reaches this
	rejectionBackoff      = 500 * time.Millisecond
	maxRejectionDoublings = 3
	queueFullBackoff      = 150 * time.Millisecond

	// Ejection of machines that fail.
	baseEjection         = 500 * time.Millisecond
	maxEjectionDoublings = 4
	outcomeRetention     = 10 * time.Second // how long a failure or success counts

	// Overload and migration.
	overloadDuration        = 1500 * time.Millisecond
	fullServiceLevel        = 0.95 // service level below which a machine counts as overloaded
	memoryPressureLimit     = 0.92 // fraction of a machine's memory in use above which it counts as overloaded
	memoryPressureShortfall = 0.3  // service shortfall that is assumed if memory is short or tasks were evicted
	poorServiceShortfall    = 0.5  // service shortfall at or above which a task may be migrated

	// Load reports.
	reportedLoadMargin = 0.3 // excess over the mean at which a reported load outweighs the replay vote
	reportFreshness    = 3 * time.Second

	// Queued tasks and time-outs.
	placementRetryInterval = 40 * time.Millisecond // time between two choices for a queued task
	minQueueTimeout        = 5 * time.Second       // time for which a task may be queued even if its latency objective is shorter
	minAttemptTimeout      = 50 * time.Millisecond
	latencySmoothing       = 8 // inverse of the weight of a new latency in the smoothed mean and deviation
	latencyDeviations      = 4 // the time-out of an attempt is this many deviations above the mean latency
	answerDeadlineMargin   = time.Millisecond

	// Discovery, and how long records are kept.
	subscribeBackoff        = 250 * time.Millisecond
	maxSubscribeDoublings   = 3
	minSubscribeInterval    = time.Second
	removedMachineRetention = time.Minute // how long the record of a removed machine is kept
	serviceRemovalThreshold = 4096        // an idle service is removed from the index if there are more services than this
)
