package daemon

import (
	"flaxshelf.example/flaxshelf/internal/front/drmaafront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/shard"
)

// dispatch sends a client's request to the core that it concerns, or to all cores and merges their answers. It does not block:
// if a mailbox is full, it returns false, and m.reply is not called.
func (d *Daemon) dispatch(call *drmaafront.Call, m message, events *eventStream) bool {
	request := call.BuildInput(0, 0) // only selects the cores; each runner builds the input again with its IDs
	if submit, ok := request.(scheduler.Submit); ok {
		core := d.shards.CoreForSubmission(&submit.Spec, d.keylessSubmissions.Add(1),
			func(core int) int { return len(d.runners[core].mailbox) })
		m.buildInput = call.BuildInput
		return d.runners[core].tryEnqueue(m)
	}
	core, toAllCores := d.shards.Route(request)
	switch {
	case !toAllCores:
		return d.dispatchToCore(core, call, m, events)
	case shard.IsDecidedByFirstCore(request):
		return d.dispatchViaFirstCore(request, call, m)
	default:
		return d.dispatchToAll(request, call, m, events)
	}
}

// dispatchToCore sends a request to one core.
func (d *Daemon) dispatchToCore(core int, call *drmaafront.Call, m message, events *eventStream) bool {
	m.buildInput = call.BuildInput
	if call.Stream {
		m.publish, m.heartbeat = events.publisher(core), events.sendHeartbeat
		if len(d.runners) > 1 {
			m.buildInput = events.withResumeRevision(call.BuildInput, core)
		}
	}
	return d.runners[core].tryEnqueue(m)
}

// dispatchToAll sends a request to all cores, which handle it concurrently. If its response is an event stream, only the first
// core sends heartbeats on it.
func (d *Daemon) dispatchToAll(request scheduler.Input, call *drmaafront.Call, m message, events *eventStream) bool {
	responses := newScatterGather(request, len(d.runners), m.reply)
	for i, runner := range d.runners {
		part := message{buildInput: call.BuildInput, receivedAt: m.receivedAt, reply: responses.collector(i)}
		if call.Stream {
			part.buildInput, part.publish = events.withResumeRevision(call.BuildInput, i), events.publisher(i)
			part.heartbeat = events.isOpen
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

// dispatchViaFirstCore sends a command to the first core. If the command succeeds there, the goroutine of the first core sends
// it to the other cores, so all cores receive such commands in the same order.
func (d *Daemon) dispatchViaFirstCore(request scheduler.Input, call *drmaafront.Call, m message) bool {
	responses := newScatterGather(request, len(d.runners), m.reply)
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
