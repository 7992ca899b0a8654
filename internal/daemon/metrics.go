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
)

// metrics are the figures that a daemon serves to its operator, see docs/operating.md. The names of the metrics are
// read by dashboards and stay as they are. Several goroutines may use it at once.
type metrics struct {
	registry   *prometheus.Registry
	server     *http.Server  // nil without the setting
	serverDone chan struct{} // closed when the server's goroutine has ended

	outcomes            *prometheus.CounterVec // of placement requests, by class and outcome
	jobsEnded           *prometheus.CounterVec // by class and sub-state
	offers              prometheus.Counter
	mailboxFull         prometheus.Counter
	malformedRequests   prometheus.Counter
	clientsDisconnected prometheus.Counter
	clients             prometheus.Gauge
	steps               prometheus.Counter
	inputs              prometheus.Counter
	moduleSeconds       prometheus.Counter

	submitToOffer    *latencyHistogram
	requestToOutcome *latencyHistogram
	stepDuration     *latencyHistogram
}

// newMetrics makes the metrics and serves them on address; the empty address serves nothing.
func newMetrics(address string) (*metrics, error) {
	m := &metrics{
		registry:            prometheus.NewRegistry(),
		outcomes:            newCounterVec("outcomes_total", "Outcomes of asks.", "class", "outcome"),
		jobsEnded:           newCounterVec("jobs_ended_total", "Jobs that have ended.", "class", "sub"),
		offers:              newCounter("offers_total", "Offers sent to nodes."),
		mailboxFull:         newCounter("mailbox_full_total", "Messages turned away because the core was behind."),
		malformedRequests:   newCounter("bad_requests_total", "Requests that could not be read."),
		clientsDisconnected: newCounter("clients_cut_total", "Clients cut off for not reading or sending too slowly."),
		clients:             newGauge("clients", "Connections of clients."),
		steps:               newCounter("steps_total", "Steps of the core."),
		inputs:              newCounter("inputs_total", "Inputs of the core."),
		moduleSeconds:       newCounter("module_seconds_total", "Time spent in the module's steps."),
		submitToOffer:       newLatencyHistogram(),
		requestToOutcome:    newLatencyHistogram(),
		stepDuration:        newLatencyHistogram(),
	}
	m.registry.MustRegister(m.outcomes, m.jobsEnded, m.offers, m.mailboxFull, m.malformedRequests, m.clientsDisconnected,
		m.clients, m.steps, m.inputs, m.moduleSeconds, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.registerQuantiles("submit_to_offer", m.submitToOffer)
	m.registerQuantiles("ask_to_outcome", m.requestToOutcome)
	m.registerQuantiles("step", m.stepDuration)
	if address == "" {
		return m, nil
	}
	return m, m.serve(address)
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: "flaxshelf_" + name, Help: help})
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: "flaxshelf_" + name, Help: help})
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "flaxshelf_" + name, Help: help}, labels)
}

// registerQuantiles registers the quantiles of a histogram, in seconds.
func (m *metrics) registerQuantiles(name string, histogram *latencyHistogram) {
	for _, quantile := range []struct {
		label   string
		percent float64
	}{{"0.5", 50}, {"0.99", 99}, {"0.999", 99.9}} {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "flaxshelf_" + name + "_seconds",
			Help:        "Quantiles since the start.",
			ConstLabels: prometheus.Labels{"quantile": quantile.label},
		}, func() float64 { return histogram.seconds(quantile.percent) }))
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
	m.server = &http.Server{Handler: mux, ReadHeaderTimeout: metricsHeaderTimeout}
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
	began := time.Now()
	step()
	m.moduleSeconds.Add(time.Since(began).Seconds())
}

// recordStep records a step of a core.
func (m *metrics) recordStep(duration time.Duration, inputs int) {
	m.steps.Inc()
	m.inputs.Add(float64(inputs))
	m.stepDuration.record(duration)
}

// recordOutcome records the outcome of a placement request or the end of a job.
func (m *metrics) recordOutcome(set *settings.Scheduler, info *scheduler.Info) {
	class := set.Classes[info.Spec.Class].Name
	if info.State.Ended() {
		m.jobsEnded.WithLabelValues(class, info.SubState).Inc()
		return
	}
	m.outcomes.WithLabelValues(class, string(info.Outcome)).Inc()
	m.requestToOutcome.record(clock.Now() - info.RequestedAt)
}

const (
	maxLatency       = 10 * time.Minute // that a histogram distinguishes from longer ones
	histogramDigits  = 2                // significant decimal digits of a recorded latency
	minLatencyMicros = 1
	microsPerSecond  = 1e6
)

// latencyHistogram is a histogram of latencies since the start, in microseconds. HDR histograms are exact at the high
// quantiles, which are what matters of a latency. Several goroutines may use it at once.
type latencyHistogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencyHistogram() *latencyHistogram {
	return &latencyHistogram{histogram: hdrhistogram.New(minLatencyMicros, maxLatency.Microseconds(), histogramDigits)}
}

// record adds a latency; one out of range counts as the nearest one in range.
func (l *latencyHistogram) record(latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	micros := min(max(latency.Microseconds(), minLatencyMicros), maxLatency.Microseconds())
	_ = l.histogram.RecordValue(micros) // fails only out of range
}

// seconds is the latency below which the given percentage of all latencies lie.
func (l *latencyHistogram) seconds(percent float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.histogram.ValueAtQuantile(percent)) / microsPerSecond
}
