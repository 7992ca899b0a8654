package scheduler

import (
	"time"

	"flaxshelf.example/flaxshelf"
)

// newPlacer makes the module that schedulers run, unless Config.NewModule says otherwise.
func newPlacer(cfg flaxshelf.Config, seed uint64) (Module, error) { return flaxshelf.New(cfg, seed) }

// notifyModule keeps an event for the module's next step.
func (c *Core) notifyModule(event flaxshelf.Event) { c.moduleEvents = append(c.moduleEvents, event) }

// stepModule gives the module what has happened and executes its actions. What follows at once from its actions, as
// an offer to a node that is unreachable, waits for the next step.
func (c *Core) stepModule() {
	if c.moduleWakeAt > 0 && c.now >= c.moduleWakeAt {
		c.moduleWakeAt = 0
		c.notifyModule(flaxshelf.TimerFired{})
	}
	if len(c.moduleEvents) == 0 {
		return
	}
	events := c.moduleEvents
	c.moduleEvents = nil
	for _, action := range c.decide(events) {
		c.execute(action)
	}
}

// decide steps the module, by way of the host's hooks.
func (c *Core) decide(events []flaxshelf.Event) []flaxshelf.Action {
	var actions []flaxshelf.Action
	step := func() { actions = c.module.Step(c.now, events) }
	if c.cfg.WrapStep != nil {
		c.cfg.WrapStep(step)
	} else {
		step()
	}
	if c.cfg.RecordStep != nil {
		c.cfg.RecordStep(c.now, events, actions)
	}
	return actions
}

// execute carries out one action of the module. It leaves none out and adds none.
func (c *Core) execute(action flaxshelf.Action) {
	switch action := action.(type) {
	case flaxshelf.Offer:
		c.startOffer(action)
	case flaxshelf.Cancel:
		c.cancelOffer(action)
	case flaxshelf.Reject:
		c.failTask(action.Task, OutcomeRejected)
	case flaxshelf.Fail:
		c.failTask(action.Task, OutcomeFailed)
	case flaxshelf.Migrate:
		c.migrate(action)
	case flaxshelf.HealthCheck:
		c.checkHealth(action)
	case flaxshelf.Subscribe:
		c.emit(SubscribeDiscovery{})
	case flaxshelf.SetTimer:
		c.wakeModule(c.now + action.After)
	case flaxshelf.SendGossip: // only where the module's CanMessage is set, which the program never does
	}
}

// wakeModule has the module stepped at that time, unless it is stepped earlier already.
func (c *Core) wakeModule(at Time) {
	if c.moduleWakeAt == 0 || at < c.moduleWakeAt {
		c.moduleWakeAt = at
	}
}

// soon is the earliest time at which a check is repeated that waits for another event.
func (c *Core) soon() Time { return c.now + max(c.cfg.Module.Tick, time.Millisecond) }
