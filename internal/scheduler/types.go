package scheduler

import (
	"time"

	"flaxshelf.example/flaxshelf"
)

// Time is the host's clock in nanoseconds of Unix time, moving only forward.
type Time = flaxshelf.Time

// Limits bound what a Core keeps and waits for.
type Limits struct {
	MaxPending        int           // jobs without an outcome; more are turned away with TryLater
	MaxRunning        int           // jobs that run, besides
	MaxFinished       int           // ended jobs kept for their owners; the oldest goes first
	MaxSessions       int           // job sessions
	Retention         time.Duration // how long an ended job is kept
	SettleTime        time.Duration // how long a work that may run somewhere is waited for before it may start anew
	PlacementTimeouts []time.Duration
	StallThreshold    time.Duration // a step later than this after the last one is a stall
}

// Module is a module: a flaxshelf.Placer, or a baseline in its place.
type Module interface {
	Step(now Time, events []flaxshelf.Event) []flaxshelf.Action
}

// Config is what a Core is told when it starts.
type Config struct {
	Module    flaxshelf.Config
	Seed      uint64
	Name      string // of this scheduler, the same in each of its lives
	StartedAt Time   // start of this life
	Limits    Limits
	// NewModule makes the module; nil: flaxshelf.New. Experiments put baselines in its place.
	NewModule func(cfg flaxshelf.Config, seed uint64) (Module, error)
	// RecordStep, when set, is given each step of the module. It must not keep or change the slices.
	RecordStep func(now Time, events []flaxshelf.Event, actions []flaxshelf.Action)
	// DisabledGuards takes guards of the core out, for tests: the module alone must keep the rule, or it is seen broken.
	DisabledGuards Guards
	// WrapStep, when set, runs each step of the module, so that a host can measure its share. It must call step.
	WrapStep func(step func())
}

// Guards are what the core keeps again that the module keeps already.
type Guards struct {
	Drain  bool // no offer to a node that drains
	Answer bool // an answer where the module gave none in time
}

// State is a job state of DRMAA version 2, section 7.1 of GFD.194.
type State string

// The job states. Suspended ones do not occur: nodes don't suspend.
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

// Ended tells whether s is final.
func (s State) Ended() bool { return s == Done || s == Failed }

// Sub-states refine a State. Their names are ours, as the specification allows.
const (
	SubWaiting     = "waiting"     // the module has it and looks for a node
	SubRecovering  = "recovering"  // waits until the nodes have told what they run
	SubStartTime   = "start-time"  // waits for its start time
	SubArrayLimit  = "array-limit" // waits for a slot of its array
	SubOffered     = "offered"
	SubAccepted    = "accepted" // a node has it and has not started it yet
	SubRunning     = "running"
	SubUnreachable = "unreached" // runs on a node that can't be reached now
	SubStopping    = "stopping"
	SubRejected    = "refused" // never ran; asking again does no harm
	SubUncertain   = "uncertain"
	SubTerminated  = "terminated"
	SubEvicted     = "evicted"
	SubPreempted   = "pushed-out"
	SubDrainedAway = "sent-away"
	SubLost        = "lost"
	SubExited      = "exited"
	SubStartFailed = "broke"
	SubHeld        = "held"
	SubBackoff     = "backoff"
)

// Spec is a job as it was submitted, checked by the front.
type Spec struct {
	Key, Session, Name, Owner, Service string
	Class, Tenant                      int // indexes in the module's settings; Tenant -1 for none
	Cores, Memory                      float64
	ExpectedRuntime                    time.Duration
	Priority                           int
	Rerunnable, Hold                   bool
	Retry                              bool          // the owner has asked for this key before
	PlacementTimeout                   time.Duration // 0: the class's
	NotBefore                          Time          // DRMAA startTime; 0: at once
	Deadline                           Time          // DRMAA deadlineTime; 0: none
	Template                           []byte        // as the front wants it back, opaque
}

// Outcome is the one answer that each ask for a job gets.
type Outcome string

// The outcomes of an ask.
const (
	OutcomePlaced   Outcome = "placed"
	OutcomeRejected Outcome = "refused"   // it never ran or a second start does no harm
	OutcomeFailed   Outcome = "failed"    // it may have run
	OutcomeCanceled Outcome = "withdrawn" // its owner held or terminated it first
)

