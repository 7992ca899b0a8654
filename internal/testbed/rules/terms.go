package rules

import "flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"

// The keys of Verdict.Replies.
const (
	replyAccepted = "accepted"
	replyRejected = "rejected: " // followed by the reason
	replyFailed   = "failed"
)

// rejectionReasons are the reasons as printed in the verdict.
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

// membershipNames are the memberships of nodes as printed in violations.
var membershipNames = map[nodepb.Standing]string{
	nodepb.Standing_IN:       "active",
	nodepb.Standing_DRAINING: "draining",
	nodepb.Standing_OUT:      "removed",
}
