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
