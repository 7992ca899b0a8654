package flaxshelf

// PolicyRule is one rule of the placement policy that Placer.Disable can switch off, so that tests show its purpose: a hard
// or soft constraint on machines, a use of evidence, or an order of queued tasks.
type PolicyRule int

// The hard constraints.
const (
	// DrainConstraint excludes draining machines.
	DrainConstraint PolicyRule = iota
	// RetrySafetyConstraint excludes machines where a second start may do harm.
	RetrySafetyConstraint
	// SpreadConstraint excludes domains that have as many tasks of a service as its class allows.
	SpreadConstraint
	// SlowStartConstraint excludes machines in slow start for which this scheduler's budget is used up.
	SlowStartConstraint
	// AnswerDeadlineConstraint gives the final answer before the task's deadline.
	AnswerDeadlineConstraint
)

// The soft constraints, in the order in which they are applied, and OverloadPenalty, which acts in the vote after them.
const (
	// PreviousAttemptConstraint avoids machines that this task was offered to before.
	PreviousAttemptConstraint PolicyRule = iota + AnswerDeadlineConstraint + 1
	// EjectionConstraint avoids machines that are ejected.
	EjectionConstraint
	// ClassEjectionConstraint avoids machines on which the task's class is ejected.
	ClassEjectionConstraint
	// RejectionConstraint avoids machines that recently rejected a task of the same size or a smaller one.
	RejectionConstraint
	// OfferLimitConstraint limits the pending offers to a machine after a rejection.
	OfferLimitConstraint
	// CapacityConstraint avoids machines without free capacity by the list.
	CapacityConstraint
	// ConsolidationConstraint avoids machines beyond those that the requests of the fleet need.
	ConsolidationConstraint
	// OverloadPenalty counts the service shortfall of overloaded machines as load in the vote; it excludes none.
	OverloadPenalty
	// ReportedLoadConstraint avoids machines whose reported load is far above the mean.
	ReportedLoadConstraint
	// AffinityConstraint keeps to the service's preferred machines.
	AffinityConstraint
)

// The ways in which evidence is used, and the order of queued tasks.
const (
	// ForgetRemovedMachinePlacements removes placements on removed or restarted machines from the history.
	ForgetRemovedMachinePlacements PolicyRule = iota + AffinityConstraint + 1
	// ForgetUnstartedPlacements removes placements that never ran from the history.
	ForgetUnstartedPlacements
	// TrialPlacement limits a failing machine to one offer until its outcome shows whether the machine has recovered.
	TrialPlacement
	// AssumedCapacity subtracts what recent placements request, which the machine list may not show yet, from the listed free
	// capacity.
	AssumedCapacity
	// QueueRankOrder serves tasks within their tenant's quota first, and among these the ones that can still start within
	// their latency objective.
	QueueRankOrder
	// ArrivalOrder serves the oldest first of these; without it, the latest.
	ArrivalOrder
	// TaskMigration migrates tasks that are served poorly.
	TaskMigration

	policyRuleCount
)

// policyRuleNames are stored in results and printed, so they are not renamed with the constants.
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

// String returns the name under which results are stored.
func (r PolicyRule) String() string { return policyRuleNames[r] }

// IsHard reports whether the rule is a hard constraint: a guarantee to users depends on it.
func (r PolicyRule) IsHard() bool { return r <= AnswerDeadlineConstraint }

// Disable switches rules off. It is for tests and experiments only and must be called before the first Step.
func (p *Placer) Disable(rules ...PolicyRule) {
	for _, r := range rules {
		p.disabled[r] = true
	}
}
