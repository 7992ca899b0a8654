package scheduler

import "flaxshelf.example/flaxshelf"

// Input is one of the input types below. Req is the host's own number for a request, given back in Answer; 0 asks for
// no answer. Each type applies itself to the core; its method is defined with the code of its subject.
type Input interface{ apply(c *Core) }

// The requests of clients.
type (
	// Submit asks for one job, or for an array when Indexes is not empty.
	Submit struct {
		Req         uint64
		ReceivedAt  Time // when it reached the host, from which its placement timeout runs; 0 stands for now
		Spec        Spec
		Indexes     []int
		MaxParallel int // jobs of the array that run at once; 0 stands for all
	}
	// Command acts on a job or on each job of an array.
	Command struct {
		Req  uint64
		Verb Verb // Hold, Release, Terminate or Reap
		Job  string
	}
	// Query asks for jobs: one by its ID, an array, or those of a session (empty: all), in the order of their IDs,
	// beginning behind After and at most Limit of them.
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
	// Watch publishes every change of a job, an array or a session's jobs (empty: all) to Stream until Unwatch,
	// beginning with what has changed since revision Since.
	Watch struct {
		Req, Stream, Since uint64
		Job, Session       string
	}
	// Unwatch ends a Watch.
	Unwatch struct{ Stream uint64 }
	// Drain tells the core to reject new work and to finish the open placement requests.
	Drain struct{}
)

// The messages of nodes and the state of the connections to them.
type (
	// NodeUp reports that a connection to the node is established, and which of our attempts the node has.
	NodeUp struct {
		Node      string
		Started   Time // when the node's process started
		MayBeCold bool // it may still be warming up
		Running   []RunningAttempt
		Ended     []AttemptEnded // not acknowledged yet
	}
	// NodeDown reports that the connection broke or could not be established.
	NodeDown struct{ Node string }
	// AttemptAccepted reports that the node has accepted an offer.
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
	// AttemptFailed reports that the node could not start the attempt; it may have run.
	AttemptFailed struct {
		Node, Attempt, Message string
		Load                   flaxshelf.LoadReport
	}
	// AttemptStarted reports that an accepted attempt runs.
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
		End           End
		Reason        flaxshelf.Reason
		Exit          int // exit status
		Load          flaxshelf.LoadReport
	}
	// HealthChecked is the result of a SendHealthCheck.
	HealthChecked struct {
		Node string
		Load flaxshelf.LoadReport
		Lost bool // no reply came
	}
	// SendFailed reports that an offer never left this process.
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
	// DiscoveryFailed reports that discovery could not be reached or ended the subscription.
	DiscoveryFailed struct{}
	// DiscoverySynced answers a SyncDiscovery: all that discovery had sent before has been received.
	DiscoverySynced struct{ Token uint64 }
)

// RunningAttempt is an accepted attempt that a node has.
type RunningAttempt struct {
	Attempt, Job string
	Request      int // number of the placement request
	Spec         Spec
	Submitted    Time
	Running      bool // it has been started
}

// End is how an accepted attempt ended.
type End int

// The ways in which an accepted attempt ends.
const (
	EndCompleted   End = iota // with its exit status
	EndLost                   // evicted, preempted or drained away, see Reason
	EndStopped                // by our SendStop
	EndStartFailed            // its start failed after it was accepted
)

func (e End) String() string {
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
	Hold      Verb = "hold"
	Release   Verb = "release"
	Terminate Verb = "terminate"
	Reap      Verb = "reap"
	Create    Verb = "create"
	Open      Verb = "open"
	Destroy   Verb = "destroy"
	List      Verb = "list"
)
