package countformat

// outcomeTerms are the terms that reports use for outcomes and sub-states, by their names on the wire. It has only those whose
// term differs from the name. The names are literals rather than constants of the scheduler, since the rules checker imports
// this package and must not depend on the scheduler.
var outcomeTerms = map[string]string{
	"refused":    "rejected",
	"withdrawn":  "canceled",
	"unreached":  "unreachable",
	"pushed-out": "preempted",
	"sent-away":  "drained away",
	"broke":      "start failed",
}

// OutcomeTerm returns the term that reports use for an outcome or sub-state with the given name on the wire. Other names are
// returned unchanged.
func OutcomeTerm(name string) string {
	if term, ok := outcomeTerms[name]; ok {
		return term
	}
	return name
}

// FormatOutcomes formats counts of outcomes or sub-states like Format, with names on the wire replaced by their terms. Counts
// with the same term are added up.
func FormatOutcomes(counts map[string]int) string {
	countsByTerm := make(map[string]int, len(counts))
	for name, count := range counts {
		countsByTerm[OutcomeTerm(name)] += count
	}
	return Format(countsByTerm)
}
