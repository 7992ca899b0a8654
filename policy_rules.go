package flaxshelf

// PolicyRule is one rule of the placement policy: a hard or soft constraint on machines, a use of evidence, or an order of
// queued tasks. Placer.Disable switches rules off, so that tests can show what each is for.
type PolicyRule int

// The hard constraints.
const (
	// DrainConstraint excludes draining machines.
	DrainConstraint PolicyRule = iota
	// RetrySafetyConstraint excludes machines on which a second start of a task may do harm.
	RetrySafetyConstraint
	// SpreadConstraint excludes domains that already have as many tasks of a service as the class allows.
	SpreadConstraint
	// SlowStartConstraint excludes machines in slow start for which this scheduler has used up its offers.
	SlowStartConstraint
	// AnswerDeadlineConstraint gives the final answer before the task's deadline.
	AnswerDeadlineConstraint
)

// The soft constraints, in the order in which they are applied, and OverloadPenalty, which acts in the vote after them.
const (
	// PreviousAttemptConstraint avoids machines that the task was offered to before.
	PreviousAttemptConstraint PolicyRule = iota + AnswerDeadlineConstraint + 1
	// EjectionConstraint avoids machines that are ejected.
	EjectionConstraint
	// ClassEjectionConstraint avoids machines on which the task's class is ejected.
	ClassEjectionConstraint
	// RejectionConstraint avoids machines that recently rejected a task of the same size or a smaller one.
	RejectionConstraint
	// OfferLimitConstraint limits the pending offers to a machine after a rejection.
	OfferLimitConstraint
	// CapacityConstraint avoids machines that lack free capacity according to the machine list.
	CapacityConstraint
	// ConsolidationConstraint avoids machines that are not needed for what is requested of the fleet.
	ConsolidationConstraint
	// OverloadPenalty counts the service shortfall of overloaded machines as load in the vote; it excludes no machine.
	OverloadPenalty
	// ReportedLoadConstraint avoids machines whose reported load is far above the mean.
	ReportedLoadConstraint
	// AffinityConstraint avoids machines that are not among the preferred ones of the task's service.
	AffinityConstraint
)

// The uses of evidence, and the orders of queued tasks.
const (
	// ForgetRemovedMachinePlacements removes placements on removed or restarted machines from the history.
	ForgetRemovedMachinePlacements PolicyRule = iota + AffinityConstraint + 1
	// ForgetUnstartedPlacements removes placements that never ran from the history.
	ForgetUnstartedPlacements
	// TrialPlacement limits a failing machine to one offer until its outcome shows whether the machine has recovered.
	TrialPlacement
	// AssumedCapacity subtracts from the listed free capacity what recent placements request, since the machine list may not
	// show them yet.
	AssumedCapacity
	// QueueRankOrder places tasks within their tenant's quota first, and among these the ones that can still start within
	// their latency objective.
	QueueRankOrder
	// ArrivalOrder places the oldest task first among those of one rank. Without it, the latest is first.
	ArrivalOrder
	// TaskMigration migrates tasks that get poor service.
	TaskMigration

	policyRuleCount
)

// policyRuleNames are the names of the rules in stored results and printed output. They must not change, even if a constant
// is renamed.
var policyRuleNames = [policyRuleCount]string{
	DrainConstraint:                "drain",
	RetrySafetyConstraint:          "repeat",
	SpreadConstraint:               "spread",
	SlowStartConstraint:            "cold",
	AnswerDeadlineConstraint:       "answer",
	PreviousAttemptConstraint:      "tried",
	EjectionConstraint:             "failing",
	ClassEjectionConstraint:        "class",
	RejectionConstraint:            "refused",
	OfferLimitConstraint:           "rushed",
	CapacityConstraint:             "room",
	ConsolidationConstraint:        "needed",
	OverloadPenalty:                "strained",
	ReportedLoadConstraint:         "contradicted",
	AffinityConstraint:             "homes",
	ForgetRemovedMachinePlacements: "gone-binds",
	ForgetUnstartedPlacements:      "proved-binds",
	TrialPlacement:                 "probe",
	AssumedCapacity:                "late-room",
	QueueRankOrder:                 "waits",
	ArrivalOrder:                   "oldest",
	TaskMigration:                  "moves",
}

// PolicyRules returns all rules, in the order of their values.
func PolicyRules() []PolicyRule {
	all := make([]PolicyRule, policyRuleCount)
	for i := range all {
		all[i] = PolicyRule(i)
	}
	return all
}

// String returns the name of the rule in stored results.
func (r PolicyRule) String() string { return policyRuleNames[r] }

// IsHard reports whether the rule is a hard constraint: a guarantee to users depends on it.
func (r PolicyRule) IsHard() bool { return r <= AnswerDeadlineConstraint }

// Disable switches rules off. It is for tests and experiments only. It must be called before the first Step.
func (p *Placer) Disable(rules ...PolicyRule) {
	for _, r := range rules {
		p.disabled[r] = true
	}
}
