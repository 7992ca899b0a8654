package emulator

import (
	"math"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/front/nodefront"
	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/fleet"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

// registerInterval is the interval at which a node reports its state to the inventory. A stand-in node on sockets has the same.
const registerInterval = 500 * time.Millisecond

// nodeEntity is the entity of a node. Each incarnation has its own model; a stopped node has none.
type nodeEntity struct {
	simulation   *simulation
	id           int32
	spec         scenario.Node
	settings     settings.Node
	inbox        inbox
	latency      *latencyModel
	model        *nodemodel.Node
	incarnations int
	fault        nodemodel.Fault

	schedulerIDs    map[string]int32 // IDs of connected schedulers, by name
	schedulerNames  map[int32]string // names of connected schedulers, by ID
	connectionOrder []string         // names of schedulers by the time of their first connection

	nextRegisterAt  Time // when it reports to the inventory next
	overloadCrashes int  // incarnations that crashed because of overload
	finishedEarlier int  // number of tasks that earlier incarnations have finished
}

func (n *nodeEntity) receive(m message) { n.inbox.put(m) }

func (n *nodeEntity) nextDue() Time { return min(n.inbox.nextDue(), n.modelNextDue()) }

// modelNextDue returns when the model has work due or the node registers, whichever is earlier. It returns math.MaxInt64
// while the node is stopped.
func (n *nodeEntity) modelNextDue() Time {
	if n.model == nil {
		return math.MaxInt64
	}
	return min(n.model.NextDue(), n.nextRegisterAt)
}

// start starts an incarnation, unless one is running. A warm one needs no slow start.
func (n *nodeEntity) start(now Time, warm bool) {
	if n.model != nil {
		return
	}
	n.incarnations++
	nodeSettings, day := n.settings, n.simulation.day
	nodeSettings.SlowStartCompleted = warm
	seed := scenario.NodeSeed(n.simulation.seed, int(n.id), n.incarnations)
	n.model = nodemodel.New(fleet.NodeConfig(nodeSettings, day.MachineKinds, day.Rules, day.Behaviour, seed), now,
		n.simulation.zoneKeyRegistries[n.spec.Group.Zone])
	n.schedulerIDs, n.schedulerNames, n.connectionOrder = map[string]int32{}, map[int32]string{}, nil
	n.nextRegisterAt = now
}

// stop ends the incarnation immediately, closes its connections and clears its faults.
func (n *nodeEntity) stop(now Time, out *outbox) {
	if n.model == nil {
		return
	}
	n.simulation.recorder.markNodeStopped(n, now)
	n.finishedEarlier += n.model.FinishedTasks()
	n.model.Die()
	n.model, n.fault = nil, nodemodel.Fault{}
	for _, name := range n.connectionOrder {
		if id, ok := n.schedulerIDs[name]; ok {
			n.sendTo(now, id, disconnected{}, out)
		}
	}
	n.sendTo(now, n.simulation.inventory.id, disconnected{}, out)
}

// sendTo sends a message to the entity with the given ID.
func (n *nodeEntity) sendTo(now Time, to int32, body any, out *outbox) {
	out.send(n.latency.deliveryTime(now, to), to, body)
}

func (n *nodeEntity) run(end Time, out *outbox) { n.inbox.runModel(n, end, out) }

func (n *nodeEntity) advance(now Time, out *outbox) {
	if n.nextRegisterAt <= now {
		n.register(now, out)
		n.nextRegisterAt = now + registerInterval
	}
	n.sendFrames(now, n.model.Advance(now), out)
}

// handleCrash ends an incarnation whose model has crashed.
func (n *nodeEntity) handleCrash(now Time, out *outbox) {
	if n.model.Overloaded() {
		n.overloadCrashes++
		n.simulation.recorder.markNodeOverloaded(n, now)
	}
	n.stop(now, out)
}

// handle handles a message, and ends the incarnation if that has crashed the model.
func (n *nodeEntity) handle(m message, out *outbox) {
	n.dispatch(m, out)
	if n.model != nil && n.model.Dead() {
		n.handleCrash(m.deliverAt, out)
	}
}

func (n *nodeEntity) dispatch(m message, out *outbox) {
	switch body := m.body.(type) {
	case stopNode:
		n.stop(m.deliverAt, out)
	case startNode:
		n.start(m.deliverAt, false)
	case restartNode:
		n.stop(m.deliverAt, out)
		n.start(m.deliverAt, false)
	case drainNode:
		n.drain(m.deliverAt, out)
	case changeNodeFault:
		n.changeFault(m.deliverAt, body, out)
	case dropPrograms:
		if n.model != nil {
			n.model.EvictCachedPrograms(body.fraction)
		}
	case connectRequest:
		n.accept(m, body, out)
	case disconnected:
		n.disconnect(m)
	case frame:
		if name, ok := n.schedulerNames[m.from]; ok && n.model != nil {
			n.sendFrames(m.deliverAt, n.model.Receive(m.deliverAt, name, body.Frame), out)
		}
	}
}

func (n *nodeEntity) drain(now Time, out *outbox) {
	if n.model != nil {
		n.sendFrames(now, n.model.Drain(now), out)
		n.register(now, out)
	}
}

func (n *nodeEntity) changeFault(now Time, body changeNodeFault, out *outbox) {
	body.change(&n.fault)
	if n.model != nil {
		n.sendFrames(now, n.model.SetFault(now, n.fault), out)
	}
}

// accept accepts the connection of a scheduler, or refuses it if the node is stopped or the model does not accept it.
func (n *nodeEntity) accept(m message, hello connectRequest, out *outbox) {
	if n.model == nil {
		n.sendTo(m.deliverAt, m.from, disconnected{}, out)
		return
	}
	frames, ok := n.model.Connect(m.deliverAt, hello.scheduler, hello.incarnation, nodeframe.MaxHeldPerWelcome)
	if !ok {
		n.sendTo(m.deliverAt, m.from, disconnected{}, out)
		return
	}
	if _, known := n.schedulerIDs[hello.scheduler]; !known {
		n.connectionOrder = append(n.connectionOrder, hello.scheduler)
	}
	n.schedulerIDs[hello.scheduler], n.schedulerNames[m.from] = m.from, hello.scheduler
	n.sendFrames(m.deliverAt, frames, out)
}

func (n *nodeEntity) disconnect(m message) {
	if name, ok := n.schedulerNames[m.from]; ok && n.model != nil {
		n.model.Disconnect(m.deliverAt, name)
		delete(n.schedulerIDs, name)
		delete(n.schedulerNames, m.from)
	}
}

// sendFrames sends frames to schedulers. It drops those to schedulers that are not connected.
func (n *nodeEntity) sendFrames(now Time, frames []nodemodel.Envelope, out *outbox) {
	for _, s := range frames {
		if to, ok := n.schedulerIDs[s.To]; ok {
			n.sendTo(now, to, frame{s.Frame}, out)
		}
	}
}

// register reports the node's state to the inventory.
func (n *nodeEntity) register(now Time, out *outbox) {
	machine := n.model.Machine(n.settings.Cell)
	if n.incarnations == 1 && n.spec.Group.Warm {
		machine.Started = 0
	}
	if !n.simulation.day.ListsFree {
		machine.FreeCores, machine.FreeMemory = 0, 0
	}
	entry := nodefront.NewEntry(machine, n.settings.Kind, n.spec.Name)
	n.sendTo(now, n.simulation.inventory.id, frame{&nodepb.Frame{Body: &nodepb.Frame_Register{
		Register: &nodepb.Register{Entry: entry}}}}, out)
}
