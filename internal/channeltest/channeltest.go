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

// Send sends a value. It fails the test if nothing receives it within the limit; what says what should. It must be called on the
// test's goroutine.
func Send[T any](t testing.TB, values chan<- T, value T, what string) {
	t.Helper()
	select {
	case values <- value:
	case <-time.After(limit):
		t.Fatalf("waited %v for %s to receive", limit, what)
	}
}

// Hold reports on held that the code under test is blocked, and blocks it until the test sends to release or closes it. Each
// takes the limit at most: a test that has failed does neither, but its cleanup waits for that code.
func Hold(held chan<- struct{}, release <-chan struct{}) {
	select {
	case held <- struct{}{}:
	case <-time.After(limit):
		return
	}
	select {
	case <-release:
	case <-time.After(limit):
	}
}
