package flaxshelf

// Constraint names a part of the decisions that Placer.Disable takes out, so that tests see what it is for: a hard or soft
// constraint on machines, or a way in which evidence is read.
type Constraint int

// The hard constraints.
const (
	// DrainConstraint excludes draining machines.
	DrainConstraint Constraint = iota
	// RetrySafetyConstraint excludes machines where a second start may do harm.
	RetrySafetyConstraint
	// SpreadConstraint excludes domains that have the most tasks of a service that its class allows.
	SpreadConstraint
	// SlowStartConstraint excludes machines in slow start for which this scheduler's budget is used.
	SlowStartConstraint
	// AnswerDeadlineConstraint gives the final answer before the task's deadline.
	AnswerDeadlineConstraint
)

// The soft constraints, in the order in which they are applied, and OverloadLoad, which acts in the vote after them.
const (
	// TriedConstraint avoids machines that this task was offered to.
	TriedConstraint Constraint = iota + AnswerDeadlineConstraint + 1
	// FailingConstraint avoids machines that are ejected.
	FailingConstraint
	// ClassFailureConstraint avoids machines on which the task's class is ejected.
	ClassFailureConstraint
	// RejectionConstraint avoids machines that rejected a task of such a size lately.
	RejectionConstraint
	// OfferLimitConstraint limits the pending offers to a machine after a rejection.
	OfferLimitConstraint
	// CapacityConstraint avoids machines without free capacity by the list.
	CapacityConstraint
	// ConsolidationConstraint avoids machines beyond those that the fleet needs.
	ConsolidationConstraint
	// OverloadLoad counts the service shortfall of overloaded machines as load in the vote; it excludes none.
	OverloadLoad
	// ReportedLoadConstraint avoids machines whose load report is far over the others'.
	ReportedLoadConstraint
	// AffinityConstraint keeps to the service's preferred machines.
	AffinityConstraint
)

// The ways in which evidence is read, and the order of waiting tasks.
const (
	// ForgetRemovedPlacements takes placements on removed machines out of the history.
	ForgetRemovedPlacements Constraint = iota + AffinityConstraint + 1
	// ForgetUnstartedPlacements takes placements that never ran out of the history.
	ForgetUnstartedPlacements
	// TrialPlacement lets one offer find out whether a failing machine has recovered.
	TrialPlacement
	// StaleCapacity subtracts from the listed free capacity what the list may not show yet.
	StaleCapacity
	// ObjectiveOrder serves tasks first that can still start within their latency objective.
	ObjectiveOrder
	// ArrivalOrder serves the oldest first of these; without it, the latest.
	ArrivalOrder
	// Migrations migrates tasks that are served poorly.
	Migrations

	constraintCount
)

// constraintNames are stored in results and printed, so they don't follow the names of the constants.
var constraintNames = [constraintCount]string{
	DrainConstraint:           "drain",
	RetrySafetyConstraint:     "repeat",
	SpreadConstraint:          "spread",
	SlowStartConstraint:       "cold",
	AnswerDeadlineConstraint:  "answer",
	TriedConstraint:           "tried",
	FailingConstraint:         "failing",
	ClassFailureConstraint:    "class",
	RejectionConstraint:       "refused",
	OfferLimitConstraint:      "rushed",
	CapacityConstraint:        "room",
	ConsolidationConstraint:   "needed",
	OverloadLoad:              "strained",
	ReportedLoadConstraint:    "contradicted",
	AffinityConstraint:        "homes",
	ForgetRemovedPlacements:   "gone-binds",
	ForgetUnstartedPlacements: "proved-binds",
	TrialPlacement:            "probe",
	StaleCapacity:             "late-room",
	ObjectiveOrder:            "waits",
	ArrivalOrder:              "oldest",
	Migrations:                "moves",
}

// Constraints lists all constraints, in the order of their values.
func Constraints() []Constraint {
	all := make([]Constraint, constraintCount)
	for i := range all {
		all[i] = Constraint(i)
	}
	return all
}

// String is the name under which results are stored.
func (c Constraint) String() string { return constraintNames[c] }

// IsHard reports whether a rule that users rely on depends on the constraint.
func (c Constraint) IsHard() bool { return c <= AnswerDeadlineConstraint }

// Disable takes constraints out. It is for tests and experiments and must be called before the first Step; no deployment
// does it.
func (p *Placer) Disable(constraints ...Constraint) {
	for _, c := range constraints {
		p.disabled[c] = true
	}
}
