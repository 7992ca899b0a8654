package nodefront

import (
	"fmt"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
)

// Node decodes the frames of one connection to a node. It is not safe for concurrent use.
type Node struct {
	Set  *settings.Scheduler
	Name string // of the node

	welcome  scheduler.NodeConnected // collected from the welcome frames so far
	welcomed bool                    // all of them have arrived
}

// Input translates a frame into an input. It returns nil for a frame that the core doesn't need, and for a frame of a welcome
// before the last one, which is the input of all of them. The error is a *ProtocolError or *ByeError, after which the connection
// must be closed.
func (n *Node) Input(frame *nodepb.Frame) (scheduler.Input, error) {
	switch body := frame.Body.(type) {
	case *nodepb.Frame_Welcome:
		return n.readWelcome(frame, body.Welcome)
	case *nodepb.Frame_Bye:
		return nil, &ByeError{Peer: n.Name, Reason: body.Bye.Reason}
	}
	if !n.welcomed {
		return nil, newProtocolError(n.Name, frame, "before the welcome")
	}
	return n.readReport(frame)
}

// readWelcome collects the frames of a welcome.
func (n *Node) readWelcome(frame *nodepb.Frame, welcome *nodepb.Welcome) (scheduler.Input, error) {
	if n.welcomed {
		return nil, newProtocolError(n.Name, frame, "a second welcome")
	}
	if welcome.Node != n.Name {
		return nil, newProtocolError(n.Name, frame, fmt.Sprintf("names the node %q", welcome.Node))
	}
	n.welcome.Node, n.welcome.MayBeWarmingUp = welcome.Node, welcome.Fresh
	n.welcome.StartedAt = scheduler.Time(welcome.StartedUnixNs)
	for _, held := range welcome.Held {
		n.welcome.Accepted = append(n.welcome.Accepted, runningAttempt(n.Set, held))
	}
	for _, ended := range welcome.Ended {
		n.welcome.Ended = append(n.welcome.Ended, n.attemptEnded(ended))
	}
	if welcome.More {
		return nil, nil
	}
	up := n.welcome
	n.welcomed, n.welcome = true, scheduler.NodeConnected{}
	return up, nil
}

// readReport translates a frame that follows the welcome.
func (n *Node) readReport(frame *nodepb.Frame) (scheduler.Input, error) {
	switch body := frame.Body.(type) {
	case *nodepb.Frame_Accepted:
		m := body.Accepted
		return scheduler.AttemptAccepted{Node: n.Name, Attempt: m.Attempt, Load: loadReport(m.Load)}, nil
	case *nodepb.Frame_Refused:
		m := body.Refused
		return scheduler.AttemptRejected{Node: n.Name, Attempt: m.Attempt, Reason: reasonOf(m.Reason),
			Load: loadReport(m.Load)}, nil
	case *nodepb.Frame_Failed:
		m := body.Failed
		return scheduler.AttemptFailed{Node: n.Name, Attempt: m.Attempt, Message: m.Message, Load: loadReport(m.Load)}, nil
	case *nodepb.Frame_Started:
		return scheduler.AttemptStarted{Node: n.Name, Attempt: body.Started.Attempt}, nil
	case *nodepb.Frame_Note:
		m := body.Note
		return scheduler.UsageReport{Node: n.Name, Attempt: m.Attempt, Kind: flaxshelf.UsageKind(m.Kind),
			Amount: m.Amount}, nil
	case *nodepb.Frame_Ended:
		return n.attemptEnded(body.Ended), nil
	case *nodepb.Frame_Probed:
		return scheduler.HealthChecked{Node: n.Name, Load: loadReport(body.Probed.Load)}, nil
	case *nodepb.Frame_Pong:
		if body.Pong.Token == 0 {
			return nil, nil
		}
		return scheduler.NodeSynced{Node: n.Name, Token: body.Pong.Token}, nil
	default:
		return nil, newProtocolError(n.Name, frame, "no frame of a node")
	}
}

func (n *Node) attemptEnded(ended *nodepb.Ended) scheduler.AttemptEnded {
	return scheduler.AttemptEnded{Node: n.Name, Attempt: ended.Attempt, End: ends[ended.Ending],
		Reason: reasonOf(ended.Reason), ExitStatus: int(ended.ExitStatus), Load: loadReport(ended.Load)}
}

var ends = map[nodepb.Ending]scheduler.EndKind{
	nodepb.Ending_FINISHED: scheduler.EndCompleted,
	nodepb.Ending_LOST:     scheduler.EndLost,
	nodepb.Ending_STOPPED:  scheduler.EndStopped,
	nodepb.Ending_BROKE:    scheduler.EndStartFailed,
}

// reasonOf translates a reason, which has the same number on the wire as in the module. An unknown one is unspecified.
func reasonOf(reason nodepb.Reason) flaxshelf.Reason {
	if reason < 0 || reason > nodepb.Reason_SENT_AWAY {
		return flaxshelf.UnspecifiedReason
	}
	return flaxshelf.Reason(reason)
}

func loadReport(load *nodepb.Load) flaxshelf.LoadReport {
	if load == nil {
		return flaxshelf.LoadReport{}
	}
	return flaxshelf.LoadReport{Present: true, FreeCores: load.FreeCores, FreeMemory: load.FreeMemory, HasCores: true,
		HasMemory: true}
}

// runningAttempt translates an attempt that a node reports in its welcome.
func runningAttempt(set *settings.Scheduler, held *nodepb.Held) scheduler.ReportedAttempt {
	task := held.Task
	if task == nil {
		task = &nodepb.Task{}
	}
	return scheduler.ReportedAttempt{
		Attempt:          held.Attempt,
		Job:              task.Job,
		PlacementRequest: int(task.Ask),
		Started:          held.Running,
		SubmittedAt:      scheduler.Time(task.SubmittedUnixNs),
		Spec: scheduler.JobSpec{
			Key:             task.Key,
			Session:         task.Session,
			Name:            task.Name,
			Owner:           task.Owner,
			Service:         task.Service,
			Class:           set.ClassIndex(task.Class),
			Tenant:          set.TenantIndex(task.Tenant),
			Cores:           task.Cores,
			Memory:          task.Memory,
			ExpectedRuntime: time.Duration(task.LifeNs),
			Priority:        int(task.Priority),
			Rerunnable:      task.Rerunnable,
			Template:        task.Template,
		},
	}
}
