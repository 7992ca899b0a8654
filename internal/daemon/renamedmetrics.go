package daemon

import (
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	metricPrefix = "flaxshelf_"
	// removalVersion is the version that removes the deprecated names of metrics and log keys.
	removalVersion = "0.2.0"
)

// metricNames are the current and the deprecated name of a metric, without metricPrefix.
type metricNames struct {
	current    string
	deprecated string // previous name, which is still exported; empty for none
}

// describe returns a description for each name. The help text of the deprecated name refers to the current name.
func (n metricNames) describe(help string, labels, deprecatedLabels []string) metricDescs {
	current := metricPrefix + n.current
	descs := metricDescs{current: prometheus.NewDesc(current, help, labels, nil)}
	if n.deprecated != "" {
		deprecatedHelp := "Deprecated: use " + current + "; removed in " + removalVersion + "."
		descs.deprecated = prometheus.NewDesc(metricPrefix+n.deprecated, deprecatedHelp, deprecatedLabels, nil)
	}
	return descs
}

// metricDescs are the descriptions of a metric under its current and its deprecated name. A value is read once and exported
// under both names, so both have the same value in every scrape.
type metricDescs struct {
	current    *prometheus.Desc
	deprecated *prometheus.Desc // nil for none
}

// Describe implements prometheus.Collector.
func (d metricDescs) Describe(descs chan<- *prometheus.Desc) {
	descs <- d.current
	if d.deprecated != nil {
		descs <- d.deprecated
	}
}

// export sends a value under the current and the deprecated name. deprecatedLabels are the label values for the latter.
func (d metricDescs) export(metrics chan<- prometheus.Metric, kind prometheus.ValueType, value float64,
	labels, deprecatedLabels []string) {
	metrics <- prometheus.MustNewConstMetric(d.current, kind, value, labels...)
	if d.deprecated != nil {
		metrics <- prometheus.MustNewConstMetric(d.deprecated, kind, value, deprecatedLabels...)
	}
}

// renamedCounter is a counter that is exported under its current and its deprecated name. It is safe for concurrent use.
type renamedCounter struct {
	metricDescs
	value atomic.Uint64
}

func newRenamedCounter(names metricNames, help string) *renamedCounter {
	return &renamedCounter{metricDescs: names.describe(help, nil, nil)}
}

func (c *renamedCounter) inc() { c.value.Add(1) }

// Collect implements prometheus.Collector.
func (c *renamedCounter) Collect(metrics chan<- prometheus.Metric) {
	c.export(metrics, prometheus.CounterValue, float64(c.value.Load()), nil, nil)
}

// resultLabels are the label values of a result: the job class, and the current and the deprecated name of the result.
type resultLabels struct{ class, current, deprecated string }

// resultCounter counts results of jobs by job class and result. Its name and its label values have deprecated forms, which are
// exported too. It is safe for concurrent use.
type resultCounter struct {
	metricDescs
	mu     sync.Mutex
	counts map[resultLabels]uint64
}

func newResultCounter(names metricNames, help, label, deprecatedLabel string) *resultCounter {
	return &resultCounter{
		metricDescs: names.describe(help, []string{classLabel, label}, []string{classLabel, deprecatedLabel}),
		counts:      map[resultLabels]uint64{},
	}
}

func (c *resultCounter) inc(result resultLabels) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[result]++
}

// Collect implements prometheus.Collector.
func (c *resultCounter) Collect(metrics chan<- prometheus.Metric) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for result, count := range c.counts {
		c.export(metrics, prometheus.CounterValue, float64(count),
			[]string{result.class, result.current}, []string{result.class, result.deprecated})
	}
}
