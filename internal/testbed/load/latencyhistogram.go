package load

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the largest latency that a LatencyHistogram can represent.
	maxLatency = time.Hour
	// latencyDigits is the precision of a LatencyHistogram in significant digits.
	latencyDigits = 3
)

// LatencyHistogram records latencies with a resolution of 1 µs or three significant digits. It is safe for concurrent use.
type LatencyHistogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewLatencyHistogram returns an empty histogram.
func NewLatencyHistogram() *LatencyHistogram {
	return &LatencyHistogram{histogram: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
}

// Record adds a latency, clamped to the range from 1 µs to maxLatency.
func (l *LatencyHistogram) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// RecordValue fails only for values out of bounds.
	_ = l.histogram.RecordValue(min(max(d.Microseconds(), 1), maxLatency.Microseconds()))
}

// Percentile returns the latency at the given percentile, from 0 to 100.
func (l *LatencyHistogram) Percentile(percent float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.histogram.ValueAtQuantile(percent)) * time.Microsecond
}

// Max returns the longest recorded latency.
func (l *LatencyHistogram) Max() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.histogram.Max()) * time.Microsecond
}

// String returns the percentiles 50, 90, 99 and 99.9 and the maximum.
func (l *LatencyHistogram) String() string {
	return fmt.Sprintf("p50 %v p90 %v p99 %v p99.9 %v max %v", l.Percentile(50), l.Percentile(90), l.Percentile(99),
		l.Percentile(99.9), l.Max())
}
