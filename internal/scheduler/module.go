package scheduler

import (
	"time"

	"flaxshelf.example/flaxshelf"
)

// newPlacer is the default of Config.NewModule.
func newPlacer(cfg flaxshelf.Config, seed uint64) (Module, error) { return flaxshelf.New(cfg, seed) }

// notifyModule queues an event for the module's next step.
func (c *Core) notifyModule(event flaxshelf.Event) { c.moduleEvents = append(c.moduleEvents, event) }

// stepModule steps the module with the events since its last step and executes its actions. Events that result from these
// actions, for example because an offer could not be sent, are delivered with the next step.
func (c *Core) stepModule() {
	if c.moduleTimerAt > 0 && c.now >= c.moduleTimerAt {
		c.moduleTimerAt = 0
		c.notifyModule(flaxshelf.TimerFired{})
	}
	if len(c.moduleEvents) == 0 {
		return
	}
	events := c.moduleEvents
	c.moduleEvents = nil
	flaxshelf.HandleActions(c.callModule(events), actionHandler{core: c})
}

// callModule steps the module and calls the host's hooks Config.WrapStep and Config.RecordStep.
func (c *Core) callModule(events []flaxshelf.Event) []flaxshelf.Action {
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

// actionHandler implements flaxshelf.ActionHandler: it executes the module's actions in a core. It is a separate type so
// that Core does not export the handler methods.
type actionHandler struct{ core *Core }

func (h actionHandler) HandleOffer(offer flaxshelf.Offer) { h.core.startOffer(offer) }

func (h actionHandler) HandleCancel(cancel flaxshelf.Cancel) { h.core.cancelOffer(cancel) }

func (h actionHandler) HandleReject(reject flaxshelf.Reject) {
	h.core.failTask(reject.Task, OutcomeRejected)
}

func (h actionHandler) HandleFail(fail flaxshelf.Fail) { h.core.failTask(fail.Task, OutcomeFailed) }

func (h actionHandler) HandleMigrate(migrate flaxshelf.Migrate) { h.core.migrate(migrate) }

func (h actionHandler) HandleHealthCheck(check flaxshelf.HealthCheck) { h.core.checkHealth(check) }

func (h actionHandler) HandleSubscribe(flaxshelf.Subscribe) { h.core.emit(SubscribeDiscovery{}) }

func (h actionHandler) HandleSetTimer(timer flaxshelf.SetTimer) {
	h.core.setModuleTimer(h.core.now + timer.After)
}

// HandleSendGossip does nothing. The module sends gossip only if Config.CanGossip is set, and the hosts of a Core have no
// connections to other schedulers.
func (h actionHandler) HandleSendGossip(flaxshelf.SendGossip) {}

// setModuleTimer sets the module's timer to the given time, unless it is set to an earlier one.
func (c *Core) setModuleTimer(at Time) {
	if c.moduleTimerAt == 0 || at < c.moduleTimerAt {
		c.moduleTimerAt = at
	}
}

// nextPollTime returns when to repeat a check that polls for a condition.
func (c *Core) nextPollTime() Time { return c.now + max(c.cfg.Module.Tick, time.Millisecond) }
