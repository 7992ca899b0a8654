package scheduler

import (
	"time"

	"flaxshelf.example/flaxshelf"
)

// JobState is a job state of DRMAA version 2; see section 7.1 of GFD.194.
type JobState string

// The job states. DRMAA's SUSPENDED does not occur, since nodes do not suspend jobs.
const (
	Undetermined JobState = "UNDETERMINED"
	Queued       JobState = "QUEUED"
	QueuedHeld   JobState = "QUEUED_HELD"
	Running      JobState = "RUNNING"
	Requeued     JobState = "REQUEUED"
	RequeuedHeld JobState = "REQUEUED_HELD"
	Done         JobState = "DONE"
	Failed       JobState = "FAILED"
)

// Ended reports whether s is a final state.
func (s JobState) Ended() bool { return s == Done || s == Failed }

// Sub-states refine a JobState. DRMAA leaves them to the implementation. Their values are part of the client protocol, and
// some use older words; logs and metrics show SubStateDisplayName instead.
const (
	SubStateWaiting     = "waiting"     // waits for the module to choose a node
	SubStateRecovering  = "recovering"  // waits until the nodes have reported their attempts
	SubStateStartTime   = "start-time"  // waits for its start time
	SubStateArrayLimit  = "array-limit" // waits for a slot of its array
	SubStateOffered     = "offered"     // an offer awaits the node's reply or the connection to the node
	SubStateAccepted    = "accepted"    // a node has accepted but not started it
	SubStateRunning     = "running"
	SubStateUnreachable = "unreached" // accepted or running on a node whose connection is lost
	SubStateStopping    = "stopping"  // terminated by its owner or its deadline; the node has not confirmed the stop
	SubStateRejected    = "refused"   // not placed; it never ran or is idempotent, so that it is safe to submit again
	SubStateUncertain   = "uncertain" // not placed, but an attempt may have run
	SubStateTerminated  = "terminated"
	SubStateEvicted     = "evicted"
	SubStatePreempted   = "pushed-out"
	SubStateDrainedAway = "sent-away"
	SubStateLost        = "lost" // its node was removed or does not report it any more
	SubStateExited      = "exited"
	SubStateStartFailed = "broke"
	SubStateHeld        = "held"
	SubStateBackoff     = "backoff" // waits before its next placement request
)

// JobSpec is a job as submitted. The core relies on the client protocol to validate it, except for the class and the
// session.
type JobSpec struct {
	Key, Session, Name, Owner, Service string

	Class, Tenant    int     // indexes in the module's configuration; a Tenant of -1 means none
	Cores, Memory    float64 // requested CPU cores, and memory in the unit of the module's configuration
	ExpectedRuntime  time.Duration
	Priority         int
	Rerunnable, Hold bool
	Retry            bool          // the owner marks this as a repeat of an earlier submission
	PlacementTimeout time.Duration // zero means the timeout of the class
	NotBefore        Time          // DRMAA startTime; zero means none
	Deadline         Time          // DRMAA deadlineTime; zero means none
	Template         []byte        // the encoded DRMAA job template, opaque to the core
}

// PlacementOutcome is how a placement request ended. Each request has exactly one. Its values are part of the client
// protocol; logs and metrics show DisplayName instead.
type PlacementOutcome string

// The outcomes of a placement request.
const (
	OutcomePlaced   PlacementOutcome = "placed"
	OutcomeRejected PlacementOutcome = "refused"   // the job never ran or is idempotent
	OutcomeFailed   PlacementOutcome = "failed"    // the job may have run
	OutcomeCanceled PlacementOutcome = "withdrawn" // the job was held or terminated
)

// JobInfo is a snapshot of a job.
type JobInfo struct {
	ID                string
	Spec              *JobSpec // shared with the core; read only
	State             JobState
	SubState          string
	ArrayID           string           // ID of the job's array; empty for none
	ArrayIndex        int              // index in the array
	Node              string           // ID of the node that the job was offered to or runs on; empty for none
	PlacementRequest  int              // number of the last placement request, counted from 1
	Outcome           PlacementOutcome // outcome of the last placement request; empty while it is open
	Attempts          int              // number of attempts of the last placement request
	ExitStatus        int
	Signal            string // signal that ended the job; the core does not set it
	Reason            string // explains to people why the job ended or waits
	SubmittedAt       Time
	RequestedAt       Time // when the last placement request was opened
	PlacementDeadline Time // of the last placement request
	StartedAt         Time
	FinishedAt        Time
	Revision          uint64 // number of the job's last change; the core numbers the changes of all jobs in order
}

// MachineInfo is the state of a machine and its node, as this scheduler knows it.
type MachineInfo struct {
	flaxshelf.Machine
	Connected bool
	Jobs      int // attempts on the node that have not ended
}
