package requests

import "flaxshelf.example/flaxshelf"

// Stats are the gauges and counters of a Core. Counters count since its start. The names of the fields are those of the
// statistics in the log.
type Stats struct {
	// Gauges.
	Pending         int // requests without a response
	Running         int // running tasks, including those whose release is not confirmed
	RunningUnlisted int // of Running, those on nodes that no endpoint list had named
	Owners          int // owners' connections
	Nodes           int
	Links           int

	// Requests by their final response, and offers.
	Placed   uint64
	Rejected uint64
	Failed   uint64
	Canceled uint64 // by their owners
	Offers   uint64 // offers that were started

	// Running tasks: adopted, ended in any way, and ended by their node's report or loss.
	Adopted           uint64
	Ended             uint64
	Completed         uint64
	Evicted           uint64
	Preempted         uint64
	LostByNodeReport  uint64
	LostToNodeDeath   uint64
	LostToUnreachable uint64
	LostToRemoval     uint64

	// Offers that did not end in a running task.
	RejectedOffers    uint64
	FailedOffers      uint64
	TimedOutOffers    uint64
	LostOffers        uint64
	UnreachableOffers uint64

	OwnersClosed    uint64 // owners' connections that the core closed
	RejectedAtLimit uint64 // requests rejected because a limit was reached
	BrokenLinks     uint64
	SuspectedLinks  uint64 // links that were to be replaced because their node was silent
	StaleMessages   uint64 // nodes' acceptances of tasks without an attempt there
}

// countTermination counts a running task that ended by its node's report.
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

// countFailedOffer counts an offer that was written and not accepted.
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
