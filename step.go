package flaxshelf

import "math"

// Step takes the events since the last step, in order, and returns the actions to execute now. A time before that of the
// last step counts as the time of the last step.
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

// emit adds an action to those of the step in progress.
func (p *Placer) emit(a Action) { p.actions = append(p.actions, a) }

// setTimer requests a TimerFired event for the next time at which something falls due.
func (p *Placer) setTimer() {
	next, ok := p.nextDue()
	if !ok || p.timerDue != 0 && p.timerDue <= next {
		return
	}
	p.timerDue = max(next, p.now+1)
	p.emit(SetTimer{After: p.timerDue - p.now})
}

// nextDue returns when the next subscription, answer or choice for a queued task falls due; ok is false where none will.
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
