// Package nodefront translates between the frames of nodes and the inventory and the scheduler's core: effects of the core
// become frames, and frames become inputs. It does no I/O and makes no decision.
package nodefront

import (
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
)

// Hello returns the first frame of a scheduler on a connection. The time of its start identifies its incarnation.
func Hello(set *settings.Scheduler, startedAt scheduler.Time) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Hello{Hello: &nodepb.Hello{VersionMin: nodeframe.Version,
		VersionMax: nodeframe.Version, Party: set.Name, LifeUnixNs: int64(startedAt)}}}
}

// Task sets every field of task to the job of an offer, so that a task message can be reused for the next offer.
func Task(set *settings.Scheduler, offer *scheduler.SendOffer, task *nodepb.Task) {
	spec, class := offer.Spec, &set.Classes[offer.Spec.Class]
	task.Job = offer.Job
	task.Key = spec.Key
	task.Session = spec.Session
	task.Name = spec.Name
	task.Service = spec.Service
	task.Class = class.Name
	task.Effect = int32(class.ModuleIdempotency())
	task.Cores = spec.Cores
	task.Memory = spec.Memory
	task.LifeNs = int64(spec.ExpectedRuntime)
	task.Priority = int32(spec.Priority)
	task.Rerunnable = spec.Rerunnable
	task.Ask = int32(offer.PlacementRequest)
	task.SubmittedUnixNs = int64(offer.SubmittedAt)
	task.Owner = spec.Owner
	task.Template = spec.Template
	task.Tenant = ""
	if spec.Tenant >= 0 {
		task.Tenant = set.Tenants[spec.Tenant].Name
	}
}

// Offer returns the frame that offers a job to a node.
func Offer(set *settings.Scheduler, offer *scheduler.SendOffer) *nodepb.Frame {
	task := &nodepb.Task{}
	Task(set, offer, task)
	return &nodepb.Frame{Body: &nodepb.Frame_Offer{Offer: &nodepb.Offer{Attempt: offer.Attempt, Task: task,
		ValidForNs: int64(offer.ValidFor)}}}
}

// Stop returns the frame that withdraws an offered attempt or stops a running one.
func Stop(attempt string) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Stop{Stop: &nodepb.Stop{Attempt: attempt}}}
}

// Ack returns the frame that acknowledges the end of an attempt, which the node then stops reporting.
func Ack(attempt string) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Ack{Ack: &nodepb.Ack{Attempt: attempt}}}
}

// Probe returns the frame of a health check, which the node answers with its load.
func Probe() *nodepb.Frame { return &nodepb.Frame{Body: &nodepb.Frame_Probe{Probe: &nodepb.Probe{}}} }

// Ping returns the frame that a node or the inventory answers after everything that it has sent before. The answer to a token
// above 0 is an input of the core; the token 0 is a keep-alive.
func Ping(token uint64) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Ping{Ping: &nodepb.Ping{Token: token}}}
}

// Watch returns the frame that requests the list of nodes from the inventory, and its subsequent changes.
func Watch() *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Watch{Watch: &nodepb.Watch{Changes: true}}}
}
