package scheduler

import (
	"time"

	"flaxshelf.example/flaxshelf"
)

// State is a job state of DRMAA version 2, section 7.1 of GFD.194.
type State string

// The job states. DRMAA's SUSPENDED does not occur, since nodes do not suspend jobs.
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

// Sub-states refine a State. DRMAA leaves them to the implementation. Their values are part of the client protocol; see
// SubStateTerm for the terms of logs and metrics.
const (
	SubWaiting     = "waiting"     // for the module to choose a node
	SubRecovering  = "recovering"  // waits until the nodes have reported their attempts
	SubStartTime   = "start-time"  // waits for its start time
	SubArrayLimit  = "array-limit" // waits for a slot of its array
	SubOffered     = "offered"     // an offer awaits the node's reply or the connection to the node
	SubAccepted    = "accepted"    // a node has accepted but not started it
	SubRunning     = "running"
	SubUnreachable = "unreached" // accepted or running on a node that is not connected
	SubStopping    = "stopping"  // its owner has terminated it; the node has not confirmed that
	SubRejected    = "refused"   // it never ran, or is idempotent
	SubUncertain   = "uncertain" // an attempt may have run
	SubTerminated  = "terminated"
	SubEvicted     = "evicted"
	SubPreempted   = "pushed-out"
	SubDrainedAway = "sent-away"
	SubLost        = "lost" // its node was removed, or no longer has it
	SubExited      = "exited"
	SubStartFailed = "broke"
	SubHeld        = "held"
	SubBackoff     = "backoff" // delays its next placement request
)

// Spec is a job as submitted. It has been validated by the client protocol.
type Spec struct {
	Key, Session, Name, Owner, Service string

	Class, Tenant    int     // indexes in the module's configuration; Tenant is -1 for none
	Cores, Memory    float64 // in CPU cores and in the unit of memory of the module's configuration
	ExpectedRuntime  time.Duration
	Priority         int
	Rerunnable, Hold bool
	Retry            bool          // the owner has submitted this key before
	PlacementTimeout time.Duration // zero means that of the class
	NotBefore        Time          // DRMAA startTime; zero means none
	Deadline         Time          // DRMAA deadlineTime; zero means none
	Template         []byte        // the encoded DRMAA job template, opaque to the core
}

// Outcome is how a placement request ended. Each request has exactly one. Its values are part of the client protocol; see
// Term for the terms of logs and metrics.
type Outcome string

// The outcomes of a placement request.
const (
	OutcomePlaced   Outcome = "placed"
	OutcomeRejected Outcome = "refused"   // it never ran, or is idempotent
	OutcomeFailed   Outcome = "failed"    // it may have run
	OutcomeCanceled Outcome = "withdrawn" // its owner has held or terminated the job
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
	Reason            string // why it ended or waits, for people
	SubmittedAt       Time
	RequestedAt       Time // when the last placement request was opened
	PlacementDeadline Time // of the last placement request
	StartedAt         Time
	FinishedAt        Time
	Revision          uint64 // increases with each change of any job of this core
}

// MachineInfo is a node as this scheduler knows it.
type MachineInfo struct {
	flaxshelf.Machine
	Connected bool
	Jobs      int // attempts there that have not ended
}
