package requests

import "flaxshelf.example/flaxshelf"

// Stats holds the gauges and counters of a Core. Counters start at zero when the Core is created. The statistics in the log
// have the names of these fields.
type Stats struct {
	// Gauges.
	Pending         int // requests that wait for a response
	PendingBytes    int // size of these requests
	Running         int // running tasks, including those whose release is not confirmed
	RunningUnlisted int // those of Running that were adopted on nodes that no endpoint list had contained
	Owners          int // owners' connections
	Nodes           int
	Links           int

	// Counters of requests that are no longer pending, by how they ended, and of offers.
	Placed   uint64
	Rejected uint64
	Failed   uint64
	Canceled uint64 // by their owners, or because the owner's connection ended
	Offers   uint64 // offers that the placer ordered; each starts an attempt, which may end before the offer is sent

	// Counters of running tasks.
	Adopted           uint64
	Ended             uint64 // for any reason
	Completed         uint64 // as their node reported
	Evicted           uint64 // as their node reported
	Preempted         uint64 // as their node reported
	LostByNodeReport  uint64 // lost for any other reason that their node reported
	LostToNodeDeath   uint64 // lost because their node's process had ended, as a refused connection showed
	LostToUnreachable uint64 // lost because their node was unreachable for Config.NodeUnreachableTimeout
	LostToRemoval     uint64 // lost because their node was removed, was replaced by another node or restarted

	// Counters of offers that did not lead to a running task.
	RejectedOffers    uint64
	FailedOffers      uint64
	TimedOutOffers    uint64
	LostOffers        uint64 // sent, and ended with flaxshelf.Lost, as when the link broke
	UnreachableOffers uint64 // not sent, because no link to the node could be established in time

	RejectedAdoptions    uint64 // reports of running tasks that were rejected, because too many unconfirmed tasks were adopted
	EvictedAdoptions     uint64 // adopted tasks that no node had confirmed, and that were given up in favor of more credible ones
	DroppedNotifications uint64 // notifications of ended tasks that were dropped, because too many waited for a connection

	OwnersClosed    uint64 // owners' connections closed by the core: too many, idle, or with too many protocol errors
	RejectedAtLimit uint64 // requests rejected because too many were pending; Rejected does not include them
	BrokenLinks     uint64 // established links that ended without having been closed by the core
	SuspectedLinks  uint64 // links that the periodic check suspected because their node had sent nothing for too long
	StaleMessages   uint64 // nodes' acceptances of tasks that had no attempt at the node
	// RepeatedReleases counts the releases that were sent again, because the node may not have received the former one.
	RepeatedReleases uint64
}

// countTermination counts a running task whose end its node has reported.
func (s *Stats) countTermination(outcome flaxshelf.Outcome, reason flaxshelf.Reason) {
	switch {
	case outcome == flaxshelf.Completed:
		s.Completed++
	case outcome == flaxshelf.Lost && reason == flaxshelf.Evicted:
		s.Evicted++
	case outcome == flaxshelf.Lost && reason == flaxshelf.Preempted:
		s.Preempted++
	case outcome == flaxshelf.Lost:
		s.LostByNodeReport++
	}
}

// countFailedOffer counts an offer that was sent and not accepted.
func (s *Stats) countFailedOffer(outcome flaxshelf.Outcome) {
	switch outcome {
	case flaxshelf.Rejected:
		s.RejectedOffers++
	case flaxshelf.Failed:
		s.FailedOffers++
	case flaxshelf.TimedOut:
		s.TimedOutOffers++
	case flaxshelf.Lost:
		s.LostOffers++
	}
}
