package requests

import "time"

// exponentialBackoff returns the delay before a retry: initial, doubled for each earlier retry, but at most limit.
func exponentialBackoff(initial, limit time.Duration, earlierRetries int) time.Duration {
	backoff := initial
	for range earlierRetries {
		backoff *= 2
		if backoff >= limit {
			return limit
		}
	}
	return backoff
}

// withJitter returns a random time between half a backoff and the whole of it.
func (c *Core) withJitter(backoff time.Duration) time.Duration {
	return backoff/2 + time.Duration(c.rng.Int64N(int64(backoff/2)))
}
