// Package nodefront translates between the frames of nodes and the inventory and the scheduler's core: effects of the core
// become frames, and frames become inputs. It does no I/O and makes no decision.
package nodefront

import (
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
)

// HelloFrame returns the first frame of a scheduler on a connection. The time of its start identifies its incarnation.
func HelloFrame(config *settings.Scheduler, startedAt scheduler.Time) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Hello{Hello: &nodepb.Hello{VersionMin: nodeframe.Version,
		VersionMax: nodeframe.Version, Party: config.Name, LifeUnixNs: int64(startedAt)}}}
}

// FillTask sets every field of task to the job of an offer, so that a task message can be reused for the next offer.
func FillTask(config *settings.Scheduler, offer *scheduler.SendOffer, task *nodepb.Task) {
	spec, class := offer.Spec, &config.Classes[offer.Spec.Class]
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
		task.Tenant = config.Tenants[spec.Tenant].Name
	}
}

// OfferFrame returns the frame that offers a job to a node.
func OfferFrame(config *settings.Scheduler, offer *scheduler.SendOffer) *nodepb.Frame {
	task := &nodepb.Task{}
	FillTask(config, offer, task)
	return &nodepb.Frame{Body: &nodepb.Frame_Offer{Offer: &nodepb.Offer{Attempt: offer.Attempt, Task: task,
		ValidForNs: int64(offer.ValidFor)}}}
}

// StopFrame returns the frame that withdraws an offered attempt or stops a running one.
func StopFrame(attempt string) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Stop{Stop: &nodepb.Stop{Attempt: attempt}}}
}

// AckFrame returns the frame that acknowledges the end of an attempt, which the node then stops reporting.
func AckFrame(attempt string) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Ack{Ack: &nodepb.Ack{Attempt: attempt}}}
}

// ProbeFrame returns the frame of a health check, which the node answers with its load.
func ProbeFrame() *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Probe{Probe: &nodepb.Probe{}}}
}

// PingFrame returns a ping. A node or the inventory answers it after everything that it has sent before. The answer to a token
// above 0 becomes an input of the core; a ping with the token 0 only keeps the connection alive.
func PingFrame(token uint64) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Ping{Ping: &nodepb.Ping{Token: token}}}
}

// WatchFrame returns the frame that requests the list of nodes from the inventory, and its subsequent changes.
func WatchFrame() *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Watch{Watch: &nodepb.Watch{Changes: true}}}
}