// Info is a snapshot of a job.
type Info struct {
	ID                string
	Spec              *Spec
	State             State
	SubState          string
	Array             string
	Index             int
	Node              string
	Request           int     // asks made, counted from 1
	Outcome           Outcome // of the last ask; empty while it is open
	Attempts          int     // offers of the last ask
	Exit              int
	Signal            string
	Reason            string // in words: why it ended or waits
	SubmittedAt       Time
	RequestedAt       Time // start of the last ask
	PlacementDeadline Time // when the last ask is given up
	StartedAt         Time
	FinishedAt        Time
	Revision          uint64 // grows with each change of this scheduler's jobs
}

// ErrorCode names an error of DRMAA version 2, section 5 of GFD.194.
type ErrorCode string

// The errors that a Core answers with.
const (
	InvalidArgument ErrorCode = "InvalidArgument"
	InvalidState    ErrorCode = "InvalidState"
	InvalidSession  ErrorCode = "InvalidSession"
	TryLater        ErrorCode = "TryLater"
	DeniedByDrms    ErrorCode = "DeniedByDrms"
	OutOfResource   ErrorCode = "OutOfResource"
)

// Error is a refusal of a command.
type Error struct {
	Code       ErrorCode
	Message    string
	RetryAfter time.Duration
}

func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// Input is one of the input types below. Req is the host's own number for a request, given back in Answer.
type Input interface{ input() }

type (
	// Submit asks for one job, or for an array when Indexes is not empty.
	Submit struct {
		Req         uint64
		ReceivedAt  Time // when it reached the host; 0: now. The owner's time runs from then
		Spec        Spec
		Indexes     []int
		MaxParallel int // of the array; 0: all
	}
	// Command acts on a job.
	Command struct {
		Req  uint64
		Verb Verb
		Job  string // or the ID of an array
	}
	// Query asks for jobs: one by ID, an array, or a session's, from After on, at most Limit.
	Query struct {
		Req                 uint64
		Job, Session, After string
		Limit               int
	}
	// SessionCommand creates, opens, destroys or lists job sessions.
	SessionCommand struct {
		Req  uint64
		Verb Verb
		Name string
	}
	// Machines asks for the nodes as this scheduler knows them.
	Machines struct{ Req uint64 }
	// Watch sends every change of a job, an array or a session's jobs (empty: all) to Stream until Unwatch,
	// beginning with what has changed since revision Since.
	Watch struct {
		Req, Stream, Since uint64
		Job, Session       string
	}
	// Unwatch ends a Watch.
	Unwatch struct{ Stream uint64 }

	// NodeUp tells that a connection to the node stands and what the node holds of ours.
	NodeUp struct {
		Node      string
		Started   Time
		MayBeCold bool // it may be cold
		Running   []RunningAttempt
		Ended     []AttemptEnded
	}
	// NodeDown tells that the connection broke, or could not be made.
	NodeDown struct{ Node string }
	// AttemptAccepted, Refused, Failed, Started, Noted and Ended are what a node says of an attempt.
	AttemptAccepted struct {
		Node, Attempt string
		Load          flaxshelf.LoadReport
	}
	// AttemptRejected is proof that the attempt never ran.
	AttemptRejected struct {
		Node, Attempt string
		Reason        flaxshelf.Reason
		Load          flaxshelf.LoadReport
	}
	// AttemptFailed tells that the node could not start the attempt; it may have run.
	AttemptFailed struct {
		Node, Attempt, Message string
		Load                   flaxshelf.LoadReport
	}
	// AttemptStarted tells that an accepted attempt runs.
	AttemptStarted struct{ Node, Attempt string }
	// UsageReport is news of an attempt.
	UsageReport struct {
		Node, Attempt string
		Kind          flaxshelf.UsageKind
		Amount        float64
	}
	// AttemptEnded tells that an accepted attempt is over.
	AttemptEnded struct {
		Node, Attempt string
		End           End
		Reason        flaxshelf.Reason
		Exit          int
		Load          flaxshelf.LoadReport
	}
	// HealthChecked answers a probe; Lost where no answer came.
	HealthChecked struct {
		Node string
		Load flaxshelf.LoadReport
		Lost bool
	}
	// SendFailed tells that an offer never left this process.
	SendFailed struct{ Node, Attempt string }

	// NodesUpdated is the inventory's word.
	NodesUpdated struct {
		Machines []flaxshelf.Machine
		Complete bool
	}
	// DiscoveryFailed tells that the inventory could not be asked or dropped the watch.
	DiscoveryFailed struct{}
	// DiscoverySynced answers a Sync: all that the inventory had said before it is in.
	DiscoverySynced struct{ Token uint64 }
	// NodeSynced answers a SyncNode.
	NodeSynced struct {
		Node  string
		Token uint64
	}
	// Drain tells the core to take nothing more and to finish what is open.
	Drain struct{}
)

