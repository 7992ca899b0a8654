package scheduler

import "flaxshelf.example/flaxshelf"

// Input is one of the input types below. RequestID is assigned by the host to a request and that the Answer repeats;
// zero means that no answer is wanted. Each type's apply method is defined in the file of its subject.
type Input interface{ apply(c *Core) }

// The requests of clients.
type (
	// Submit submits one job, or an array if Indexes is not empty.
	Submit struct {
		RequestID   uint64
		ReceivedAt  Time // when it reached the host, which starts its placement timeout; zero means now
		Spec        JobSpec
		Indexes     []int
		MaxParallel int // jobs of the array that may be active concurrently; zero means no limit
	}
	// Command acts on a job or on each job of an array.
	Command struct {
		RequestID uint64
		Verb      Verb // Hold, Release, Terminate or Reap
		Job       string
	}
	// Query requests a job or an array by its ID. Without an ID it requests the jobs of a session, or of all sessions if
	// Session is empty: at most Limit of them with IDs above AfterID, ordered by ID.
	Query struct {
		RequestID             uint64
		Job, Session, AfterID string
		Limit                 int
	}
	// SessionCommand creates, opens, destroys or lists job sessions.
	SessionCommand struct {
		RequestID uint64
		Verb      Verb
		Name      string
	}
	// Machines requests the nodes that this scheduler knows.
	Machines struct{ RequestID uint64 }
	// Watch publishes every change of a job, of an array or of a session's jobs to Stream until Unwatch, starting with the
	// changes since revision SinceRevision. An empty Job and Session mean all jobs.
	Watch struct {
		RequestID, Stream, SinceRevision uint64
		Job, Session                     string
	}
	// Unwatch ends a Watch.
	Unwatch struct{ Stream uint64 }
	// Drain makes the core reject new work and finish the open placement requests.
	Drain struct{}
)

// The messages of nodes and the state of the connections to them.
type (
	// NodeConnected reports that a connection to the node is established, and which of this scheduler's
	// attempts the node has.
	NodeConnected struct {
		Node           string
		StartedAt      Time // when the node's process started
		MayBeWarmingUp bool // the node may still be warming up
		Accepted       []ReportedAttempt
		Ended          []AttemptEnded // not acknowledged yet
	}
	// NodeDisconnected reports that the connection broke or could not be established.
	NodeDisconnected struct{ Node string }
	// AttemptAccepted reports that the node has accepted an offer.
	AttemptAccepted struct {
		Node, Attempt string
		Load          flaxshelf.LoadReport
	}
	// AttemptRejected reports that the node has rejected an offer. The attempt has not run and will not run.
	AttemptRejected struct {
		Node, Attempt string
		Reason        flaxshelf.Reason
		Load          flaxshelf.LoadReport
	}
	// AttemptFailed reports that the node could not start the attempt; it may have run.
	AttemptFailed struct {
		Node, Attempt, Message string
		Load                   flaxshelf.LoadReport
	}
	// AttemptStarted reports that the node has started an accepted attempt.
	AttemptStarted struct{ Node, Attempt string }
	// UsageReport reports what an accepted attempt uses.
	UsageReport struct {
		Node, Attempt string
		Kind          flaxshelf.UsageKind
		Amount        float64
	}
	// AttemptEnded reports that an accepted attempt has ended. The core acknowledges it with SendAck.
	AttemptEnded struct {
		Node, Attempt string
		End           EndKind
		Reason        flaxshelf.Reason
		ExitStatus    int // exit status
		Load          flaxshelf.LoadReport
	}
	// HealthChecked is the result of a SendHealthCheck.
	HealthChecked struct {
		Node    string
		Load    flaxshelf.LoadReport
		NoReply bool // no reply was received
	}
	// SendFailed reports that an offer was not sent.
	SendFailed struct{ Node, Attempt string }
	// NodeSynced answers a SyncNode.
	NodeSynced struct {
		Node  string
		Token uint64
	}
)

// The messages of discovery.
type (
	// NodesUpdated is an endpoint list, or changes of it.
	NodesUpdated struct {
		Machines []flaxshelf.Machine // the core may correct their start times in place
		Complete bool                // nodes that are not named are removed
	}
	// DiscoveryFailed reports that discovery is unreachable or has ended the subscription.
	DiscoveryFailed struct{}
	// DiscoverySynced answers a SyncDiscovery: everything that discovery had sent before it has been received.
	DiscoverySynced struct{ Token uint64 }
)

// ReportedAttempt is an accepted attempt that a node has.
type ReportedAttempt struct {
	Attempt, Job     string
	PlacementRequest int // number of the placement request
	Spec             JobSpec
	SubmittedAt      Time
	Started          bool // it has been started
}

// EndKind is how an accepted attempt ended.
type EndKind int

// The ways in which an accepted attempt ends.
const (
	EndCompleted   EndKind = iota // with its exit status
	EndLost                       // evicted, preempted or drained away, see Reason
	EndStopped                    // by a SendStop
	EndStartFailed                // it was accepted but could not be started
)

func (e EndKind) String() string {
	switch e {
	case EndCompleted:
		return "completed"
	case EndLost:
		return "lost"
	case EndStopped:
		return "stopped"
	case EndStartFailed:
		return "start failed"
	}
	return "unknown"
}

// Verb is what a Command or a SessionCommand does.
type Verb string

// The verbs of Command and SessionCommand.
const (
	Hold           Verb = "hold"
	Release        Verb = "release"
	Terminate      Verb = "terminate"
	Reap           Verb = "reap"
	CreateSession  Verb = "create"
	OpenSession    Verb = "open"
	DestroySession Verb = "destroy"
	ListSessions   Verb = "list"
)
