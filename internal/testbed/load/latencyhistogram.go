package load

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the longest latency of a LatencyHistogram.
	maxLatency = time.Hour
	// latencyDigits is the precision of a LatencyHistogram in significant digits.
	latencyDigits = 3
)

// LatencyHistogram is the distribution of latencies in microseconds. Safe for concurrent use.
type LatencyHistogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewLatencyHistogram returns an empty histogram.
func NewLatencyHistogram() *LatencyHistogram {
	return &LatencyHistogram{histogram: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
}

// Record adds a latency. It is recorded as at least 1 µs and at most an hour.
func (l *LatencyHistogram) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.histogram.RecordValue(min(max(d.Microseconds(), 1), maxLatency.Microseconds())) // always within the bounds
}

// At returns the given percentile.
func (l *LatencyHistogram) Percentile(percent float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.histogram.ValueAtQuantile(percent)) * time.Microsecond
}

// Max returns the longest latency.
func (l *LatencyHistogram) Max() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.histogram.Max()) * time.Microsecond
}

// String returns the main percentiles.
func (l *LatencyHistogram) String() string {
	return fmt.Sprintf("p50 %v p90 %v p99 %v p99.9 %v max %v", l.Percentile(50), l.Percentile(90), l.Percentile(99), l.Percentile(99.9), l.Max())
}
