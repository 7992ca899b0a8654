package scheduler

import (
	"time"

	"flaxshelf.example/flaxshelf"
)

// JobState is a job state of DRMAA version 2, section 7.1 of GFD.194.
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

// Ended reports whether s is final.
func (s JobState) Ended() bool { return s == Done || s == Failed }

// Sub-states refine a JobState. DRMAA leaves them to the implementation. Their values are part of the client protocol; see
// SubStateDisplayName for the terms of logs and metrics.
const (
	SubStateWaiting     = "waiting"     // for the module to choose a node
	SubStateRecovering  = "recovering"  // waits until the nodes have reported their attempts
	SubStateStartTime   = "start-time"  // waits for its start time
	SubStateArrayLimit  = "array-limit" // waits for a slot of its array
	SubStateOffered     = "offered"     // an offer awaits the node's reply or the connection to the node
	SubStateAccepted    = "accepted"    // a node has accepted but not started it
	SubStateRunning     = "running"
	SubStateUnreachable = "unreached" // accepted or running on a node that is not connected
	SubStateStopping    = "stopping"  // its owner has terminated it; the node has not confirmed that
	SubStateRejected    = "refused"   // it never ran, or is idempotent
	SubStateUncertain   = "uncertain" // an attempt may have run
	SubStateTerminated  = "terminated"
	SubStateEvicted     = "evicted"
	SubStatePreempted   = "pushed-out"
	SubStateDrainedAway = "sent-away"
	SubStateLost        = "lost" // its node was removed, or no longer has it
	SubStateExited      = "exited"
	SubStateStartFailed = "broke"
	SubStateHeld        = "held"
	SubStateBackoff     = "backoff" // delays its next placement request
)

// JobSpec is a job as submitted. It has been validated by the client protocol.
type JobSpec struct {
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

// PlacementOutcome is how a placement request ended. Each request has exactly one. Its values are part of the client
// protocol; logs and metrics show DisplayName instead.
type PlacementOutcome string

// The outcomes of a placement request.
const (
	OutcomePlaced   PlacementOutcome = "placed"
	OutcomeRejected PlacementOutcome = "refused"   // it never ran, or is idempotent
	OutcomeFailed   PlacementOutcome = "failed"    // it may have run
	OutcomeCanceled PlacementOutcome = "withdrawn" // its owner has held or terminated the job
)

// JobInfo is a snapshot of a job.
type JobInfo struct {
	ID                string
	Spec              *JobSpec // shared with the core; read only
	State             JobState
	SubState          string
	ArrayID           string           // ID of the job's array; empty for none
	ArrayIndex        int              // in its array
	Node              string           // that the job was offered to or runs on; empty for none
	PlacementRequest  int              // number of the last placement request, counted from 1
	Outcome           PlacementOutcome // of the last placement request; empty while it is open
	Attempts          int              // of the last placement request
	ExitStatus        int              // exit status
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
