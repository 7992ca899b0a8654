package scheduler

import (
	"time"

	"flaxshelf.example/flaxshelf"
)

// State is a job state of DRMAA version 2, section 7.1 of GFD.194.
type State string

// The job states. Suspended ones do not occur: nodes don't suspend jobs.
const (
	Undetermined State = "UNDETERMINED"
	Queued       State = "QUEUED"
	QueuedHeld   State = "QUEUED_HELD"
	Running      State = "RUNNING"
	Requeued     State = "REQUEUED"
	RequeuedHeld State = "REQUEUED_HELD"
	Done         State = "DONE"
	Failed       State = "FAILED"
)

// Ended reports whether s is final.
func (s State) Ended() bool { return s == Done || s == Failed }

// Sub-states refine a State. DRMAA leaves their names to the implementation.
const (
	SubWaiting     = "waiting"     // the module looks for a node
	SubRecovering  = "recovering"  // waits until the nodes have reported what they run
	SubStartTime   = "start-time"  // waits for its start time
	SubArrayLimit  = "array-limit" // waits for a slot of its array
	SubOffered     = "offered"     // an offer waits for its node's reply, or for the connection to it
	SubAccepted    = "accepted"    // a node has accepted it and has not started it yet
	SubRunning     = "running"
	SubUnreachable = "unreached" // accepted or running on a node that is not connected now
	SubStopping    = "stopping"  // its owner terminated it, and the node has not confirmed that yet
	SubRejected    = "refused"   // it never ran, or running it again does no harm
	SubUncertain   = "uncertain" // an attempt may have run
	SubTerminated  = "terminated"
	SubEvicted     = "evicted"
	SubPreempted   = "pushed-out"
	SubDrainedAway = "sent-away"
	SubLost        = "lost" // its node is gone or does not have it any more
	SubExited      = "exited"
	SubStartFailed = "broke"
	SubHeld        = "held"
	SubBackoff     = "backoff" // waits before its next placement request
)

// Spec is a job as it was submitted. The client protocol has validated it.
type Spec struct {
	Key, Session, Name, Owner, Service string

	Class, Tenant    int     // indexes in the module's configuration; Tenant is -1 for none
	Cores, Memory    float64 // in CPU cores and in the unit of memory of the module's configuration
	ExpectedRuntime  time.Duration
	Priority         int
	Rerunnable, Hold bool
	Retry            bool          // the owner has submitted this key before
	PlacementTimeout time.Duration // 0 stands for the one of the class
	NotBefore        Time          // DRMAA startTime; 0 stands for at once
	Deadline         Time          // DRMAA deadlineTime; 0 stands for none
	Template         []byte        // the DRMAA job template as the client protocol wants it back, opaque to the core
}

// Outcome is how a placement request ended. Each request has exactly one.
type Outcome string

// The outcomes of a placement request.
const (
	OutcomePlaced   Outcome = "placed"
	OutcomeRejected Outcome = "refused"   // it never ran, or running it again does no harm
	OutcomeFailed   Outcome = "failed"    // it may have run
	OutcomeCanceled Outcome = "withdrawn" // its owner held or terminated the job first
)

// Info is a snapshot of a job.
type Info struct {
	ID                string
	Spec              *Spec // shared with the core; read only
	State             State
	SubState          string
	Array             string  // ID of the job's array; empty for none
	Index             int     // in its array
	Node              string  // that the job was offered to or runs on; empty for none
	Request           int     // number of the last placement request, counted from 1
	Outcome           Outcome // of the last placement request; empty while it is open
	Attempts          int     // of the last placement request
	Exit              int     // exit status
	Signal            string
	Reason            string // why it ended or waits, in words
	SubmittedAt       Time
	RequestedAt       Time // when the last placement request was opened
	PlacementDeadline Time // when the last placement request is given up
	StartedAt         Time
	FinishedAt        Time
	Revision          uint64 // grows with each change of any job of this core
}

// MachineInfo is a node as this scheduler knows it.
type MachineInfo struct {
	flaxshelf.Machine
	Connected bool
	Jobs      int // attempts there that have not ended
}
