package emulator

import (
	"context"
	"math"
	"sort"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/fault"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/inventorymodel"
)

// faultInjector sends the actions of the scenario's faults at their times. It is an entity whose actions travel like
// messages. They are all planned before the simulation runs.
type faultInjector struct {
	id         int32
	simulation *simulation
	actions    []plannedAction // in the order of their times
}

// plannedAction is one message to some entities.
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

// plan lays out the whole scenario: the first starts of the schedulers and all faults.
func (f *faultInjector) plan(ctx context.Context) error {
	s := f.simulation
	starts := &faultPlan{injector: f, now: Epoch}
	for i := range s.schedulers {
		starts.sendSchedulers([]int{i}, startScheduler{})
	}
	for i := range s.day.Faults {
		next, err := fault.New(s.day, i, s.seed)
		if err != nil {
			return err
		}
		if err := next.Inject(ctx, &faultPlan{injector: f, now: Epoch + warmUp + next.Start}); err != nil {
			return err
		}
	}
	sort.SliceStable(f.actions, func(i, j int) bool { return f.actions[i].at < f.actions[j].at })
	return nil
}

// faultPlan is the simulated cluster as a fault.Cluster: it plans the actions of one fault, and time passes by its waits.
type faultPlan struct {
	injector *faultInjector
	now      Time
}

// Wait has the next action come later. There is nothing to cancel while a scenario is planned.
func (p *faultPlan) Wait(_ context.Context, duration time.Duration) { p.now += duration }

func (p *faultPlan) send(body any, to ...int32) {
	p.injector.actions = append(p.injector.actions, plannedAction{at: p.now, to: to, body: body})
}

func (p *faultPlan) sendNodes(nodes []int, body any) {
	to := make([]int32, len(nodes))
	for i, node := range nodes {
		to[i] = p.injector.simulation.nodes[node].id
	}
	p.send(body, to...)
}

func (p *faultPlan) sendSchedulers(schedulers []int, body any) {
	to := make([]int32, len(schedulers))
	for i, scheduler := range schedulers {
		to[i] = p.injector.simulation.schedulers[scheduler].id
	}
	p.send(body, to...)
}

func (p *faultPlan) sendClients(body any) { p.send(body, p.injector.simulation.clients.id) }

// ChangeNodeFaults is of fault.Cluster.
func (p *faultPlan) ChangeNodeFaults(nodes []int, change fault.NodeFaultChange) {
	p.sendNodes(nodes, changeNodeFault{change})
}

// DropPrograms is of fault.Cluster.
func (p *faultPlan) DropPrograms(nodes []int, share float64) { p.sendNodes(nodes, dropPrograms{share}) }

// DrainNodes is of fault.Cluster.
func (p *faultPlan) DrainNodes(nodes []int) { p.sendNodes(nodes, drainNode{}) }

// StopNodes is of fault.Cluster.
func (p *faultPlan) StopNodes(nodes []int) { p.sendNodes(nodes, stopNode{}) }

// StartNodes is of fault.Cluster.
func (p *faultPlan) StartNodes(_ context.Context, nodes []int) error {
	p.sendNodes(nodes, startNode{})
	return nil
}

// RestartNodes is of fault.Cluster.
func (p *faultPlan) RestartNodes(_ context.Context, nodes []int) error {
	p.sendNodes(nodes, restartNode{})
	return nil
}

// PauseSchedulers is of fault.Cluster. The message has the end of the pause, since a paused scheduler takes no message.
func (p *faultPlan) PauseSchedulers(schedulers []int, duration time.Duration) {
	p.sendSchedulers(schedulers, pauseScheduler{until: p.now + duration})
}

// ResumeSchedulers is of fault.Cluster: a pause ends by itself.
func (p *faultPlan) ResumeSchedulers([]int) {}

// KillSchedulers is of fault.Cluster.
func (p *faultPlan) KillSchedulers(schedulers []int) { p.sendSchedulers(schedulers, killScheduler{}) }

// TerminateSchedulers is of fault.Cluster. It takes as long as a scheduler may.
func (p *faultPlan) TerminateSchedulers(schedulers []int) error {
	p.sendSchedulers(schedulers, terminateScheduler{})
	p.now += p.injector.simulation.day.Limits.ShutdownTimeout.Duration()
	return nil
}

// StartSchedulers is of fault.Cluster.
func (p *faultPlan) StartSchedulers(_ context.Context, schedulers []int) error {
	p.sendSchedulers(schedulers, startScheduler{})
	return nil
}

// SetLoadFactor is of fault.Cluster.
func (p *faultPlan) SetLoadFactor(class string, factor float64) {
	p.sendClients(loadFactor{class: class, factor: factor})
}

// SetHotServiceFraction is of fault.Cluster.
func (p *faultPlan) SetHotServiceFraction(class string, share float64) {
	p.sendClients(hotServiceShare{class: class, share: share})
}

// SetInventoryFault is of fault.Cluster.
func (p *faultPlan) SetInventoryFault(inventoryFault inventorymodel.Fault) {
	p.send(inventoryFault, p.injector.simulation.inventory.id)
}
