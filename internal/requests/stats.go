package requests

import "flaxshelf.example/flaxshelf"

// Stats are the gauges and counters of a core. All counters count since its start.
type Stats struct {
	// Gauges. Owners counts their connections.
	Pending, Running, RunningUnlisted, Owners, Nodes, Links int
	// Requests by their final response, requests that their owners canceled, and offers made.
	Placed, Rejected, Failed, Canceled, Offers uint64
	// Tasks adopted, and running tasks that have ended: by their node's report and its reason, or without one.
	Adopted, Ended, Completed, Evicted, Preempted, LostByNodeReport uint64
	LostToNodeDeath, LostToUnreachable, LostToRemoval               uint64
	// Offers that did not end in a running task.
	RejectedOffers, FailedOffers, TimedOutOffers, LostOffers, UnreachableOffers uint64
	// Owners' connections closed, and requests rejected because a bound was reached.
	OwnersClosed, RejectedAtLimit uint64
	// Links that broke or were replaced for silence, and nodes' acceptances of tasks without an attempt there.
	BrokenLinks, SuspectedLinks, StaleMessages uint64
}

// countTermination counts why a running task ended by its node's report.
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

// countFailedOffer counts how an offer ended that was written and not accepted.
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
