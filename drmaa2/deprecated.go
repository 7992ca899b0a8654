package drmaa2

import "context"

// Former names of attributes. Each has the value of the name that replaces it.
const (
	// AttrLife is the former name of AttrExpectedRuntime.
	//
	// Deprecated: use AttrExpectedRuntime; removed in 0.2.0.
	AttrLife = AttrExpectedRuntime
	// AttrGiveUp is the former name of AttrPlacementTimeout.
	//
	// Deprecated: use AttrPlacementTimeout; removed in 0.2.0.
	AttrGiveUp = AttrPlacementTimeout
	// AttrAsk is the former name of AttrPlacementRequests.
	//
	// Deprecated: use AttrPlacementRequests; removed in 0.2.0.
	AttrAsk = AttrPlacementRequests
	// AttrAskedAt is the former name of AttrRequestedAt.
	//
	// Deprecated: use AttrRequestedAt; removed in 0.2.0.
	AttrAskedAt = AttrRequestedAt
	// AttrDue is the former name of AttrPlacementDeadline.
	//
	// Deprecated: use AttrPlacementDeadline; removed in 0.2.0.
	AttrDue = AttrPlacementDeadline
	// AttrStanding is the former name of AttrMachineState.
	//
	// Deprecated: use AttrMachineState; removed in 0.2.0.
	AttrStanding = AttrMachineState
)

// RunJobAgain is the former name of ResubmitJob.
//
// Deprecated: use ResubmitJob; removed in 0.2.0.
func (s *JobSession) RunJobAgain(ctx context.Context, template JobTemplate) (*Job, error) {
	return s.ResubmitJob(ctx, template)
}
