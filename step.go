package flaxshelf

import "math"

// Step processes the events since the last step, in order, and returns the actions to execute now. If now is before the time
// of the last step, the time of the last step is used.
func (p *Placer) Step(now Time, events []Event) []Action {
	if !p.started {
		p.started, p.startedAt = true, now
		p.scheduleFirstSubscribe(now)
	}
	p.now, p.actions = max(now, p.now), nil
	p.index.InvalidateAssumed()
	p.index.InvalidateExpired(p.now)
	clear(p.infeasible)
	if p.timerDue <= p.now {
		p.timerDue = 0
	}
	for _, e := range events {
		p.handle(e)
	}
	p.subscribeIfDue()
	p.processOpenTasks()
	p.pruneHistory()
	p.pruneMachines()
	p.setTimer()
	return p.actions
}

// emit appends an action to those that the step in progress returns.
func (p *Placer) emit(a Action) { p.actions = append(p.actions, a) }

// setTimer requests a TimerFired event for the next time at which something is due, unless an earlier timer is pending.
func (p *Placer) setTimer() {
	next, ok := p.nextDue()
	if !ok || p.timerDue != 0 && p.timerDue <= next {
		return
	}
	p.timerDue = max(next, p.now+1)
	p.emit(SetTimer{After: p.timerDue - p.now})
}

// nextDue returns when the next subscription, final answer or choice of a machine for a queued task is due. ok is false if
// there is none.
func (p *Placer) nextDue() (next Time, ok bool) {
	next = math.MaxInt64
	if p.subscribeAt > 0 {
		next = p.subscribeAt
	}
	for _, t := range p.openTasks {
		due := p.answerDeadline(t)
		if t.activeAttempt() == nil {
			due = min(due, p.now+placementRetryInterval)
		}
		next = min(next, due)
	}
	return next, next != math.MaxInt64
}
