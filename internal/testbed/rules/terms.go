package rules

import "flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"

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
