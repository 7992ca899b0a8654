package requests

import (
	"testing"
	"time"
)

// The backoff doubles with each retry up to its limit, for any number of retries.
func TestExponentialBackoffDoublesUpToLimit(t *testing.T) {
	for _, test := range []struct {
		name           string
		initial, limit time.Duration
		earlierRetries int
		want           time.Duration
	}{
		{"first retry", 100 * time.Millisecond, time.Second, 0, 100 * time.Millisecond},
		{"second retry", 100 * time.Millisecond, time.Second, 1, 200 * time.Millisecond},
		{"last below the limit", 100 * time.Millisecond, time.Second, 3, 800 * time.Millisecond},
		{"above the limit", 100 * time.Millisecond, time.Second, 4, time.Second},
		{"at the limit", 100 * time.Millisecond, 800 * time.Millisecond, 3, 800 * time.Millisecond},
		{"many retries", 100 * time.Millisecond, time.Second, 1 << 20, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := exponentialBackoff(test.initial, test.limit, test.earlierRetries); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
