// Package nodefront translates between the scheduler's core and the wire protocol of the nodes and the inventory. It encodes the
// core's effects as frames, and decodes received frames to inputs of the core. It does no I/O and makes no scheduling decisions.
package nodefront

import (
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
)

// HelloFrame returns the first frame that a scheduler sends on a connection. Its start time identifies its incarnation.
func HelloFrame(config *settings.Scheduler, startedAt scheduler.Time) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Hello{Hello: &nodepb.Hello{VersionMin: nodeframe.Version,
		VersionMax: nodeframe.Version, Party: config.Name, LifeUnixNs: int64(startedAt)}}}
}

// FillTask sets every field of task from the job of an offer. It leaves no field of an earlier job, so task can be reused.
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

// AckFrame returns the frame that acknowledges the report of an attempt's end. Until it arrives, the node repeats the report in
// each welcome.
func AckFrame(attempt string) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Ack{Ack: &nodepb.Ack{Attempt: attempt}}}
}

// ProbeFrame returns the frame that requests a health check, which the node answers with its load.
func ProbeFrame() *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Probe{Probe: &nodepb.Probe{}}}
}

// PingFrame returns a ping. A node or the inventory answers it after everything that it has sent before. The answer to a token
// above 0 becomes an input of the core; a ping with the token 0 only keeps the connection alive.
func PingFrame(token uint64) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Ping{Ping: &nodepb.Ping{Token: token}}}
}

// WatchFrame returns the frame that requests the list of nodes and all later changes to it from the inventory.
func WatchFrame() *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Watch{Watch: &nodepb.Watch{Changes: true}}}
}
