package daemon

import (
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	metricPrefix = "flaxshelf_"
	// removalVersion is the version that no longer exports deprecated names of metrics and log keys.
	removalVersion = "0.2.0"
)

// metricNames are the names of one metric, without metricPrefix.
type metricNames struct {
	current    string
	deprecated string // an earlier name that is exported too; empty for none
}

// describe returns a description for each name. The help text of the deprecated one names its successor.
func (n metricNames) describe(help string, labels, deprecatedLabels []string) metricDescs {
	current := metricPrefix + n.current
	descs := metricDescs{current: prometheus.NewDesc(current, help, labels, nil)}
	if n.deprecated != "" {
		deprecatedHelp := "Deprecated: use " + current + "; removed in " + removalVersion + "."
		descs.deprecated = prometheus.NewDesc(metricPrefix+n.deprecated, deprecatedHelp, deprecatedLabels, nil)
	}
	return descs
}

// metricDescs are the descriptions of one metric under its names. Each value is read once and exported under all names,
// so the names agree in every scrape.
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

// export sends a value under all names.
func (d metricDescs) export(metrics chan<- prometheus.Metric, kind prometheus.ValueType, value float64,
	labels, deprecatedLabels []string) {
	metrics <- prometheus.MustNewConstMetric(d.current, kind, value, labels...)
	if d.deprecated != nil {
		metrics <- prometheus.MustNewConstMetric(d.deprecated, kind, value, deprecatedLabels...)
	}
}

// renamedCounter is a counter that is exported under a current and a deprecated name. It is safe for concurrent use.
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

// classResult is a class of jobs and a result of a job of that class, in current and deprecated terms.
type classResult struct{ class, current, deprecated string }

// resultCounter counts results of jobs by class. Both the metric's name and the terms of its results have deprecated
// forms. It is safe for concurrent use.
type resultCounter struct {
	metricDescs
	mu     sync.Mutex
	counts map[classResult]uint64
}

func newResultCounter(names metricNames, help, label, deprecatedLabel string) *resultCounter {
	return &resultCounter{
		metricDescs: names.describe(help, []string{classLabel, label}, []string{classLabel, deprecatedLabel}),
		counts:      map[classResult]uint64{},
	}
}

func (c *resultCounter) inc(result classResult) {
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
