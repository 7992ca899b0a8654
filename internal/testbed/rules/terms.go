package rules

import "flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"

// outcomeTerms are the terms of outcomes whose names on the wire differ.
var outcomeTerms = map[string]string{
	"refused":   "rejected",
	"withdrawn": "canceled",
}

// OutcomeTerm returns the term of the outcome of a placement request, by its name on the wire.
func OutcomeTerm(outcome string) string {
	if term, ok := outcomeTerms[outcome]; ok {
		return term
	}
	return outcome
}

// Replies of nodes to offers, as Verdict.Replies counts them.
const (
	replyAccepted = "accepted"
	replyRejected = "rejected: " // followed by the reason
	replyFailed   = "failed"
)

var rejectionReasons = map[nodepb.Reason]string{
	nodepb.Reason_UNTOLD:        "unspecified",
	nodepb.Reason_NO_CORES:      "insufficient cores",
	nodepb.Reason_NO_MEMORY:     "insufficient memory",
	nodepb.Reason_TOO_MANY_WAIT: "queue full",
	nodepb.Reason_NOT_HERE:      "unsupported task",
	nodepb.Reason_EVICTED:       "evicted",
	nodepb.Reason_PUSHED_OUT:    "preempted",
	nodepb.Reason_SENT_AWAY:     "drained away",
}

var membershipNames = map[nodepb.Standing]string{
	nodepb.Standing_IN:       "active",
	nodepb.Standing_DRAINING: "draining",
	nodepb.Standing_OUT:      "removed",
}
