package recordproxy

import (
	"testing"
	"time"
)

// Bytes that are read after a stall may have been received since its start, until the proxies have read what waited.
func TestEarliestReceiptIsTheStartOfAStall(t *testing.T) {
	const interval = 5 * time.Millisecond
	const start = time.Hour
	tracker := stallTracker{checkedAt: start}
	tracker.check(start + interval)
	stallStart := start + interval
	stallEnd := stallStart + 700*time.Millisecond
	check := func(name string, now, want time.Duration) {
		t.Helper()
		if got := tracker.earliestReceipt(now); got != want {
			t.Errorf("%s: got %v, want %v", name, got-start, want-start)
		}
	}
	check("punctual", stallStart+interval, stallStart+interval-stallThreshold)
	check("after a stall that no check has seen", stallEnd, stallStart)
	tracker.check(stallEnd)
	check("right after the stall", stallEnd, stallStart)
	tracker.check(stallEnd + interval)
	check("while the proxies read what waited", stallEnd+interval, stallStart)
	secondEnd := stallEnd + interval + 300*time.Millisecond
	tracker.check(secondEnd)
	check("after a second stall before the recovery", secondEnd, stallStart)
	for now := secondEnd; now < secondEnd+stallRecovery; now += interval {
		tracker.check(now)
	}
	check("recovered", secondEnd+stallRecovery, secondEnd+stallRecovery-stallThreshold)
}
