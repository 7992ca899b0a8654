package requests

import "flaxshelf.example/flaxshelf"

// actionHandler executes the module's actions on a Core. It is a type of its own so that the methods that the module's
// package calls are not methods of Core, which its host would see.
type actionHandler struct{ core *Core }

// HandleOffer implements flaxshelf.ActionHandler.
func (h actionHandler) HandleOffer(action flaxshelf.Offer) { h.core.offer(action) }

// HandleCancel implements flaxshelf.ActionHandler.
func (h actionHandler) HandleCancel(action flaxshelf.Cancel) { h.core.cancelAttempt(action) }

// HandleReject implements flaxshelf.ActionHandler.
func (h actionHandler) HandleReject(action flaxshelf.Reject) {
	h.core.respondTerminated(action.Task, CauseRejected)
}

// HandleFail implements flaxshelf.ActionHandler.
func (h actionHandler) HandleFail(action flaxshelf.Fail) {
	h.core.respondTerminated(action.Task, CauseLost)
}

// HandleMigrate implements flaxshelf.ActionHandler.
func (h actionHandler) HandleMigrate(action flaxshelf.Migrate) { h.core.migrate(action) }

// HandleSetTimer implements flaxshelf.ActionHandler.
func (h actionHandler) HandleSetTimer(action flaxshelf.SetTimer) { h.core.setPlacerTimer(action) }

// HandleSubscribe implements flaxshelf.ActionHandler.
func (h actionHandler) HandleSubscribe(flaxshelf.Subscribe) { h.core.emit(Subscribe{}) }

// HandleHealthCheck implements flaxshelf.ActionHandler. It does nothing: the platform's settings forbid health checks of
// nodes (caps.probes), and an established link shows as much.
func (h actionHandler) HandleHealthCheck(flaxshelf.HealthCheck) {}

// HandleSendGossip implements flaxshelf.ActionHandler. It does nothing: the platform's settings have no connections
// between schedulers (caps.peers).
func (h actionHandler) HandleSendGossip(flaxshelf.SendGossip) {}

// setPlacerTimer schedules the module's next TimerFired event; of several timers the earliest counts.
func (c *Core) setPlacerTimer(action flaxshelf.SetTimer) {
	if at := c.now + action.After; c.placerTimerAt == 0 || at < c.placerTimerAt {
		c.placerTimerAt = at
	}
}
