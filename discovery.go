package flaxshelf

import "time"

// Subscriptions to changes of the machine list. They are only made if discovery sends changes on request.

// scheduleFirstSubscribe makes the first subscription due in the first step.
func (p *Placer) scheduleFirstSubscribe(now Time) {
	if p.cfg.DiscoveryOnRequest {
		p.subscribeAt = now
	}
}

// handleDiscoveryFailed schedules the next subscription after an exponential backoff with jitter.
func (p *Placer) handleDiscoveryFailed() {
	if !p.cfg.DiscoveryOnRequest {
		return
	}
	p.discoveryFailures++
	backoff := subscribeBackoff << min(p.discoveryFailures-1, maxSubscribeDoublings)
	p.subscribeAt = p.now + backoff/2 + time.Duration(p.random.Int64N(int64(backoff)))
}

// subscribeIfDue subscribes when due. If no answer comes in time, it subscribes again.
func (p *Placer) subscribeIfDue() {
	if p.subscribeAt == 0 || p.now < p.subscribeAt {
		return
	}
	p.emit(Subscribe{})
	p.subscribeAt = p.now + max(p.cfg.DiscoveryPollDeadline, minSubscribeInterval)
}
