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
	minStepInterval = 500 * time.Microsecond // so that one step handles the inputs of a burst
	mailboxCapacity = 1 << 16                // messages per core
	maxStepInputs   = 4096                   // per step
)

// message is passed to the goroutine that owns a core. Exactly one of stop, input and buildInput is set.
type message struct {
	stop       bool
	input      scheduler.Input
	buildInput func(requestID, streamID uint64) scheduler.Input // of a client's request, to which the owner assigns IDs

	reply      func(*scheduler.Answer)       // to a client's request
	publish    func(*scheduler.JobInfo) bool // a change to the client of a Watch; false ends the stream
	heartbeat  func() bool                   // to the client of a Watch; false ends the stream
	receivedAt time.Time                     // when the client's request was complete
	isNewJob   bool                          // a submission; set by the owner

	conn      *transport.Conn   // of a NodeUp
	addresses map[string]string // of the nodes in a NodesUpdated
}

// coreRunner runs a scheduler.Core in a goroutine that owns it. The methods enqueue, tryEnqueue and requeue and the channels
// done and drained are safe for concurrent use; everything else is for the owner only.
type coreRunner struct {
	daemon       *Daemon
	index        int
	core         *scheduler.Core
	mailbox      chan message
	done         chan struct{} // closed when the owner has ended
	drained      chan struct{} // closed when a draining core has no more open placement requests
	isDrained    bool
	recorder     *replay.Writer // of the module's steps; nil without the setting
	blockedSends sync.WaitGroup // goroutines of requeue; none are added after the event loops have ended

	lastRequestID uint64
	pending       map[uint64]message   // requests without an answer, by request ID
	streams       map[uint64]message   // Watch requests by stream ID
	submittedAt   map[string]time.Time // of jobs without an offer, by job ID
	outboxes      map[string]*nodeOutbox
	unflushed     []*nodeOutbox     // those with frames of the current step
	addresses     map[string]string // of nodes
	offer         offerFrame
}

func newCoreRunner(d *Daemon, index, coreCount int) (*coreRunner, error) {
	r := &coreRunner{
		daemon:      d,
		index:       index,
		mailbox:     make(chan message, mailboxCapacity),
		done:        make(chan struct{}),
		drained:     make(chan struct{}),
		pending:     map[uint64]message{},
		streams:     map[uint64]message{},
		submittedAt: map[string]time.Time{},
		outboxes:    map[string]*nodeOutbox{},
		addresses:   map[string]string{},
	}
	r.offer.init()
	config := shard.ConfigForCore(d.settings.CoreConfig(d.startedAt), index, coreCount)
	config.WrapStep = d.metrics.timeModuleStep
	if d.settings.ModuleRecording != "" {
		recorder, err := replay.Create(recordingPath(d.settings.ModuleRecording, index), config.Module, config.Seed)
		if err != nil {
			return nil, err
		}
		r.recorder, config.RecordStep = recorder, recorder.Step
	}
	core, err := scheduler.New(config)
	if err != nil {
		return nil, errors.Join(err, closeRecorder(r.recorder))
	}
	r.core = core
	return r, nil
}

// recordingPath returns the path of the recording of a core's module.
func recordingPath(path string, index int) string {
	if index == 0 {
		return path
	}
	return fmt.Sprintf("%s.%d", path, index)
}

// enqueue passes a message to the owner. It blocks while the mailbox is full, so event loops must not call it.
func (r *coreRunner) enqueue(m message) {
	select {
	case r.mailbox <- m:
	case <-r.done:
	}
}

// tryEnqueue passes a message to the owner without blocking. It returns false if the mailbox is full.
func (r *coreRunner) tryEnqueue(m message) bool {
	select {
	case r.mailbox <- m:
		return true
	default:
		r.daemon.metrics.mailboxFull.Inc()
		return false
	}
}

// requeue passes an input to the core in a later step, without blocking or losing it: if the mailbox is full, a goroutine
// waits instead of the caller, which may be the owner or an event loop.
func (r *coreRunner) requeue(input scheduler.Input) {
	m := message{input: input}
	if !r.tryEnqueue(m) {
		r.blockedSends.Go(func() { r.enqueue(m) })
	}
}

// discardMail discards messages to a runner whose goroutine has ended, until closed is closed.
func (r *coreRunner) discardMail(closed <-chan struct{}) {
	for {
		select {
		case <-r.mailbox:
		case <-closed:
			return
		}
	}
}

// run steps the core until it receives a stop message. It is the goroutine that owns the core.
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
		if rest := minStepInterval - time.Since(lastStep); rest > 0 {
			time.Sleep(rest)
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

// collectInputs appends the inputs in the mailbox, up to maxStepInputs in total. It reports whether it received a stop
// message.
func (r *coreRunner) collectInputs(inputs []scheduler.Input) (collected []scheduler.Input, stop bool) {
	for len(inputs) < maxStepInputs {
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

// step steps the core, executes its effects and returns the latest time of the next step.
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
