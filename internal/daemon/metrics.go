package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"flaxshelf.example/flaxshelf/internal/clock"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
)

const (
	metricsHeaderTimeout = 5 * time.Second
	metricsCloseTimeout  = time.Second

	classLabel    = "class"
	quantileLabel = "quantile"
)

// metrics are the Prometheus metrics of a daemon, which docs/operating.md describes. It is safe for concurrent use.
type metrics struct {
	registry   *prometheus.Registry
	server     *http.Server  // nil if the settings have no address for metrics
	serverDone chan struct{} // closed when the server's goroutine has ended

	placementOutcomes     *resultCounter
	jobsEnded             *resultCounter
	offers                prometheus.Counter
	mailboxFull           prometheus.Counter
	malformedRequests     *renamedCounter
	clientsDisconnected   *renamedCounter
	openClientConnections prometheus.Gauge
	steps                 prometheus.Counter
	inputs                prometheus.Counter
	moduleSeconds         prometheus.Counter

	submitToOffer    *latencyHistogram
	requestToOutcome *latencyHistogram
	stepDuration     *latencyHistogram
}

// newMetrics returns new metrics and serves them on address, or does not serve them if address is empty.
func newMetrics(address string) (*metrics, error) {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		placementOutcomes: newResultCounter(metricNames{"placement_outcomes_total", "outcomes_total"},
			"Number of placement requests with an outcome, by job class and outcome.", "outcome", "outcome"),
		jobsEnded: newResultCounter(metricNames{"jobs_finished_total", "jobs_ended_total"},
			"Number of jobs that have ended, by job class and sub-state.", "sub_state", "sub"),
		offers:      newCounter("offers_total", "Number of offers to nodes."),
		mailboxFull: newCounter("mailbox_full_total", "Number of messages that a core rejected because its mailbox was full."),
		malformedRequests: newRenamedCounter(metricNames{"malformed_requests_total", "bad_requests_total"},
			"Number of client requests that were not valid HTTP."),
		clientsDisconnected: newRenamedCounter(metricNames{"clients_disconnected_total", "clients_cut_total"},
			"Number of client connections closed because the client read or sent too slowly, or sent too much."),
		openClientConnections: newGauge("clients", "Number of open client connections."),
		steps:                 newCounter("steps_total", "Number of steps of all cores."),
		inputs:                newCounter("inputs_total", "Number of inputs that all cores have handled."),
		moduleSeconds:         newCounter("module_seconds_total", "Time spent in steps of the placement module, in seconds."),
		submitToOffer:         newLatencyHistogram(),
		requestToOutcome:      newLatencyHistogram(),
		stepDuration:          newLatencyHistogram(),
	}
	m.registry.MustRegister(m.placementOutcomes, m.jobsEnded, m.offers, m.mailboxFull, m.malformedRequests, m.clientsDisconnected,
		m.openClientConnections, m.steps, m.inputs, m.moduleSeconds, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		newQuantileCollector(metricNames{current: "submit_to_offer_seconds"},
			"Time from the arrival of a submission to the first offer of its job, in seconds, as quantiles since the start.",
			m.submitToOffer),
		newQuantileCollector(metricNames{"placement_request_duration_seconds", "ask_to_outcome_seconds"},
			"Time from the start of a placement request to its outcome, in seconds, as quantiles since the start.",
			m.requestToOutcome),
		newQuantileCollector(metricNames{current: "step_seconds"},
			"Duration of a step of a core, in seconds, as quantiles since the start.", m.stepDuration))
	if address == "" {
		return m, nil
	}
	return m, m.serve(address)
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: metricPrefix + name, Help: help})
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: metricPrefix + name, Help: help})
}

// quantileCollector exports quantiles of a histogram, in seconds, as gauges with the label quantile.
type quantileCollector struct {
	metricDescs
	histogram *latencyHistogram
}

func newQuantileCollector(names metricNames, help string, histogram *latencyHistogram) *quantileCollector {
	labels := []string{quantileLabel}
	return &quantileCollector{metricDescs: names.describe(help, labels, labels), histogram: histogram}
}

// Collect implements prometheus.Collector.
func (q *quantileCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, quantile := range []struct {
		label   string
		percent float64
	}{{"0.5", 50}, {"0.99", 99}, {"0.999", 99.9}} {
		labels := []string{quantile.label}
		q.export(metrics, prometheus.GaugeValue, q.histogram.percentileSeconds(quantile.percent), labels, labels)
	}
}

// serve serves the metrics on address until close is called.
func (m *metrics) serve(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("metrics: listen: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	m.server = &http.Server{Addr: listener.Addr().String(), Handler: mux, ReadHeaderTimeout: metricsHeaderTimeout}
	m.serverDone = make(chan struct{})
	go func() {
		defer close(m.serverDone)
		_ = m.server.Serve(listener) // always returns an error; after close it is http.ErrServerClosed
	}()
	return nil
}

// close stops the server and waits for its goroutine. It does nothing if there is no server.
func (m *metrics) close() error {
	if m.server == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), metricsCloseTimeout)
	defer cancel()
	err := m.server.Shutdown(ctx)
	<-m.serverDone
	return err
}

// timeModuleStep runs a step of the placement module and adds its duration to the metrics.
func (m *metrics) timeModuleStep(step func()) {
	startedAt := time.Now()
	step()
	m.moduleSeconds.Add(time.Since(startedAt).Seconds())
}

// recordStep records a step of a core: its duration and its number of inputs.
func (m *metrics) recordStep(duration time.Duration, inputs int) {
	m.steps.Inc()
	m.inputs.Add(float64(inputs))
	m.stepDuration.record(duration)
}

// recordOutcome records the outcome of a placement request or the end of a job.
func (m *metrics) recordOutcome(cfg *settings.Scheduler, info *scheduler.JobInfo) {
	class := cfg.Classes[info.Spec.Class].Name
	if info.State.Ended() {
		m.jobsEnded.inc(resultLabels{class, scheduler.SubStateDisplayName(info.SubState), info.SubState})
		return
	}
	m.placementOutcomes.inc(resultLabels{class, info.Outcome.DisplayName(), string(info.Outcome)})
	m.requestToOutcome.record(clock.Now() - info.RequestedAt)
}

const (
	maxLatency       = 10 * time.Minute // longer latencies are recorded as this value
	histogramDigits  = 2                // significant decimal digits of a recorded latency
	minLatencyMicros = 1
	microsPerSecond  = 1e6
)

// latencyHistogram is a histogram of all latencies since the start, in microseconds. It is an HDR histogram, which keeps its
// relative precision at the high quantiles, by which latencies are judged. It is safe for concurrent use.
type latencyHistogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencyHistogram() *latencyHistogram {
	return &latencyHistogram{histogram: hdrhistogram.New(minLatencyMicros, maxLatency.Microseconds(), histogramDigits)}
}

// record adds a latency. A latency outside the range of the histogram is recorded as the nearest limit.
func (l *latencyHistogram) record(latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	micros := min(max(latency.Microseconds(), minLatencyMicros), maxLatency.Microseconds())
	_ = l.histogram.RecordValue(micros) // returns an error only for a value out of range
}

// percentileSeconds returns a percentile of the latencies, in seconds. The percentile is between 0 and 100.
func (l *latencyHistogram) percentileSeconds(percentile float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.histogram.ValueAtQuantile(percentile)) / microsPerSecond
}
