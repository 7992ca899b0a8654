package requests

import "time"

// exponentialBackoff is the delay before a retry: it doubles with each earlier retry, up to a bound.
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
