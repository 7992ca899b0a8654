package recordproxy

import (
	"sync"
	"time"

	"flaxshelf.example/flaxshelf/internal/clock"
)

const (
	// stallCheckInterval is the interval at which the recorder checks that its process runs.
	stallCheckInterval = 5 * time.Millisecond
	// stallThreshold is the shortest time between two checks that counts as a stall of the process.
	stallThreshold = 20 * time.Millisecond
	// recordedStall is the shortest stall that is recorded as an event.
	recordedStall = 100 * time.Millisecond
	// stallRecovery is how long after a stall the proxies may still read bytes that were received during it.
	stallRecovery = 100 * time.Millisecond
)

// stallTracker knows the latest stall of the recorder's process, in which no proxy read or forwarded anything. It is not safe for
// concurrent use.
type stallTracker struct {
	checkedAt            time.Duration // the latest check
	stallStart, stallEnd time.Duration // of the latest stall
}

// check notes that the process runs, and returns the time since the previous check. A stall that follows another before its
// recovery has ended prolongs it.
func (s *stallTracker) check(now time.Duration) (sinceCheck time.Duration) {
	sinceCheck = now - s.checkedAt
	if sinceCheck >= stallThreshold {
		if s.stallEnd == 0 || s.checkedAt-s.stallEnd >= stallRecovery {
			s.stallStart = s.checkedAt
		}
		s.stallEnd = now
	}
	s.checkedAt = now
	return sinceCheck
}

// earliestReceipt returns the earliest time at which bytes that are read now may have been received.
func (s *stallTracker) earliestReceipt(now time.Duration) time.Duration {
	switch {
	case s.stallEnd > 0 && now-s.stallEnd < stallRecovery:
		return s.stallStart
	case now-s.checkedAt >= stallThreshold:
		return s.checkedAt
	}
	return now - stallThreshold
}

// stallMonitor checks a stallTracker periodically until it is stopped. It is safe for concurrent use.
type stallMonitor struct {
	onStall func(length time.Duration) // called after each recorded stall
	mu      sync.Mutex
	tracker stallTracker
	stop    chan struct{}
	stopped chan struct{}
}

func startStallMonitor(onStall func(length time.Duration)) *stallMonitor {
	m := &stallMonitor{onStall: onStall, tracker: stallTracker{checkedAt: clock.Now()}, stop: make(chan struct{}),
		stopped: make(chan struct{})}
	go m.run()
	return m
}

func (m *stallMonitor) run() {
	defer close(m.stopped)
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.mu.Lock()
			sinceCheck := m.tracker.check(clock.Now())
			m.mu.Unlock()
			if sinceCheck >= recordedStall {
				m.onStall(sinceCheck)
			}
		case <-m.stop:
			return
		}
	}
}

// earliestReceipt returns the earliest time at which bytes that are read now may have been received.
func (m *stallMonitor) earliestReceipt(now time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.earliestReceipt(now)
}

// close stops the monitor and waits until it has ended.
func (m *stallMonitor) close() {
	close(m.stop)
	<-m.stopped
}
