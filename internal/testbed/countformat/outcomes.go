package countformat

// outcomeTerms are the terms of outcomes and sub-states whose names on the wire differ from them. The names are written out,
// not taken from the scheduler, since the rules checker imports this package and must not depend on the scheduler.
var outcomeTerms = map[string]string{
	"refused":    "rejected",
	"withdrawn":  "canceled",
	"unreached":  "unreachable",
	"pushed-out": "preempted",
	"sent-away":  "drained away",
	"broke":      "start failed",
}

// OutcomeTerm returns the term of an outcome or sub-state, by its name on the wire, and any other name as it is.
func OutcomeTerm(name string) string {
	if term, ok := outcomeTerms[name]; ok {
		return term
	}
	return name
}

// FormatOutcomes is Format for counts by outcome or sub-state. Names on the wire are replaced by their terms; other names
// stay as they are.
func FormatOutcomes(counts map[string]int) string {
	countsByTerm := make(map[string]int, len(counts))
	for name, count := range counts {
		countsByTerm[OutcomeTerm(name)] += count
	}
	return Format(countsByTerm)
}
