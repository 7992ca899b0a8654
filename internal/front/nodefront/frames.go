// Package nodefront translates between the node wire and the core on the scheduler's side: effects of the core become
// frames, and frames of nodes and of the inventory become inputs. It must not open sockets or decide anything.
package nodefront

import (
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
)

// Hello is the first frame of a scheduler on a connection. The time of its start distinguishes its restarts.
func Hello(set *settings.Scheduler, startedAt scheduler.Time) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Hello{Hello: &nodepb.Hello{VersionMin: nodeframe.Version,
		VersionMax: nodeframe.Version, Party: set.Name, LifeUnixNs: int64(startedAt)}}}
}

// Task fills task with the job of an offer, as the node is shown it. It sets every field, so that a message may be used
// again for the next offer.
func Task(set *settings.Scheduler, offer *scheduler.SendOffer, task *nodepb.Task) {
	spec, class := offer.Spec, &set.Classes[offer.Spec.Class]
	task.Job, task.Key, task.Session, task.Name, task.Service = offer.Job, spec.Key, spec.Session, spec.Name, spec.Service
	task.Class, task.Effect = class.Name, int32(class.ModuleIdempotency())
	task.Cores, task.Memory, task.LifeNs = spec.Cores, spec.Memory, int64(spec.ExpectedRuntime)
	task.Priority, task.Rerunnable, task.Ask = int32(spec.Priority), spec.Rerunnable, int32(offer.Request)
	task.SubmittedUnixNs = int64(offer.Submitted)
	task.Owner, task.Template, task.Tenant = spec.Owner, spec.Template, ""
	if spec.Tenant >= 0 {
		task.Tenant = set.Tenants[spec.Tenant].Name
	}
}

// Offer is the frame that offers a job to a node.
func Offer(set *settings.Scheduler, offer *scheduler.SendOffer) *nodepb.Frame {
	task := &nodepb.Task{}
	Task(set, offer, task)
	return &nodepb.Frame{Body: &nodepb.Frame_Offer{Offer: &nodepb.Offer{Attempt: offer.Attempt, Task: task,
		ValidForNs: int64(offer.ValidFor)}}}
}

// Stop is the frame that withdraws an offered attempt or stops a running one.
func Stop(attempt string) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Stop{Stop: &nodepb.Stop{Attempt: attempt}}}
}

// Ack is the frame that acknowledges the end of an attempt; the node need not report it any more.
func Ack(attempt string) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Ack{Ack: &nodepb.Ack{Attempt: attempt}}}
}

// Probe is the frame of a health check; the node answers with its load.
func Probe() *nodepb.Frame { return &nodepb.Frame{Body: &nodepb.Frame_Probe{Probe: &nodepb.Probe{}}} }

// Ping is the frame that a node or the inventory answers behind all that it has sent before. The answer to a token above
// 0 is an input of the core; 0 only keeps the connection known to be alive.
func Ping(token uint64) *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Ping{Ping: &nodepb.Ping{Token: token}}}
}

// Watch is the frame that asks the inventory for the list of nodes and for its changes from then on.
func Watch() *nodepb.Frame {
	return &nodepb.Frame{Body: &nodepb.Frame_Watch{Watch: &nodepb.Watch{Changes: true}}}
}
