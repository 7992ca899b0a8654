package requests

import "flaxshelf.example/flaxshelf"

// actionHandler executes the placer's actions on a Core. It is a separate type so that the methods of
// flaxshelf.ActionHandler are not part of the exported API of Core.
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
func (h actionHandler) HandleSubscribe(flaxshelf.Subscribe) { h.core.openWatch() }

// HandleHealthCheck implements flaxshelf.ActionHandler. It does nothing: the platform's settings forbid health checks of
// nodes (caps.probes), and an established link already shows that its node is healthy.
func (h actionHandler) HandleHealthCheck(flaxshelf.HealthCheck) {}

// HandleSendGossip implements flaxshelf.ActionHandler. It does nothing: the platform's settings allow no connections between
// schedulers (caps.peers).
func (h actionHandler) HandleSendGossip(flaxshelf.SendGossip) {}

// setPlacerTimer schedules the placer's next TimerFired event. If several timers are set, only the earliest is kept.
func (c *Core) setPlacerTimer(action flaxshelf.SetTimer) {
	if at := c.now + action.After; c.placerTimerAt == 0 || at < c.placerTimerAt {
		c.placerTimerAt = at
	}
}
