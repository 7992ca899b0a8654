package emulator

import (
	"math"
	"math/rand/v2"

	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// schedulerEntity is the entity of a scheduler. Each incarnation has its own core; a stopped scheduler has none.
type schedulerEntity struct {
	id           int32
	simulation   *simulation
	settings     *settings.Scheduler
	inbox        inbox
	latency      *latencyModel
	random       *rand.Rand
	recorder     *recorder
	incarnations int

	core          *scheduler.Core
	nextDeadline  Time              // when the core has requested its next step
	pendingInputs []scheduler.Input // inputs of the next step, caused by effects of the last one
	drained       bool              // the core has completed a graceful shutdown

	pausedUntil Time
	busyUntil   Time // end of the core's last step
	busyTime    Time // total duration of the core's steps
	steps       int64

	links         map[string]*link // by name of the node
	linksByEntity map[int32]*link  // by entity ID of the node
	nextDialAt    Time             // the earliest end of a link's backoff

	inventoryDecoder *nodefront.InventoryDecoder
	requests         map[uint64]clientRequest
	lastRequestID    uint64
}

// clientRequest identifies a submission that has no answer yet.
type clientRequest struct {
	client int32  // entity ID
	key    string // idempotency key
}

func (s *schedulerEntity) receive(m message) { s.inbox.put(m) }

func (s *schedulerEntity) nextDue() Time {
	due := s.inbox.nextDue()
	if s.core != nil {
		due = min(due, s.nextDeadline, s.nextDialAt)
	}
	return max(due, s.pausedUntil, s.busyUntil)
}

// start starts an incarnation, unless one is running.
func (s *schedulerEntity) start(now Time) {
	if s.core != nil {
		return
	}
	s.incarnations++
	schedulerSettings := *s.settings
	schedulerSettings.Seed = scenario.SchedulerSeed(s.simulation.seed, schedulerSettings.Index, s.incarnations)
	config := schedulerSettings.CoreConfig(now)
	config.NewModule = s.simulation.newModule
	if s.simulation.configureCore != nil {
		s.simulation.configureCore(&config)
	}
	core, err := scheduler.New(config)
	if err != nil {
		s.simulation.fail(err)
		return
	}
	s.core, s.nextDeadline, s.pendingInputs, s.nextDialAt = core, now, nil, math.MaxInt64
	s.links, s.linksByEntity = map[string]*link{}, map[int32]*link{}
	s.requests = map[uint64]clientRequest{}
	s.inventoryDecoder = &nodefront.InventoryDecoder{Settings: s.settings}
	s.recorder.addSchedulerConnections(s)
}

// kill ends the incarnation immediately and closes its connections.
func (s *schedulerEntity) kill(now Time, out *outbox) {
	if s.core == nil {
		return
	}
	for _, name := range s.simulation.nodeNames {
		if l := s.links[name]; l != nil && l.isOpen() {
			s.send(now, l.nodeID, disconnected{}, out)
			s.recorder.addClose(l.connectionID, now)
		}
	}
	s.send(now, s.simulation.inventory.id, disconnected{}, out)
	s.send(now, s.simulation.clients.id, schedulerKilled{s.settings.Index}, out)
	s.core = nil
	s.recorder.markSchedulerKilled(s, now)
}

func (s *schedulerEntity) send(now Time, to int32, body any, out *outbox) {
	out.send(s.latency.deliveryTime(now, to), to, body)
}

// run passes all messages of a window to the core in one step at the end of the window, as a daemon passes all that it has
// received since the last step.
func (s *schedulerEntity) run(end Time, out *outbox) {
	if end <= s.pausedUntil || end <= s.busyUntil {
		return
	}
	now := end
	var inputs []scheduler.Input
	for _, m := range s.inbox.due(end) {
		if s.handleControl(m, now, out) {
			continue
		}
		if input := s.coreInput(m, now, out); input != nil {
			inputs = append(inputs, input)
		}
	}
	if s.core == nil {
		return
	}
	if s.nextDialAt < end {
		s.dialDueLinks(end, out)
	}
	if len(inputs) > 0 || len(s.pendingInputs) > 0 || s.nextDeadline < end {
		s.step(now, append(inputs, s.pendingInputs...), out)
	}
}

// step runs a step of the core and carries out its effects.
func (s *schedulerEntity) step(now Time, inputs []scheduler.Input, out *outbox) {
	s.pendingInputs = nil
	s.steps++
	output := s.core.Step(now, inputs)
	// The effects take place when the step has ended. Until then, further inputs wait.
	if cost := s.simulation.day.CPU.StepTime(len(inputs)); cost > 0 {
		s.busyUntil = now + cost
		s.busyTime += cost
		now = s.busyUntil
	}
	s.nextDeadline = output.NextStep
	for _, effect := range output.Effects {
		s.execute(effect, now, out)
	}
	if len(s.pendingInputs) > 0 {
		s.nextDeadline = now
	}
	if s.drained {
		s.drained = false
		s.kill(now, out)
	}
}

// handleControl handles the messages of the fault injector that are not inputs of the core. It returns false for all other
// messages.
func (s *schedulerEntity) handleControl(m message, now Time, out *outbox) bool {
	switch body := m.body.(type) {
	case startScheduler:
		s.start(now)
	case killScheduler:
		s.kill(now, out)
	case pauseScheduler:
		s.pausedUntil = body.until
		s.recorder.markSchedulerPaused(s, now, body.until)
	default:
		return false
	}
	return true
}

// coreInput converts a message into an input of the core, or returns nil if there is none. A stopped scheduler answers
// submissions with an error.
func (s *schedulerEntity) coreInput(m message, now Time, out *outbox) scheduler.Input {
	if s.core == nil {
		if body, ok := m.body.(submission); ok {
			s.send(now, m.from, submissionAnswer{key: body.spec.Key, errorCode: errorCodeUnreachable,
				scheduler: s.settings.Index}, out)
		}
		return nil
	}
	switch body := m.body.(type) {
	case submission:
		s.lastRequestID++
		s.requests[s.lastRequestID] = clientRequest{client: m.from, key: body.spec.Key}
		return scheduler.Submit{RequestID: s.lastRequestID, ReceivedAt: m.deliverAt, Spec: body.spec}
	case terminateScheduler:
		return scheduler.Drain{}
	case jobCommand:
		return scheduler.Command{Verb: body.verb, Job: body.jobID}
	case disconnected:
		return s.handleLinkLost(m.from, now)
	case frame:
		if m.from == s.simulation.inventory.id {
			return s.decodeInventoryFrame(body, now)
		}
		return s.decodeNodeFrame(m.from, body, now)
	}
	return nil
}

func (s *schedulerEntity) decodeInventoryFrame(f frame, now Time) scheduler.Input {
	s.recorder.addFrame(s.recorder.inventoryConnectionID(s), true, f, now)
	message, err := s.inventoryDecoder.Decode(f.Frame)
	s.simulation.fail(err)
	return message.Input
}

func (s *schedulerEntity) decodeNodeFrame(from int32, f frame, now Time) scheduler.Input {
	l := s.linksByEntity[from]
	if l == nil || !l.isOpen() {
		return nil // the connection was closed before the frame was delivered
	}
	s.recorder.addFrame(l.connectionID, true, f, now)
	input, err := l.decoder.Decode(f.Frame)
	s.simulation.fail(err)
	if _, ok := input.(scheduler.NodeConnected); ok {
		l.up, l.dialing, l.failures = true, false, 0
	}
	return input
}
