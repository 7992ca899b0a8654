package daemon

import (
	"flaxshelf.example/flaxshelf/internal/front/drmaafront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/shard"
)

// dispatch passes a client's request to the core that it concerns, or to all cores, whose answers are merged. It returns
// false, and m.reply is not called, if a mailbox was full. It does not block.
func (d *Daemon) dispatch(call *drmaafront.Call, m message, events *eventStream) bool {
	sample := call.BuildInput(0, 0)
	if submit, ok := sample.(scheduler.Submit); ok {
		core := d.shards.CoreForSubmission(&submit.Spec, d.keylessSubmissions.Add(1),
			func(core int) int { return len(d.runners[core].mailbox) })
		m.buildInput = call.BuildInput
		return d.runners[core].tryEnqueue(m)
	}
	core, all := d.shards.Route(sample)
	switch {
	case !all:
		return d.dispatchToCore(core, call, m, events)
	case shard.IsDecidedByFirstCore(sample):
		return d.dispatchByFirstCore(sample, call, m)
	default:
		return d.dispatchToAll(sample, call, m, events)
	}
}

// dispatchToCore passes a request to one core.
func (d *Daemon) dispatchToCore(core int, call *drmaafront.Call, m message, events *eventStream) bool {
	m.buildInput = call.BuildInput
	if call.Stream {
		m.publish, m.heartbeat = events.publisher(core), events.sendHeartbeat
		if len(d.runners) > 1 {
			m.buildInput = events.resumed(call.BuildInput, core)
		}
	}
	return d.runners[core].tryEnqueue(m)
}

// dispatchToAll passes a request to all cores concurrently. The first core sends the heartbeats of a stream.
func (d *Daemon) dispatchToAll(sample scheduler.Input, call *drmaafront.Call, m message, events *eventStream) bool {
	responses := newScatterGather(sample, len(d.runners), m.reply)
	for i, runner := range d.runners {
		part := message{buildInput: call.BuildInput, receivedAt: m.receivedAt, reply: responses.collector(i)}
		if call.Stream {
			part.buildInput, part.publish = events.resumed(call.BuildInput, i), events.publisher(i)
			part.heartbeat = events.isRead
			if i == 0 {
				part.heartbeat = events.sendHeartbeat
			}
		}
		if !runner.tryEnqueue(part) {
			responses.cancel()
			return false
		}
	}
	return true
}

// dispatchByFirstCore passes a command to the first core, whose goroutine passes it to the others unless it has failed. All
// cores thus receive these commands in the same order.
func (d *Daemon) dispatchByFirstCore(sample scheduler.Input, call *drmaafront.Call, m message) bool {
	responses := newScatterGather(sample, len(d.runners), m.reply)
	reply := m.reply
	m.buildInput = call.BuildInput
	m.reply = func(answer *scheduler.Answer) {
		if answer.Err != nil {
			reply(answer)
			return
		}
		responses.collector(0)(answer)
		for i, runner := range d.runners[1:] {
			runner.enqueue(message{buildInput: call.BuildInput, receivedAt: m.receivedAt, reply: responses.collector(i + 1)})
		}
	}
	return d.runners[0].tryEnqueue(m)
}
