package flaxshelf

// What of the decisions can be taken out, one at a time, so that tests see what it is for. Nothing is decided here.

// Constraint is a bar, or a way in which evidence is read.
type Constraint int

// The hard bars, then the soft bars in their order, then the ways of evidence.
const (
	DrainConstraint           Constraint = iota // machines that drain
	RetrySafetyConstraint                       // where a second start would do harm
	SpreadConstraint                            // places that have their most of a service
	SlowStartConstraint                         // cold machines that have had this scheduler's share
	AnswerDeadlineConstraint                    // the final answer before the owner gives up
	TriedConstraint                             // tried already for this ask
	FailingConstraint                           // failing, lost or out of reach
	ClassFailureConstraint                      // failing this class
	RejectionConstraint                         // refused such a size lately
	OfferLimitConstraint                        // enough offers are out since a refusal
	CapacityConstraint                          // no room by the list
	ConsolidationConstraint                     // more machines than are needed
	OverloadLoad                                // tasks are served badly: load in the vote, no bar
	ReportedLoadConstraint                      // the report is far over the others'
	AffinityConstraint                          // not the service's homes
	ForgetRemovedPlacements                     // binds of a machine that is gone leave the history
	ForgetUnstartedPlacements                   // binds that proved not to have run leave it
	TrialPlacement                              // one offer finds out whether a failing machine has recovered
	StaleCapacity                               // the list's room less what it may lack
	ObjectiveOrder                              // tasks that can still start in time go first
	ArrivalOrder                                // of these the one that came first; without it, the last
	Migrations                                  // tasks that are served badly are moved
	constraintCount
)

var constraintNames = [constraintCount]string{"drain", "repeat", "spread", "cold", "answer", "tried", "failing", "class", "refused",
	"rushed", "room", "needed", "strained", "contradicted", "homes", "gone-binds", "proved-binds", "probe", "late-room",
	"waits", "oldest", "moves"}

// Constraints lists all.
func Constraints() []Constraint {
	all := make([]Constraint, constraintCount)
	for i := range all {
		all[i] = Constraint(i)
	}
	return all
}

func (b Constraint) String() string { return constraintNames[b] }

// IsHard tells whether a rule hangs on it.
func (b Constraint) IsHard() bool { return b <= AnswerDeadlineConstraint }

// Disable takes bars out. It is for tests and experiments, before the first Step; no deployment does it.
func (p *Placer) Disable(out ...Constraint) {
	for _, b := range out {
		p.disabled[b] = true
	}
}
