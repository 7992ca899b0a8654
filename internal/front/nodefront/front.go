// Package nodefront owns the node wire on the scheduler's side: it turns effects of the core into frames, and frames
// of nodes and the inventory into inputs. It must not open sockets or decide anything.
package nodefront

import (
	"errors"
	"fmt"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
)

// ErrProtocol is a frame that its sender may not send.
var ErrProtocol = errors.New("nodefront: the peer does not keep to the protocol")

// Hello is the first frame of a scheduler.
func Hello(set *settings.Scheduler, boot scheduler.Time) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Hello{Hello: &nodepb.Hello{VersionMin: nodeframe.Version,
		VersionMax: nodeframe.Version, Party: set.Name, LifeUnixNs: int64(boot)}}}
}

// Task is the job of an offer as a node sees it.
func Task(set *settings.Scheduler, e *scheduler.SendOffer, t *nodepb.Task) {
	s := e.Spec
	t.Job, t.Key, t.Session, t.Name, t.Service = e.Job, s.Key, s.Session, s.Name, s.Service
	t.Class, t.Cores, t.Memory, t.LifeNs = set.Classes[s.Class].Name, s.Cores, s.Memory, int64(s.ExpectedRuntime)
	t.Priority, t.Effect = int32(s.Priority), int32(set.Classes[s.Class].ModuleIdempotency())
	t.SubmittedUnixNs, t.Rerunnable, t.Ask = int64(e.Submitted), s.Rerunnable, int32(e.Request)
	t.Owner, t.Template, t.Tenant = s.Owner, s.Template, ""
	if s.Tenant >= 0 {
		t.Tenant = set.Tenants[s.Tenant].Name
	}
}

// Offer is the frame of an offer.
func Offer(set *settings.Scheduler, e *scheduler.SendOffer) *nodepb.Frame {
	t := &nodepb.Task{}
	Task(set, e, t)
	return &nodepb.Frame{Body: &nodepb.Frame_Offer{Offer: &nodepb.Offer{Attempt: e.Attempt, Task: t,
		ValidForNs: int64(e.ValidFor)}}}
}

// Stop is the frame of a stop.
func Stop(attempt string) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Stop{Stop: &nodepb.Stop{Attempt: attempt}}}
}

// Ack is the frame of an acknowledgement.
func Ack(attempt string) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Ack{Ack: &nodepb.Ack{Attempt: attempt}}}
}

// Probe is the frame of a probe.
func Probe() *nodepb.Frame { return &nodepb.Frame{Body: &nodepb.Frame_Probe{Probe: &nodepb.Probe{}}} }

// Ping asks for a sign.
func Ping(token uint64) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Ping{Ping: &nodepb.Ping{Token: token}}}
}

// Watch asks the inventory for the list and its changes.
func Watch() *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Watch{Watch: &nodepb.Watch{Changes: true}}}
}

// Node reads what one node says over one connection.
type Node struct {
	Set     *settings.Scheduler
	Name    string
	up      scheduler.NodeUp
	greeted bool
}

// Input is what a frame means to the core; nil where it means nothing to it. NodeUp comes when the welcome is whole.
func (p *Node) Input(f *nodepb.Frame) (scheduler.Input, error) {
	if w := f.GetWelcome(); w != nil {
		if p.greeted || w.Node != p.Name {
			return nil, fmt.Errorf("%w: a welcome of %q from %s", ErrProtocol, w.Node, p.Name)
		}
		p.up.Node, p.up.Started, p.up.MayBeCold = w.Node, scheduler.Time(w.StartedUnixNs), w.Fresh
		for _, h := range w.Held {
			p.up.Running = append(p.up.Running, held(p.Set, h))
		}
		for _, e := range w.Ended {
			p.up.Ended = append(p.up.Ended, p.ended(e))
		}
		if w.More {
			return nil, nil
		}
		up := p.up
		p.greeted, p.up = true, scheduler.NodeUp{}
		return up, nil
	}
	if b := f.GetBye(); b != nil {
		return nil, fmt.Errorf("nodefront: the node says goodbye: %s", b.Reason)
	}
	if !p.greeted {
		return nil, fmt.Errorf("%w: a frame before the welcome", ErrProtocol)
	}
	switch b := f.Body.(type) {
	case *nodepb.Frame_Accepted:
		return scheduler.AttemptAccepted{Node: p.Name, Attempt: b.Accepted.Attempt, Load: load(b.Accepted.Load)}, nil
	case *nodepb.Frame_Refused:
		return scheduler.AttemptRejected{Node: p.Name, Attempt: b.Refused.Attempt, Reason: reason(b.Refused.Reason),
			Load: load(b.Refused.Load)}, nil
	case *nodepb.Frame_Failed:
		return scheduler.AttemptFailed{Node: p.Name, Attempt: b.Failed.Attempt, Message: b.Failed.Message,
			Load: load(b.Failed.Load)}, nil
	case *nodepb.Frame_Started:
		return scheduler.AttemptStarted{Node: p.Name, Attempt: b.Started.Attempt}, nil
	case *nodepb.Frame_Note:
		return scheduler.UsageReport{Node: p.Name, Attempt: b.Note.Attempt, Kind: flaxshelf.UsageKind(b.Note.Kind),
			Amount: b.Note.Amount}, nil
	case *nodepb.Frame_Ended:
		return p.ended(b.Ended), nil
	case *nodepb.Frame_Probed:
		return scheduler.HealthChecked{Node: p.Name, Load: load(b.Probed.Load)}, nil
	case *nodepb.Frame_Pong:
		if b.Pong.Token > 0 {
			return scheduler.NodeSynced{Node: p.Name, Token: b.Pong.Token}, nil
		}
		return nil, nil
	}
	return nil, fmt.Errorf("%w: a %T from a node", ErrProtocol, f.Body)
}

