package nodefront

import (
	"fmt"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
)

// NodeDecoder decodes the frames that a node sends on one connection. It is not safe for concurrent use.
type NodeDecoder struct {
	Settings *settings.Scheduler
	Name     string // of the node

	welcome         scheduler.NodeConnected // contents of the welcome frames received so far
	welcomeComplete bool                    // the last welcome frame has been received
}

// Decode translates a frame into an input of the core, or nil if the core doesn't need the frame. A welcome may span several
// frames: their contents are one input, which is returned for the last frame. The error is a *ProtocolError or *ByeError, after
// which the connection must be closed.
func (d *NodeDecoder) Decode(frame *nodepb.Frame) (scheduler.Input, error) {
	switch body := frame.Body.(type) {
	case *nodepb.Frame_Welcome:
		return d.decodeWelcome(frame, body.Welcome)
	case *nodepb.Frame_Bye:
		return nil, &ByeError{Peer: d.Name, Reason: body.Bye.Reason}
	}
	if !d.welcomeComplete {
		return nil, newProtocolError(d.Name, frame, "sent before the end of the welcome")
	}
	return d.decodeReport(frame)
}

// decodeWelcome collects the frames of a welcome. It returns an input for the last frame, and nil for the others.
func (d *NodeDecoder) decodeWelcome(frame *nodepb.Frame, welcome *nodepb.Welcome) (scheduler.Input, error) {
	if d.welcomeComplete {
		return nil, newProtocolError(d.Name, frame, "sent after the end of the welcome")
	}
	if welcome.Node != d.Name {
		return nil, newProtocolError(d.Name, frame, fmt.Sprintf("got the welcome of node %q", welcome.Node))
	}
	d.welcome.Node, d.welcome.MayBeWarmingUp = welcome.Node, welcome.Fresh
	d.welcome.StartedAt = scheduler.Time(welcome.StartedUnixNs)
	for _, held := range welcome.Held {
		d.welcome.Accepted = append(d.welcome.Accepted, decodeReportedAttempt(d.Settings, held))
	}
	for _, ended := range welcome.Ended {
		d.welcome.Ended = append(d.welcome.Ended, d.decodeEnded(ended))
	}
	if welcome.More {
		return nil, nil
	}
	connected := d.welcome
	d.welcomeComplete, d.welcome = true, scheduler.NodeConnected{}
	return connected, nil
}

// decodeReport translates a frame that a node sends after its welcome.
func (d *NodeDecoder) decodeReport(frame *nodepb.Frame) (scheduler.Input, error) {
	switch body := frame.Body.(type) {
	case *nodepb.Frame_Accepted:
		m := body.Accepted
		return scheduler.AttemptAccepted{Node: d.Name, Attempt: m.Attempt, Load: decodeLoad(m.Load)}, nil
	case *nodepb.Frame_Refused:
		m := body.Refused
		return scheduler.AttemptRejected{Node: d.Name, Attempt: m.Attempt, Reason: decodeReason(m.Reason),
			Load: decodeLoad(m.Load)}, nil
	case *nodepb.Frame_Failed:
		m := body.Failed
		return scheduler.AttemptFailed{Node: d.Name, Attempt: m.Attempt, Message: m.Message, Load: decodeLoad(m.Load)}, nil
	case *nodepb.Frame_Started:
		return scheduler.AttemptStarted{Node: d.Name, Attempt: body.Started.Attempt}, nil
	case *nodepb.Frame_Note:
		m := body.Note
		return scheduler.UsageReport{Node: d.Name, Attempt: m.Attempt, Kind: flaxshelf.UsageKind(m.Kind),
			Amount: m.Amount}, nil
	case *nodepb.Frame_Ended:
		return d.decodeEnded(body.Ended), nil
	case *nodepb.Frame_Probed:
		return scheduler.HealthChecked{Node: d.Name, Load: decodeLoad(body.Probed.Load)}, nil
	case *nodepb.Frame_Pong:
		if body.Pong.Token == 0 {
			return nil, nil
		}
		return scheduler.NodeSynced{Node: d.Name, Token: body.Pong.Token}, nil
	default:
		return nil, newProtocolError(d.Name, frame, "nodes do not send this frame")
	}
}

func (d *NodeDecoder) decodeEnded(ended *nodepb.Ended) scheduler.AttemptEnded {
	return scheduler.AttemptEnded{Node: d.Name, Attempt: ended.Attempt, End: endKinds[ended.Ending],
		Reason: decodeReason(ended.Reason), ExitStatus: int(ended.ExitStatus), Load: decodeLoad(ended.Load)}
}

var endKinds = map[nodepb.Ending]scheduler.EndKind{
	nodepb.Ending_FINISHED: scheduler.EndCompleted,
	nodepb.Ending_LOST:     scheduler.EndLost,
	nodepb.Ending_STOPPED:  scheduler.EndStopped,
	nodepb.Ending_BROKE:    scheduler.EndStartFailed,
}

// decodeReason translates a reason. The numbers on the wire are those of flaxshelf.Reason. A number that this version does not
// know, which a newer node may send, becomes UnspecifiedReason.
func decodeReason(reason nodepb.Reason) flaxshelf.Reason {
	if reason < 0 || reason > nodepb.Reason_SENT_AWAY {
		return flaxshelf.UnspecifiedReason
	}
	return flaxshelf.Reason(reason)
}

func decodeLoad(load *nodepb.Load) flaxshelf.LoadReport {
	if load == nil {
		return flaxshelf.LoadReport{}
	}
	return flaxshelf.LoadReport{Present: true, FreeCores: load.FreeCores, FreeMemory: load.FreeMemory, HasCores: true,
		HasMemory: true}
}

// decodeReportedAttempt translates an accepted attempt that a node reports in its welcome because it has not ended.
func decodeReportedAttempt(config *settings.Scheduler, held *nodepb.Held) scheduler.ReportedAttempt {
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
			Class:           config.ClassIndex(task.Class),
			Tenant:          config.TenantIndex(task.Tenant),
			Cores:           task.Cores,
			Memory:          task.Memory,
			ExpectedRuntime: time.Duration(task.LifeNs),
			Priority:        int(task.Priority),
			Rerunnable:      task.Rerunnable,
			Template:        task.Template,
		},
	}
}
