package emulator

import (
	"context"
	"math"
	"sort"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/fault"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/inventorymodel"
)

// faultInjector is the entity that injects the faults of a day, by sending messages to the affected entities. All actions are
// planned before the simulation runs.
type faultInjector struct {
	id         int32
	simulation *simulation
	actions    []plannedAction // those not sent yet, by time
}

// plannedAction is a message to be sent to several entities at a given time.
type plannedAction struct {
	at   Time
	to   []int32
	body any
}

func (f *faultInjector) receive(message) {}

func (f *faultInjector) nextDue() Time {
	if len(f.actions) == 0 {
		return math.MaxInt64
	}
	return f.actions[0].at
}

func (f *faultInjector) run(end Time, out *outbox) {
	for len(f.actions) > 0 && f.actions[0].at < end {
		action := f.actions[0]
		f.actions = f.actions[1:]
		for _, to := range action.to {
			out.send(action.at, to, action.body)
		}
	}
}

// plan plans the initial starts of the schedulers and all faults of the day.
func (f *faultInjector) plan(ctx context.Context) error {
	s := f.simulation
	starts := &faultPlan{injector: f, now: Epoch}
	for i := range s.schedulers {
		starts.sendToSchedulers([]int{i}, startScheduler{})
	}
	for i := range s.day.Faults {
		nextFault, err := fault.New(s.day, i, s.seed)
		if err != nil {
			return err
		}
		if err := nextFault.Inject(ctx, &faultPlan{injector: f, now: Epoch + warmUpDuration + nextFault.Start}); err != nil {
			return err
		}
	}
	sort.SliceStable(f.actions, func(i, j int) bool { return f.actions[i].at < f.actions[j].at })
	return nil
}

// faultPlan implements fault.Cluster. It plans the actions of one fault, the next of them at now.
type faultPlan struct {
	injector *faultInjector
	now      Time
}

// Wait implements fault.Cluster. It returns immediately and plans the following actions later by the duration.
func (p *faultPlan) Wait(_ context.Context, duration time.Duration) { p.now += duration }

func (p *faultPlan) send(body any, to ...int32) {
	p.injector.actions = append(p.injector.actions, plannedAction{at: p.now, to: to, body: body})
}

func (p *faultPlan) sendToNodes(nodes []int, body any) {
	to := make([]int32, len(nodes))
	for i, node := range nodes {
		to[i] = p.injector.simulation.nodes[node].id
	}
	p.send(body, to...)
}

func (p *faultPlan) sendToSchedulers(schedulers []int, body any) {
	to := make([]int32, len(schedulers))
	for i, scheduler := range schedulers {
		to[i] = p.injector.simulation.schedulers[scheduler].id
	}
	p.send(body, to...)
}

func (p *faultPlan) sendToClients(body any) { p.send(body, p.injector.simulation.clients.id) }

// ChangeNodeFaults implements fault.Cluster.
func (p *faultPlan) ChangeNodeFaults(nodes []int, change fault.NodeFaultChange) {
	p.sendToNodes(nodes, changeNodeFault{change})
}

// DropPrograms implements fault.Cluster.
func (p *faultPlan) DropPrograms(nodes []int, fraction float64) {
	p.sendToNodes(nodes, dropPrograms{fraction})
}

// DrainNodes implements fault.Cluster.
func (p *faultPlan) DrainNodes(nodes []int) { p.sendToNodes(nodes, drainNode{}) }

// StopNodes implements fault.Cluster.
func (p *faultPlan) StopNodes(nodes []int) { p.sendToNodes(nodes, stopNode{}) }

// StartNodes implements fault.Cluster.
func (p *faultPlan) StartNodes(_ context.Context, nodes []int) error {
	p.sendToNodes(nodes, startNode{})
	return nil
}

// RestartNodes implements fault.Cluster.
func (p *faultPlan) RestartNodes(_ context.Context, nodes []int) error {
	p.sendToNodes(nodes, restartNode{})
	return nil
}

// PauseSchedulers implements fault.Cluster. The message contains the end of the pause, since a paused scheduler would not
// handle a message that ends it.
func (p *faultPlan) PauseSchedulers(schedulers []int, duration time.Duration) {
	p.sendToSchedulers(schedulers, pauseScheduler{until: p.now + duration})
}

// ResumeSchedulers implements fault.Cluster. It does nothing, since the message of PauseSchedulers contains the end of the
// pause.
func (p *faultPlan) ResumeSchedulers([]int) {}

// KillSchedulers implements fault.Cluster.
func (p *faultPlan) KillSchedulers(schedulers []int) { p.sendToSchedulers(schedulers, killScheduler{}) }

// TerminateSchedulers implements fault.Cluster. It plans the following actions later by the shutdown timeout.
func (p *faultPlan) TerminateSchedulers(schedulers []int) error {
	p.sendToSchedulers(schedulers, terminateScheduler{})
	p.now += p.injector.simulation.day.Limits.ShutdownTimeout.Duration()
	return nil
}

// StartSchedulers implements fault.Cluster.
func (p *faultPlan) StartSchedulers(_ context.Context, schedulers []int) error {
	p.sendToSchedulers(schedulers, startScheduler{})
	return nil
}

// SetLoadFactor implements fault.Cluster.
func (p *faultPlan) SetLoadFactor(class string, factor float64) {
	p.sendToClients(loadFactor{class: class, factor: factor})
}

// SetHotServiceFraction implements fault.Cluster.
func (p *faultPlan) SetHotServiceFraction(class string, fraction float64) {
	p.sendToClients(hotServiceFraction{class: class, fraction: fraction})
}

// SetInventoryFault implements fault.Cluster.
func (p *faultPlan) SetInventoryFault(inventoryFault inventorymodel.Fault) {
	p.send(inventoryFault, p.injector.simulation.inventory.id)
}
