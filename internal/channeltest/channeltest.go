// Package channeltest has the waits of tests for channels. Each wait has a limit and says what it waits for, so that a test that
// would hang fails instead.
package channeltest

import (
	"testing"
	"time"
)

// limit is how long a wait takes at most. It is far above what a busy machine needs.
const limit = 30 * time.Second

// Await waits for a value, or for the end of values. It fails the test after the limit; what says what it waits for. It must be
// called on the test's goroutine.
func Await[T any](t testing.TB, values <-chan T, what string) T {
	t.Helper()
	select {
	case value := <-values:
		return value
	case <-time.After(limit):
		t.Fatalf("waited %v for %s", limit, what)
	}
	panic("unreachable")
}

// Hold blocks the code under test until the test sends to release or closes it, and at most for the limit: a test that has failed
// releases nothing, but its cleanup waits for that code.
func Hold(release <-chan struct{}) {
	select {
	case <-release:
	case <-time.After(limit):
	}
}
