package scheduler

import "time"

// Output is what a step asks of its host.
type Output struct {
	Effects []Effect // to execute in order
	Wake    Time     // step again at this time at the latest
}

// Effect is one of the effect types below.
type Effect interface{ effect() }

type (
	// SendOffer offers a job to a node, which drops it unread after ValidFor.
	SendOffer struct {
		Node, Attempt, Job string
		Request            int // number of the placement request
		Spec               *Spec
		Submitted          Time
		ValidFor           time.Duration
	}
	// SendStop cancels an offer or stops an accepted attempt.
	SendStop struct{ Node, Attempt string }
	// SendAck tells the node that its AttemptEnded was received, so it may forget the attempt.
	SendAck struct{ Node, Attempt string }
	// SendHealthCheck asks a node for its load.
	SendHealthCheck struct{ Node string }
	// Connect asks the host to keep a connection to the node until Disconnect.
	Connect struct{ Node string }
	// Disconnect closes the connection to a node that was removed.
	Disconnect struct{ Node string }
	// SubscribeDiscovery asks discovery for the endpoint list and for its changes.
	SubscribeDiscovery struct{}
	// SyncDiscovery asks for a DiscoverySynced with the same token, behind all that discovery has sent before.
	SyncDiscovery struct{ Token uint64 }
	// SyncNode asks for a NodeSynced with the same token, behind all that the node has sent before.
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
		Existing bool // the submission's key was known: Jobs are those of the earlier submission
		Sessions []string
		Machines []MachineInfo
	}
	// Publish sends a changed job to a watch.
	Publish struct {
		Stream uint64
		Info   Info
	}
	// LogOutcome logs how a placement request or a job ended.
	LogOutcome struct {
		Info    Info
		Attempt string // that decided the placement request; empty for none
	}
	// Drained reports that the core is draining and no placement request is open any more.
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
