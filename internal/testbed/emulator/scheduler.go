package emulator

import (
	"math"
	"math/rand/v2"

	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

// schedulerEntity is a scheduler. It has a core for each incarnation, and none while it is stopped.
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
	nextDeadline  Time              // when the core is to run next, as it requested
	pendingInputs []scheduler.Input // inputs of the next step that effects of the last one caused
	drained       bool              // the core has nothing open after a graceful shutdown

	pausedUntil Time
	busyUntil   Time // end of the last step of the core
	busyTime    Time // total duration of the steps
	steps       int64

	links         map[string]*link // by node
	linksByEntity map[int32]*link
	nextDialAt    Time // the earliest dial of the links that wait for their backoff

	inventoryDecoder *nodefront.InventoryDecoder
	requests         map[uint64]clientRequest
	lastRequest      uint64
}

// clientRequest is a submission that has no answer yet.
type clientRequest struct {
	client int32
	key    string
}

func (s *schedulerEntity) receive(m message) { s.inbox.put(m) }

func (s *schedulerEntity) nextDue() Time {
	due := s.inbox.nextDue()
	if s.core != nil {
		due = min(due, s.nextDeadline, s.nextDialAt)
	}
	return max(due, s.pausedUntil, s.busyUntil)
}

// start starts an incarnation, unless one runs.
func (s *schedulerEntity) start(now Time) {
	if s.core != nil {
		return
	}
	s.incarnations++
	set := *s.settings
	set.Seed = scenario.SchedulerSeed(s.simulation.seed, set.Index, s.incarnations)
	config := set.CoreConfig(now)
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

// kill ends the incarnation at once, with its connections.
func (s *schedulerEntity) kill(now Time, out *outbox) {
	if s.core == nil {
		return
	}
	for _, name := range s.simulation.nodeNames {
		if l := s.links[name]; l != nil && l.isOpen() {
			s.send(now, l.nodeID, disconnected{}, out)
			s.recorder.addClose(l.connection, now)
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

// run passes everything received in a window to the core in one step at the end of the window, as a daemon does with what
// it has received since the last step.
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

// step runs the core and executes its effects.
func (s *schedulerEntity) step(now Time, inputs []scheduler.Input, out *outbox) {
	s.pendingInputs = nil
	s.steps++
	output := s.core.Step(now, inputs)
	// Effects are executed at the end of the step's time, and inputs wait until then.
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

// control handles the messages of the fault injector that do not concern the core. It returns false for any other.
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

// input converts a message into an input of the core; nil if it is none.
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
		s.lastRequest++
		s.requests[s.lastRequest] = clientRequest{client: m.from, key: body.spec.Key}
		return scheduler.Submit{RequestID: s.lastRequest, ReceivedAt: m.at, Spec: body.spec}
	case terminateScheduler:
		return scheduler.Drain{}
	case jobCommand:
		return scheduler.Command{Verb: body.verb, Job: body.job}
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
	s.recorder.addFrame(s.recorder.inventoryConnection(s), true, f, now)
	message, err := s.inventoryDecoder.Decode(f.Frame)
	s.simulation.fail(err)
	return message.Input
}

func (s *schedulerEntity) decodeNodeFrame(from int32, f frame, now Time) scheduler.Input {
	l := s.linksByEntity[from]
	if l == nil || !l.isOpen() {
		return nil // the connection was closed before the frame was delivered
	}
	s.recorder.addFrame(l.connection, true, f, now)
	input, err := l.decoder.Decode(f.Frame)
	s.simulation.fail(err)
	if _, ok := input.(scheduler.NodeConnected); ok {
		l.up, l.dialing, l.failures = true, false, 0
	}
	return input
}
