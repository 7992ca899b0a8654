package requests

import "flaxshelf.example/flaxshelf"

// Stats holds the gauges and counters of a Core. Counters start at zero when the Core is created. The statistics in the log
// have the names of these fields.
type Stats struct {
	// Gauges.
	Pending         int // requests that wait for a response
	Running         int // running tasks, including those whose release is not confirmed
	RunningUnlisted int // those of Running that were adopted on nodes that no endpoint list had contained
	Owners          int // owners' connections
	Nodes           int
	Links           int

	// Counters of requests, by their final response, and of offers.
	Placed   uint64
	Rejected uint64
	Failed   uint64
	Canceled uint64 // by their owners, or because the owner's connection ended
	Offers   uint64 // attempts that were started, including those that ended before the offer was sent

	// Counters of running tasks: adopted, ended for any reason, and ended by a report of the node or by its loss.
	Adopted           uint64
	Ended             uint64
	Completed         uint64
	Evicted           uint64
	Preempted         uint64
	LostByNodeReport  uint64
	LostToNodeDeath   uint64
	LostToUnreachable uint64
	LostToRemoval     uint64

	// Counters of offers that did not lead to a running task.
	RejectedOffers    uint64
	FailedOffers      uint64
	TimedOutOffers    uint64
	LostOffers        uint64
	UnreachableOffers uint64

	OwnersClosed    uint64 // owners' connections that the core closed
	RejectedAtLimit uint64 // requests rejected because a limit was reached
	BrokenLinks     uint64
	SuspectedLinks  uint64 // links that were suspected because their node had sent nothing for too long
	StaleMessages   uint64 // acceptances by nodes where the task has no attempt
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
