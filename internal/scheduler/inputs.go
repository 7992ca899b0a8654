package scheduler

import "flaxshelf.example/flaxshelf"

// Input is a request, a message or a report that the core applies in a step. The types below implement it. The host assigns
// the RequestID of a request, and the Answer has the same one. A RequestID of zero means that no answer is wanted.
type Input interface{ apply(c *Core) }

// The requests of clients, and the host's request to shut down.
type (
	// Submit submits one job, or an array if Indexes is not empty.
	Submit struct {
		RequestID   uint64
		ReceivedAt  Time // when the host received the submission; the placement timeout starts then; zero means now
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
	// Session is empty: at most Limit jobs with IDs above AfterID, ordered by ID. A Limit of zero means 1000.
	Query struct {
		RequestID             uint64
		Job, Session, AfterID string
		Limit                 int
	}
	// SessionCommand creates, opens, destroys or lists job sessions.
	SessionCommand struct {
		RequestID uint64
		Verb      Verb // CreateSession, OpenSession, DestroySession or ListSessions
		Name      string
	}
	// SessionAdopted reports that another core has adopted a job of a session that it did not have. If Share is set, a core that
	// did not have the session either passes it on with ShareSession.
	SessionAdopted struct {
		Name  string
		Share bool
	}
	// Machines requests the machines that this scheduler knows.
	Machines struct{ RequestID uint64 }
	// Watch publishes each change of a job, of the jobs of an array or of the jobs of a session to Stream until Unwatch. It
	// starts with the jobs that have changed after SinceRevision. If Job and Session are empty, it includes all jobs.
	Watch struct {
		RequestID, Stream, SinceRevision uint64
		Job, Session                     string
	}
	// Unwatch ends the Watch of the stream.
	Unwatch struct{ Stream uint64 }
	// Drain makes the core reject submissions and report with Drained when no placement request is open.
	Drain struct{}
)

// Messages of nodes, and reports of the host on its connections to them.
type (
	// NodeConnected reports that a connection to the node is established, and which of this scheduler's attempts the node
	// has.
	NodeConnected struct {
		Node           string
		StartedAt      Time              // when the node's process started
		MayBeWarmingUp bool              // the node may still be warming up after its start
		Accepted       []ReportedAttempt // accepted attempts that have not ended
		Ended          []AttemptEnded    // reports of ended attempts that were not acknowledged
	}
	// NodeDisconnected reports that the connection to the node was lost or could not be established.
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
	// AttemptFailed is a node's reply to an offer: the start failed, and the attempt may have run.
	AttemptFailed struct {
		Node, Attempt, Message string
		Load                   flaxshelf.LoadReport
	}
	// AttemptStarted reports that the node has started an accepted attempt.
	AttemptStarted struct{ Node, Attempt string }
	// UsageReport reports the resource usage of an accepted attempt.
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
		ExitStatus    int
		Load          flaxshelf.LoadReport
	}
	// HealthChecked reports the result of a SendHealthCheck.
	HealthChecked struct {
		Node    string
		Load    flaxshelf.LoadReport
		NoReply bool // no reply was received
	}
	// SendFailed reports that the host could not send an offer.
	SendFailed struct{ Node, Attempt string }
	// NodeSynced answers a SyncNode. All messages that the node sent before it have been received.
	NodeSynced struct {
		Node  string
		Token uint64
	}
)

// Messages of discovery, and reports of the host on its connection to it.
type (
	// NodesUpdated is the endpoint list, or changes to it.
	NodesUpdated struct {
		Machines []flaxshelf.Machine // the core may correct their start times in this slice
		Complete bool                // the list is complete: machines that it does not name are removed
	}
	// DiscoveryFailed reports that discovery is unreachable or has ended the subscription.
	DiscoveryFailed struct{}
	// DiscoverySynced answers a SyncDiscovery. All messages that discovery sent before it have been received.
	DiscoverySynced struct{ Token uint64 }
)

// ReportedAttempt is an accepted attempt that a node reports when it connects.
type ReportedAttempt struct {
	Attempt, Job     string
	PlacementRequest int // number of the placement request
	Spec             JobSpec
	SubmittedAt      Time
	Started          bool // the node has started the attempt
}

// EndKind is how an accepted attempt ended.
type EndKind int

// The ways in which an accepted attempt ends.
const (
	EndCompleted   EndKind = iota // its process exited; see AttemptEnded.ExitStatus
	EndLost                       // evicted, preempted or drained away: its work is lost; see AttemptEnded.Reason
	EndStopped                    // the node stopped it because of a SendStop
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

// Verb is the operation of a Command or a SessionCommand.
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
