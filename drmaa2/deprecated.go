package drmaa2

// Names of attributes that programs written against earlier versions use. Their strings are the same.
const (
	// AttrLife is the former name of AttrExpectedRuntime.
	//
	// Deprecated: use AttrExpectedRuntime.
	AttrLife = AttrExpectedRuntime
	// AttrAsk is the former name of AttrPlacementRequests.
	//
	// Deprecated: use AttrPlacementRequests.
	AttrAsk = AttrPlacementRequests
	// AttrAskedAt is the former name of AttrRequestedAt.
	//
	// Deprecated: use AttrRequestedAt.
	AttrAskedAt = AttrRequestedAt
	// AttrStanding is the former name of AttrMachineState.
	//
	// Deprecated: use AttrMachineState.
	AttrStanding = AttrMachineState
)
