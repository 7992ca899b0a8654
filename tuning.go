package flaxshelf

import "time"

// Tuned values of the decisions. None is a setting of a deployment; where there is such a setting, it is used instead.
const (
	// The replay vote.
	replayRuns           = 24               // replays in a vote
	historyMeanLifetimes = 3.0              // mean lifetimes that the history reaches back
	maxHistoryPlacements = 768              // most placements in the history, which bounds the work of a vote
	initialLifetime      = 60 * time.Second // the mean lifetime before any task has ended
	minMeanLifetime      = time.Second
	maxMeanLifetime      = 5 * time.Minute // of the longest-lived class, for the reach of the history
	shortfallWeight      = 3.0             // load that counts for a machine that serves none of its tasks
	largeTaskSize        = 0.15            // fraction of a machine beyond which a task is large
	topAffinityCount     = 12              // expected number of machines ranked by affinity for a service
	minCandidates        = 2               // machines that most soft constraints must leave, or they are skipped
	consolidationFill    = 0.85            // fraction to which machines are filled where those in use are priced

	// Capacity and offers.
	listDelay             = time.Second // how old the listed free capacity may be
	maxOfferLimit         = 16          // pending offers at which the limit that a rejection set ends
	rejectionBackoff      = 500 * time.Millisecond
	maxRejectionDoublings = 3
	queueFullBackoff      = 150 * time.Millisecond

	// Ejection of machines that fail.
	baseEjection         = 500 * time.Millisecond
	maxEjectionDoublings = 4
	outcomeRetention     = 10 * time.Second // how long failures and successes count

	// Overload and migration.
	overloadDuration        = 1500 * time.Millisecond
	fullServiceLevel        = 0.95 // a service level below it is a sign of overload
	memoryPressureLimit     = 0.92 // fraction of a machine's memory in use above which memory is short
	memoryPressureShortfall = 0.3  // service shortfall that counts where memory is short or tasks were evicted
	poorServiceShortfall    = 0.5  // service shortfall from which on a task may be migrated

	// Load reports.
	reportedLoadMargin = 0.3 // excess of a reported load over the mean at which it contradicts the replay
	reportFreshness    = 3 * time.Second

	// Queued tasks and time-outs.
	placementRetryInterval = 40 * time.Millisecond // between choices for a queued task
	minQueueTimeout        = 5 * time.Second       // time for which any task may be queued
	minAttemptTimeout      = 50 * time.Millisecond
	latencySmoothing       = 8 // inverse of the weight of the latest latency in the smoothed one
	latencyDeviations      = 4 // deviations above the mean latency after which an attempt times out
	answerDeadlineMargin   = time.Millisecond

	// Discovery.
	subscribeBackoff        = 250 * time.Millisecond
	maxSubscribeDoublings   = 3
	minSubscribeInterval    = time.Second
	removedMachineRetention = time.Minute // how long a removed machine is remembered
	maxIdleServices         = 4096        // services that are remembered although they have no active attempt
)
