package scheduler

import "time"

// Output is the result of a step, to be executed by the host.
type Output struct {
	Effects  []Effect // to execute in order
	NextStep Time     // the latest time of the next step
}

// Effect is something that the host must do. Its implementations are the types below.
type Effect interface{ effect() }

type (
	// SendOffer offers a job to a node. The offer expires after ValidFor.
	SendOffer struct {
		Node, Attempt, Job string
		PlacementRequest   int // number of the placement request, counted from 1 for each job
		Spec               *JobSpec
		SubmittedAt        Time
		ValidFor           time.Duration
	}
	// SendStop cancels an offer or stops an accepted attempt.
	SendStop struct{ Node, Attempt string }
	// SendAck acknowledges an AttemptEnded to its node, which may then forget the attempt.
	SendAck struct{ Node, Attempt string }
	// SendHealthCheck requests a load report from a node.
	SendHealthCheck struct{ Node string }
	// Connect requests a connection to the node. The host maintains it until Disconnect.
	Connect struct{ Node string }
	// Disconnect closes the connection to a node that was removed.
	Disconnect struct{ Node string }
	// SubscribeDiscovery requests the endpoint list and its changes from discovery.
	SubscribeDiscovery struct{}
	// SyncDiscovery requests a DiscoverySynced with the same token, to be delivered after all messages that discovery has
	// already sent.
	SyncDiscovery struct{ Token uint64 }
	// SyncNode requests a NodeSynced with the same token, to be delivered after all messages that the node has already sent.
	SyncNode struct {
		Node  string
		Token uint64
	}
	// Answer answers the client request with the given ID. Err is nil on success.
	Answer struct {
		RequestID uint64
		Err       *Error
		Jobs      []JobInfo
		ArrayID   string
		Existing  bool // the key was submitted before, and Jobs are those of the earlier submission
		Sessions  []string
		Machines  []MachineInfo
	}
	// Publish sends a changed job to the stream of a Watch.
	Publish struct {
		Stream uint64
		Job    JobInfo
	}
	// LogOutcome logs the outcome of a placement request or, if the job's state is final, the end of the job.
	LogOutcome struct {
		Job     JobInfo
		Attempt string // attempt that was placed or in progress when the placement request was closed; empty for none
	}
	// ShareSession requests that the other cores of the scheduler get a session that this core has added without a command.
	ShareSession struct{ Name string }
	// Drained reports that the core is draining and that no placement request is open.
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
func (ShareSession) effect()       {}
func (Drained) effect()            {}
