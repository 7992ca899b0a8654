package countformat

import "flaxshelf.example/flaxshelf/internal/scheduler"

// outcomeTerms are the terms of outcomes and sub-states whose names on the wire differ from them.
var outcomeTerms = map[string]string{
	string(scheduler.OutcomeRejected): "rejected",
	string(scheduler.OutcomeCanceled): "canceled",
	scheduler.SubUnreachable:          "unreachable",
	scheduler.SubPreempted:            "preempted",
	scheduler.SubDrainedAway:          "drained away",
	scheduler.SubStartFailed:          "start failed",
}

// FormatOutcomes is Format for counts by outcome or sub-state. Names on the wire are replaced by their terms; other names
// stay as they are.
func FormatOutcomes(counts map[string]int) string {
	countsByTerm := make(map[string]int, len(counts))
	for name, count := range counts {
		if term, ok := outcomeTerms[name]; ok {
			name = term
		}
		countsByTerm[name] += count
	}
	return Format(countsByTerm)
}