func (p *Node) ended(e *nodepb.Ended) scheduler.AttemptEnded {
	return scheduler.AttemptEnded{Node: p.Name, Attempt: e.Attempt, End: endings[e.Ending], Reason: reason(e.Reason),
		Exit: int(e.ExitStatus), Load: load(e.Load)}
}

var endings = map[nodepb.Ending]scheduler.End{
	nodepb.Ending_FINISHED: scheduler.EndCompleted, nodepb.Ending_LOST: scheduler.EndLost,
	nodepb.Ending_STOPPED: scheduler.EndStopped, nodepb.Ending_BROKE: scheduler.EndStartFailed,
}

// reason maps the wire's reasons, whose numbers follow the module's; later ones are untold.
func reason(r nodepb.Reason) flaxshelf.Reason {
	if r < 0 || r > nodepb.Reason_SENT_AWAY {
		return flaxshelf.UnspecifiedReason
	}
	return flaxshelf.Reason(r)
}

func load(l *nodepb.Load) flaxshelf.LoadReport {
	if l == nil {
		return flaxshelf.LoadReport{}
	}
	return flaxshelf.LoadReport{Present: true, FreeCores: l.FreeCores, FreeMemory: l.FreeMemory, HasCores: true,
		HasMemory: true}
}

func held(set *settings.Scheduler, h *nodepb.Held) scheduler.RunningAttempt {
	t := h.Task
	if t == nil {
		t = &nodepb.Task{}
	}
	return scheduler.RunningAttempt{Attempt: h.Attempt, Job: t.Job, Request: int(t.Ask), Running: h.Running,
		Submitted: scheduler.Time(t.SubmittedUnixNs),
		Spec: scheduler.Spec{Key: t.Key, Session: t.Session, Name: t.Name, Owner: t.Owner, Service: t.Service,
			Class: set.ClassIndex(t.Class), Tenant: set.TenantIndex(t.Tenant), Cores: t.Cores, Memory: t.Memory,
			ExpectedRuntime: time.Duration(t.LifeNs), Priority: int(t.Priority), Rerunnable: t.Rerunnable, Template: t.Template}}
}

// Inventory reads what the inventory says over one connection.
type Inventory struct {
	Set   *settings.Scheduler
	parts []*nodepb.Entry // of a listing that has more to come
	whole bool
	part  bool
}

// Input is what a frame means to the core; nil where it means nothing to it. With a list come the addresses of its
// nodes. Failed is true for a call that failed on a connection that stands.
func (p *Inventory) Input(f *nodepb.Frame) (in scheduler.Input, addrs map[string]string, failed bool, err error) {
	switch b := f.Body.(type) {
	case *nodepb.Frame_Welcome:
		return nil, nil, false, nil
	case *nodepb.Frame_Listing:
		if !p.part {
			p.parts, p.whole = nil, b.Listing.Whole
		}
		p.parts = append(p.parts, b.Listing.Entries...)
		if p.part = b.Listing.More; p.part {
			return nil, nil, false, nil
		}
		in, addrs := listed(p.Set, p.parts, p.whole)
		p.parts = nil
		return in, addrs, false, nil
	case *nodepb.Frame_ListError:
		return scheduler.DiscoveryFailed{}, nil, true, nil
	case *nodepb.Frame_Pong:
		if b.Pong.Token > 0 {
			return scheduler.DiscoverySynced{Token: b.Pong.Token}, nil, false, nil
		}
		return nil, nil, false, nil
	case *nodepb.Frame_Bye:
		return nil, nil, false, fmt.Errorf("nodefront: the inventory says goodbye: %s", b.Bye.Reason)
	}
	return nil, nil, false, fmt.Errorf("%w: a %T from the inventory", ErrProtocol, f.Body)
}

var standings = map[nodepb.Standing]flaxshelf.MachineState{
	nodepb.Standing_IN: flaxshelf.Active, nodepb.Standing_DRAINING: flaxshelf.Draining, nodepb.Standing_OUT: flaxshelf.Removed,
}

func listed(set *settings.Scheduler, entries []*nodepb.Entry, whole bool) (scheduler.NodesUpdated, map[string]string) {
	in, addrs := scheduler.NodesUpdated{Complete: whole}, make(map[string]string, len(entries))
	for _, e := range entries {
		addrs[e.Node] = e.Address
		in.Machines = append(in.Machines, flaxshelf.Machine{ID: e.Node, Kind: set.KindIndex(e.Kind), Zone: e.Zone,
			Cell: int(e.Cell), State: standings[e.Standing], Started: scheduler.Time(e.StartedUnixNs),
			FreeCores: e.FreeCores, FreeMemory: e.FreeMemory})
	}
	return in, addrs
}
