package flaxshelf

// Constraint is a part of the decisions that Placer.Disable can switch off, so that tests show its purpose: a hard or soft
// constraint on machines, or a way in which evidence is used.
type Constraint int

// The hard constraints.
const (
	// DrainConstraint excludes draining machines.
	DrainConstraint Constraint = iota
	// RetrySafetyConstraint excludes machines where a second start may do harm.
	RetrySafetyConstraint
	// SpreadConstraint excludes domains that have as many tasks of a service as its class allows.
	SpreadConstraint
	// SlowStartConstraint excludes machines in slow start for which this scheduler's budget is used up.
	SlowStartConstraint
	// AnswerDeadlineConstraint gives the final answer before the task's deadline.
	AnswerDeadlineConstraint
)

// The soft constraints, in the order in which they are applied, and OverloadLoad, which acts in the vote after them.
const (
	// TriedConstraint avoids machines that this task was offered to before.
	TriedConstraint Constraint = iota + AnswerDeadlineConstraint + 1
	// FailingConstraint avoids machines that are ejected.
	FailingConstraint
	// ClassFailureConstraint avoids machines on which the task's class is ejected.
	ClassFailureConstraint
	// RejectionConstraint avoids machines that recently rejected a task of the same size or a smaller one.
	RejectionConstraint
	// OfferLimitConstraint limits the pending offers to a machine after a rejection.
	OfferLimitConstraint
	// CapacityConstraint avoids machines without free capacity by the list.
	CapacityConstraint
	// ConsolidationConstraint avoids machines beyond those that the requests of the fleet need.
	ConsolidationConstraint
	// OverloadLoad counts the service shortfall of overloaded machines as load in the vote; it excludes none.
	OverloadLoad
	// ReportedLoadConstraint avoids machines whose reported load is far above the mean.
	ReportedLoadConstraint
	// AffinityConstraint keeps to the service's preferred machines.
	AffinityConstraint
)

// The ways in which evidence is used, and the order of queued tasks.
const (
	// ForgetRemovedPlacements removes placements on removed machines from the history.
	ForgetRemovedPlacements Constraint = iota + AffinityConstraint + 1
	// ForgetUnstartedPlacements removes placements that never ran from the history.
	ForgetUnstartedPlacements
	// TrialPlacement limits a failing machine to one offer until its outcome shows whether the machine has recovered.
	TrialPlacement
	// StaleCapacity subtracts assumed capacity, which the list may not show yet, from the listed free capacity.
	StaleCapacity
	// ObjectiveOrder serves tasks within their tenant's quota first, and among these the ones that can still start within
	// their latency objective.
	ObjectiveOrder
	// ArrivalOrder serves the oldest first of these; without it, the latest.
	ArrivalOrder
	// Migrations migrates tasks that are served poorly.
	Migrations

	constraintCount
)

// constraintNames are stored in results and printed, so they are not renamed with the constants.
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

// Constraints returns all constraints, in the order of their values.
func Constraints() []Constraint {
	all := make([]Constraint, constraintCount)
	for i := range all {
		all[i] = Constraint(i)
	}
	return all
}

// String returns the name under which results are stored.
func (c Constraint) String() string { return constraintNames[c] }

// IsHard reports whether the constraint is hard: a guarantee to users depends on it.
func (c Constraint) IsHard() bool { return c <= AnswerDeadlineConstraint }

// Disable switches constraints off. It is for tests and experiments only and must be called before the first Step.
func (p *Placer) Disable(constraints ...Constraint) {
	for _, c := range constraints {
		p.disabled[c] = true
	}
}