// RunningAttempt is an attempt that a node holds.
type RunningAttempt struct {
	Attempt, Job string
	Request      int
	Spec         Spec
	Submitted    Time
	Running      bool
}

// End is how an accepted attempt was over.
type End int

// The endings.
const (
	EndCompleted   End = iota // with its exit status
	EndLost                   // evicted, pushed out or sent away, see Reason
	EndStopped                // as we asked
	EndStartFailed            // its start failed after all
)

// Verb is what a command does.
type Verb string

// The verbs of Command and SessionCommand.
const (
	Hold      Verb = "hold"
	Release   Verb = "release"
	Terminate Verb = "terminate"
	Reap      Verb = "reap"
	Create    Verb = "create"
	Open      Verb = "open"
	Destroy   Verb = "destroy"
	List      Verb = "list"
)

func (Submit) input()          {}
func (Command) input()         {}
func (Query) input()           {}
func (SessionCommand) input()  {}
func (Machines) input()        {}
func (Watch) input()           {}
func (Unwatch) input()         {}
func (NodeUp) input()          {}
func (NodeDown) input()        {}
func (AttemptAccepted) input() {}
func (AttemptRejected) input() {}
func (AttemptFailed) input()   {}
func (AttemptStarted) input()  {}
func (UsageReport) input()     {}
func (AttemptEnded) input()    {}
func (HealthChecked) input()   {}
func (SendFailed) input()      {}
func (NodesUpdated) input()    {}
func (DiscoveryFailed) input() {}
func (DiscoverySynced) input() {}
func (Drain) input()           {}
func (NodeSynced) input()      {}

// Effect is one of the effect types below.
type Effect interface{ effect() }

type (
	// SendOffer offers a job to a node, which drops it unseen after ValidFor.
	SendOffer struct {
		Node, Attempt, Job string
		Request            int
		Spec               *Spec
		Submitted          Time
		ValidFor           time.Duration
	}
	// SendStop withdraws an offer or stops what runs.
	SendStop struct{ Node, Attempt string }
	// SendAck tells the node that its Ended has been heard.
	SendAck struct{ Node, Attempt string }
	// SendHealthCheck asks a node for its load.
	SendHealthCheck struct{ Node string }
	// Connect asks the host to keep a connection to the node; Disconnect to give it up.
	Connect struct{ Node string }
	// Disconnect ends the connection to a node that is gone.
	Disconnect struct{ Node string }
	// SubscribeDiscovery asks the inventory for the list and for changes.
	SubscribeDiscovery struct{}
	// SyncDiscovery asks the inventory for a sign that all it has said is in.
	SyncDiscovery struct{ Token uint64 }
	// SyncNode asks a node for a sign that all it has said is in.
	SyncNode struct {
		Node  string
		Token uint64
	}
	// Answer answers the request Req. Err is nil on success.
	Answer struct {
		Req      uint64
		Err      *Error
		Jobs     []Info
		Array    string
		Existing bool // the submission's key was known: these are the earlier jobs
		Sessions []string
		Machines []MachineInfo
	}
	// Publish tells a stream of a change.
	Publish struct {
		Stream uint64
		Info   Info
	}
	// LogOutcome tells the log how an ask or a job ended.
	LogOutcome struct {
		Info    Info
		Attempt string
	}
	// Drained tells the host that nothing is open any more.
	Drained struct{}
)

func (SendOffer) effect()          {}
func (SendStop) effect()           {}
func (SendAck) effect()            {}
func (SendHealthCheck) effect()    {}
func (Connect) effect()            {}
func (Disconnect) effect()         {}
func (SubscribeDiscovery) effect() {}
func (SyncDiscovery) effect()      {}
func (SyncNode) effect()           {}
func (Answer) effect()             {}
func (Publish) effect()            {}
func (LogOutcome) effect()         {}
func (Drained) effect()            {}

// MachineInfo is a node as this scheduler knows it.
type MachineInfo struct {
	flaxshelf.Machine
	Connected bool
	Jobs      int
}

// Output is what a step asks of its host.
type Output struct {
	Effects []Effect
	Wake    Time // step again at this time at the latest
}
