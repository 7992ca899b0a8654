package daemon

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/replay"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/shard"
	"flaxshelf.example/flaxshelf/internal/transport"
)

const (
	minStepInterval  = 500 * time.Microsecond // lets one step handle all inputs of a burst
	mailboxCapacity  = 1 << 16                // messages per core
	maxInputsPerStep = 4096
)

// message is sent to the goroutine that owns a core, called the owner below. Exactly one of stop, input and buildInput is set.
type message struct {
	stop       bool // ends the owner
	input      scheduler.Input
	buildInput func(requestID, streamID uint64) scheduler.Input // builds the input of a client's request with the owner's IDs

	reply      func(*scheduler.Answer)       // receives the answer to a client's request
	publish    func(*scheduler.JobInfo) bool // sends a job change to the client of a Watch; false ends the stream
	heartbeat  func() bool                   // called periodically for the client of a Watch; false ends the stream
	receivedAt time.Time                     // when the client's request had arrived completely
	isNewJob   bool                          // the request submits jobs; set by the owner

	conn          *transport.Conn   // the connection that a NodeConnected reports
	nodeAddresses map[string]string // network addresses of the nodes in a NodesUpdated, by name
}

// coreRunner runs a scheduler.Core in a goroutine that owns it. The methods enqueue, tryEnqueue, requeue and
// reportUnsentOffer and the channels done and drained are safe for concurrent use. Only the owner may use everything else.
type coreRunner struct {
	daemon            *Daemon
	index             int
	core              *scheduler.Core
	mailbox           chan message
	done              chan struct{} // closed when the owner has ended
	drained           chan struct{} // closed when the core is draining and has no open placement requests
	isDrained         bool
	recorder          *replay.Writer // records the module's steps; nil unless the settings request a recording
	requeueGoroutines sync.WaitGroup // goroutines that requeue started; no more start after the event loops have ended

	lastRequestID     uint64
	pendingRequests   map[uint64]message   // unanswered client requests by request ID
	streams           map[uint64]message   // Watch requests by stream ID
	submittedAt       map[string]time.Time // when the submissions of jobs without an offer arrived, by job ID
	outboxes          map[string]*nodeOutbox
	unflushedOutboxes []*nodeOutbox     // outboxes with frames of the current step
	nodeAddresses     map[string]string // network addresses of the nodes, by name
	offerFrame        offerFrame
}

func newCoreRunner(d *Daemon, index, coreCount int) (*coreRunner, error) {
	r := &coreRunner{
		daemon:          d,
		index:           index,
		mailbox:         make(chan message, mailboxCapacity),
		done:            make(chan struct{}),
		drained:         make(chan struct{}),
		pendingRequests: map[uint64]message{},
		streams:         map[uint64]message{},
		submittedAt:     map[string]time.Time{},
		outboxes:        map[string]*nodeOutbox{},
		nodeAddresses:   map[string]string{},
	}
	r.offerFrame.init()
	config := shard.ConfigForCore(d.settings.CoreConfig(d.startedAt), index, coreCount)
	config.WrapStep = d.metrics.timeModuleStep
	if d.settings.ModuleRecording != "" {
		recorder, err := replay.Create(recordingPath(d.settings.ModuleRecording, index), config.Module, config.Seed)
		if err != nil {
			return nil, err
		}
		r.recorder, config.RecordStep = recorder, recorder.WriteStep
	}
	core, err := scheduler.New(config)
	if err != nil {
		return nil, errors.Join(err, closeRecorder(r.recorder))
	}
	r.core = core
	return r, nil
}

// recordingPath returns the path of the recording of one core's module: path for the first core, and path with the core's
// index as suffix for the others.
func recordingPath(path string, index int) string {
	if index == 0 {
		return path
	}
	return fmt.Sprintf("%s.%d", path, index)
}

// enqueue sends a message to the owner, or discards it if the owner has ended. It blocks while the mailbox is full, so event
// loops must not call it.
func (r *coreRunner) enqueue(m message) {
	select {
	case r.mailbox <- m:
	case <-r.done:
	}
}

// tryEnqueue sends a message to the owner without blocking. It returns false if the mailbox is full.
func (r *coreRunner) tryEnqueue(m message) bool {
	select {
	case r.mailbox <- m:
		return true
	default:
		r.daemon.metrics.mailboxFull.Inc()
		return false
	}
}

// requeue sends an input to the core for a later step. It neither blocks nor loses the input: if the mailbox is full, a new
// goroutine waits, since the caller may be the owner or an event loop.
func (r *coreRunner) requeue(input scheduler.Input) {
	m := message{input: input}
	if !r.tryEnqueue(m) {
		r.requeueGoroutines.Go(func() { r.enqueue(m) })
	}
}

// discardMessages discards messages to a runner whose owner has ended, until the channel closed is closed.
func (r *coreRunner) discardMessages(closed <-chan struct{}) {
	for {
		select {
		case <-r.mailbox:
		case <-closed:
			return
		}
	}
}

// run is the goroutine that owns the core. It steps the core for each batch of inputs, and when the core's next step is due,
// until it receives a stop message.
func (r *coreRunner) run() {
	defer close(r.done)
	gcBallast()
	defer retainGCBallast()
	stepTimer := time.NewTimer(0)
	heartbeat, ping := time.NewTicker(streamHeartbeatInterval), time.NewTicker(pingInterval)
	defer stepTimer.Stop()
	defer heartbeat.Stop()
	defer ping.Stop()
	var lastStep time.Time
	for {
		var inputs []scheduler.Input
		select {
		case m := <-r.mailbox:
			if m.stop {
				return
			}
			inputs = r.appendInput(inputs, m)
		case <-stepTimer.C:
		case <-heartbeat.C:
			r.sendHeartbeats()
			continue
		case <-ping.C:
			r.pingPeers()
			continue
		}
		if remaining := minStepInterval - time.Since(lastStep); remaining > 0 {
			time.Sleep(remaining)
		}
		inputs, stop := r.collectInputs(inputs)
		if stop {
			return
		}
		lastStep = time.Now()
		nextStep := r.step(lastStep, inputs)
		stepTimer.Reset(max(nextStep-clock.Now(), 0))
	}
}

// collectInputs appends the inputs that are in the mailbox, up to maxInputsPerStep in total, and reports whether it received
// a stop message.
func (r *coreRunner) collectInputs(inputs []scheduler.Input) (collected []scheduler.Input, stop bool) {
	for len(inputs) < maxInputsPerStep {
		select {
		case m := <-r.mailbox:
			if m.stop {
				return inputs, true
			}
			inputs = r.appendInput(inputs, m)
		default:
			return inputs, false
		}
	}
	return inputs, false
}

// step steps the core and executes its effects. It returns the time by which the core needs its next step.
func (r *coreRunner) step(startedAt time.Time, inputs []scheduler.Input) (nextStep scheduler.Time) {
	now := clock.At(startedAt)
	output := r.core.Step(now, inputs)
	if hook := r.daemon.hook; hook != nil {
		output.Effects = hook.InterceptEffects(now, output.Effects)
	}
	r.executeEffects(now, output.Effects)
	r.daemon.metrics.recordStep(time.Since(startedAt), len(inputs))
	return output.NextStep
}
