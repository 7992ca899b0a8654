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

	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
)

// metrics are what an operator sees of a daemon, see docs/operating.md. Latencies are HDR histograms, since
// their tails are what matters.
type metrics struct {
	registry  *prometheus.Registry
	server    *http.Server
	done      chan struct{}
	outcomes  *prometheus.CounterVec
	ended     *prometheus.CounterVec
	offers    prometheus.Counter
	full      prometheus.Counter
	bad, cut  prometheus.Counter
	clients   prometheus.Gauge
	steps     prometheus.Counter
	moduleS   prometheus.Counter
	inputs    prometheus.Counter
	toOffer   *tail
	toOutcome *tail
	stepTime  *tail
}

// tail is a histogram of microseconds up to ten minutes with two digits.
type tail struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newTail() *tail { return &tail{h: hdrhistogram.New(1, 600_000_000, 2)} }

func (t *tail) record(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.h.RecordValue(min(max(d.Microseconds(), 1), 600_000_000))
}

func (t *tail) quantile(q float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.h.ValueAtQuantile(q)) / 1e6
}

func newMetrics(addr string) (*metrics, error) {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "flaxshelf_" + name, Help: help})
	}
	m := &metrics{registry: prometheus.NewRegistry(),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "flaxshelf_outcomes_total",
			Help: "Outcomes of asks."}, []string{"class", "outcome"}),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "flaxshelf_jobs_ended_total",
			Help: "Jobs that have ended."}, []string{"class", "sub"}),
		offers:  counter("offers_total", "Offers sent to nodes."),
		full:    counter("mailbox_full_total", "Messages turned away because the core was behind."),
		bad:     counter("bad_requests_total", "Requests that could not be read."),
		cut:     counter("clients_cut_total", "Clients cut off for not reading or sending too slowly."),
		steps:   counter("steps_total", "Steps of the core."),
		inputs:  counter("inputs_total", "Inputs of the core."),
		moduleS: counter("module_seconds_total", "Time spent in the module's steps."),
		clients: prometheus.NewGauge(prometheus.GaugeOpts{Name: "flaxshelf_clients",
			Help: "Connections of clients."}),
		toOffer: newTail(), toOutcome: newTail(), stepTime: newTail()}
	m.registry.MustRegister(m.outcomes, m.ended, m.offers, m.full, m.bad, m.cut, m.steps, m.inputs, m.moduleS,
		m.clients,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for name, t := range map[string]*tail{"submit_to_offer": m.toOffer, "ask_to_outcome": m.toOutcome,
		"step": m.stepTime} {
		for _, q := range []struct {
			label string
			q     float64
		}{{"0.5", 50}, {"0.99", 99}, {"0.999", 99.9}} {
			m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "flaxshelf_" + name + "_seconds", Help: "Quantiles since the start.",
				ConstLabels: prometheus.Labels{"quantile": q.label}}, func() float64 { return t.quantile(q.q) }))
		}
	}
	if addr == "" {
		return m, nil
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("metrics: listen: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	m.server, m.done = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}, make(chan struct{})
	go func() {
		defer close(m.done)
		_ = m.server.Serve(l)
	}()
	return m, nil
}

func (m *metrics) close() error {
	if m.server == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := m.server.Shutdown(ctx)
	<-m.done
	return err
}

func (m *metrics) module(step func()) {
	began := time.Now()
	step()
	m.moduleS.Add(time.Since(began).Seconds())
}

func (m *metrics) step(d time.Duration, inputs int) {
	m.steps.Inc()
	m.inputs.Add(float64(inputs))
	m.stepTime.record(d)
}

func (m *metrics) outcome(set *settings.Scheduler, i *scheduler.Info) {
	class := set.Classes[i.Spec.Class].Name
	if i.State.Ended() {
		m.ended.WithLabelValues(class, i.SubState).Inc()
		return
	}
	m.outcomes.WithLabelValues(class, string(i.Outcome)).Inc()
	m.toOutcome.record(time.Duration(time.Now().UnixNano()) - i.RequestedAt)
}
