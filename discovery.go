package flaxshelf

import "time"

// Discovery: subscriptions to changes of the machine list.

// scheduleFirstSubscribe subscribes in the first step, where discovery sends changes on request only.
func (p *Placer) scheduleFirstSubscribe(now Time) {
	if p.cfg.DiscoveryOnRequest {
		p.subscribeAt = now
	}
}

// handleDiscoveryFailed subscribes again after a backoff with jitter.
func (p *Placer) handleDiscoveryFailed() {
	if !p.cfg.DiscoveryOnRequest {
		return
	}
	p.discoveryFailures++
	backoff := subscribeBackoff << min(p.discoveryFailures-1, maxSubscribeDoublings)
	p.subscribeAt = p.now + backoff/2 + time.Duration(p.random.Int64N(int64(backoff)))
}

// subscribeIfDue subscribes when due, and again when there is no answer.
func (p *Placer) subscribeIfDue() {
	if p.subscribeAt == 0 || p.now < p.subscribeAt {
		return
	}
	p.emit(Subscribe{})
	p.subscribeAt = p.now + max(p.cfg.DiscoveryPollDeadline, minSubscribeInterval)
}
