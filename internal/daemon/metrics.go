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

// metrics are the metrics that a daemon serves to its operator, see docs/operating.md. It is safe for concurrent use.
type metrics struct {
	registry   *prometheus.Registry
	server     *http.Server  // nil without the setting
	serverDone chan struct{} // closed when the server's goroutine has ended

	outcomes            *resultCounter // of placement requests
	jobsEnded           *resultCounter // by sub-state
	offers              prometheus.Counter
	mailboxFull         prometheus.Counter
	malformedRequests   *renamedCounter
	clientsDisconnected *renamedCounter
	clients             prometheus.Gauge
	steps               prometheus.Counter
	inputs              prometheus.Counter
	moduleSeconds       prometheus.Counter

	submitToOffer    *latencyHistogram
	requestToOutcome *latencyHistogram
	stepDuration     *latencyHistogram
}

// newMetrics returns new metrics and serves them on address. An empty address means no server.
func newMetrics(address string) (*metrics, error) {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		outcomes: newResultCounter(metricNames{"placement_outcomes_total", "outcomes_total"},
			"Outcomes of placement requests.", "outcome", "outcome"),
		jobsEnded: newResultCounter(metricNames{"jobs_finished_total", "jobs_ended_total"},
			"Jobs that have ended, by sub-state.", "sub_state", "sub"),
		offers:      newCounter("offers_total", "Offers to nodes."),
		mailboxFull: newCounter("mailbox_full_total", "Messages rejected because the mailbox of a core was full."),
		malformedRequests: newRenamedCounter(metricNames{"malformed_requests_total", "bad_requests_total"},
			"Requests of clients that are not valid HTTP."),
		clientsDisconnected: newRenamedCounter(metricNames{"clients_disconnected_total", "clients_cut_total"},
			"Connections of clients that were closed because the client reads or sends too slowly or too much."),
		clients:          newGauge("clients", "Open connections of clients."),
		steps:            newCounter("steps_total", "Steps of the cores."),
		inputs:           newCounter("inputs_total", "Inputs of the cores."),
		moduleSeconds:    newCounter("module_seconds_total", "Time spent in steps of the module, in seconds."),
		submitToOffer:    newLatencyHistogram(),
		requestToOutcome: newLatencyHistogram(),
		stepDuration:     newLatencyHistogram(),
	}
	m.registry.MustRegister(m.outcomes, m.jobsEnded, m.offers, m.mailboxFull, m.malformedRequests, m.clientsDisconnected,
		m.clients, m.steps, m.inputs, m.moduleSeconds, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		newQuantiles(metricNames{current: "submit_to_offer_seconds"},
			"Time from the arrival of a submission to the first offer of its job, in quantiles since the process started.",
			m.submitToOffer),
		newQuantiles(metricNames{"placement_request_duration_seconds", "ask_to_outcome_seconds"},
			"Time from the start of a placement request to its outcome, in quantiles since the process started.",
			m.requestToOutcome),
		newQuantiles(metricNames{current: "step_seconds"},
			"Duration of a step of a core, in quantiles since the process started.", m.stepDuration))
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

// quantiles exports quantiles of a histogram, in seconds, as gauges with a label for the quantile.
type quantiles struct {
	metricDescs
	histogram *latencyHistogram
}

func newQuantiles(names metricNames, help string, histogram *latencyHistogram) *quantiles {
	labels := []string{quantileLabel}
	return &quantiles{metricDescs: names.describe(help, labels, labels), histogram: histogram}
}

// Collect implements prometheus.Collector.
func (q *quantiles) Collect(metrics chan<- prometheus.Metric) {
	for _, quantile := range []struct {
		label   string
		percent float64
	}{{"0.5", 50}, {"0.99", 99}, {"0.999", 99.9}} {
		labels := []string{quantile.label}
		q.export(metrics, prometheus.GaugeValue, q.histogram.seconds(quantile.percent), labels, labels)
	}
}

// serve serves the metrics on address until close.
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
		_ = m.server.Serve(listener) // always an error: that the server was closed
	}()
	return nil
}

// close ends the server and waits for its goroutine.
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

// timeModuleStep runs a step of the module and adds the time that it took.
func (m *metrics) timeModuleStep(step func()) {
	startedAt := time.Now()
	step()
	m.moduleSeconds.Add(time.Since(startedAt).Seconds())
}

// recordStep records a step of a core.
func (m *metrics) recordStep(duration time.Duration, inputs int) {
	m.steps.Inc()
	m.inputs.Add(float64(inputs))
	m.stepDuration.record(duration)
}

// recordOutcome records the outcome of a placement request or the end of a job.
func (m *metrics) recordOutcome(set *settings.Scheduler, info *scheduler.JobInfo) {
	class := set.Classes[info.Spec.Class].Name
	if info.State.Ended() {
		m.jobsEnded.inc(classResult{class, scheduler.SubStateDisplayName(info.SubState), info.SubState})
		return
	}
	m.outcomes.inc(classResult{class, info.Outcome.DisplayName(), string(info.Outcome)})
	m.requestToOutcome.record(clock.Now() - info.RequestedAt)
}

const (
	maxLatency       = 10 * time.Minute // longer latencies are recorded as this one
	histogramDigits  = 2                // significant decimal digits of a recorded latency
	minLatencyMicros = 1
	microsPerSecond  = 1e6
)

// latencyHistogram is a histogram of latencies since the start, in microseconds. HDR histograms are exact at the high
// quantiles, by which latencies are judged. It is safe for concurrent use.
type latencyHistogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencyHistogram() *latencyHistogram {
	return &latencyHistogram{histogram: hdrhistogram.New(minLatencyMicros, maxLatency.Microseconds(), histogramDigits)}
}

// record adds a latency. One out of range counts as the nearest one in range.
func (l *latencyHistogram) record(latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	micros := min(max(latency.Microseconds(), minLatencyMicros), maxLatency.Microseconds())
	_ = l.histogram.RecordValue(micros) // fails only out of range
}

// seconds returns the latency, in seconds, below which the given percentage of all latencies lie.
func (l *latencyHistogram) seconds(percent float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.histogram.ValueAtQuantile(percent)) / microsPerSecond
}
