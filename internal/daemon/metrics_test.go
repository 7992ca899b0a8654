package daemon

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

// Metrics are served at the address that the settings configure.
func TestMetricsAreServed(t *testing.T) {
	cluster := newTestCluster(t, clusterOptions{nodes: 1, configure: func(cfg *settings.Scheduler, _ *nodemodel.Config) {
		cfg.MetricsAddress = "127.0.0.1:0"
	}})
	ctx := contextWithin(t, 10*time.Second)
	job, err := cluster.createSession(ctx, "test").RunJob(ctx, jobTemplate("once", time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := job.WaitTerminated(ctx, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	res, err := http.Get("http://" + cluster.daemon.metrics.server.Addr + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer http.DefaultClient.CloseIdleConnections()
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`flaxshelf_outcomes_total{class="once",outcome="placed"} 1`,
		`flaxshelf_jobs_ended_total{class="once",sub="exited"} 1`, `flaxshelf_submit_to_offer_seconds{quantile="0.99"}`} {
		if !strings.Contains(string(body), want) {
			t.Errorf("got metrics without %s", want)
		}
	}
}

// logBuffer collects log lines. It is safe for concurrent use.
type logBuffer struct {
	mu    sync.Mutex
	lines [][]byte
}

// Write implements io.Writer; zerolog calls it once for each line.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, bytes.Clone(line))
	return len(line), nil
}

// findEvent returns the fields of the first log line of the job whose key event has the given value.
func (b *logBuffer) findEvent(t *testing.T, event, job string) map[string]any {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, line := range b.lines {
		fields := map[string]any{}
		if err := json.Unmarshal(line, &fields); err != nil {
			t.Fatalf("log line %s: %v", line, err)
		}
		if fields["event"] == event && fields["job"] == job {
			return fields
		}
	}
	t.Fatalf("no log line with event %s of job %s", event, job)
	return nil
}

// newClusterWithRejectedJob runs a cluster in which a job of the class once is done, a job of the class huge is rejected, one
// client sends a malformed request and one an incomplete request. It stops the daemon, so all of this is logged and counted
// when it returns.
func newClusterWithRejectedJob(t *testing.T) (cluster *testCluster, log *logBuffer, rejectedJob string) {
	t.Helper()
	log = &logBuffer{}
	cluster = newTestCluster(t, clusterOptions{nodes: 1, log: log})
	ctx := contextWithin(t, 20*time.Second)
	session := cluster.createSession(ctx, "test")
	for _, class := range []string{"once", "huge"} {
		job, err := session.RunJob(ctx, jobTemplate(class, time.Millisecond))
		if err != nil {
			t.Fatal(err)
		}
		info, err := job.WaitTerminated(ctx, 10*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if info.JobState == drmaa2.Failed {
			rejectedJob = job.ID
		}
	}
	responseTo(t, cluster.daemon.Addr(), malformedRequest)
	responseTo(t, cluster.daemon.Addr(), incompleteRequest)
	if err := cluster.daemon.Stop(); err != nil {
		t.Fatal(err)
	}
	return cluster, log, rejectedJob
}

// Every renamed metric has the same value under its current and its deprecated name. Every renamed log key is written under
// both names, each with its current or deprecated term.
func TestDeprecatedNamesAgreeWithCurrentNames(t *testing.T) {
	cluster, log, rejectedJob := newClusterWithRejectedJob(t)
	values := metricValues(t, cluster.daemon)
	for _, test := range []struct{ current, deprecated string }{
		{`flaxshelf_placement_outcomes_total{class="once",outcome="placed"}`,
			`flaxshelf_outcomes_total{class="once",outcome="placed"}`},
		{`flaxshelf_placement_outcomes_total{class="huge",outcome="rejected"}`,
			`flaxshelf_outcomes_total{class="huge",outcome="refused"}`},
		{`flaxshelf_jobs_finished_total{class="once",sub_state="exited"}`,
			`flaxshelf_jobs_ended_total{class="once",sub="exited"}`},
		{`flaxshelf_jobs_finished_total{class="huge",sub_state="rejected"}`,
			`flaxshelf_jobs_ended_total{class="huge",sub="refused"}`},
		{`flaxshelf_malformed_requests_total`, `flaxshelf_bad_requests_total`},
		{`flaxshelf_clients_disconnected_total`, `flaxshelf_clients_cut_total`},
		{`flaxshelf_placement_request_duration_seconds{quantile="0.5"}`, `flaxshelf_ask_to_outcome_seconds{quantile="0.5"}`},
		{`flaxshelf_placement_request_duration_seconds{quantile="0.99"}`, `flaxshelf_ask_to_outcome_seconds{quantile="0.99"}`},
		{`flaxshelf_placement_request_duration_seconds{quantile="0.999"}`, `flaxshelf_ask_to_outcome_seconds{quantile="0.999"}`},
	} {
		t.Run(test.current, func(t *testing.T) {
			current, hasCurrent := values[test.current]
			deprecated, hasDeprecated := values[test.deprecated]
			if !hasCurrent || !hasDeprecated {
				t.Fatalf("has current name %v, has deprecated name %v, want both", hasCurrent, hasDeprecated)
			}
			if current != deprecated || current <= 0 {
				t.Errorf("current name has %v, deprecated name has %v, want the same above 0", current, deprecated)
			}
		})
	}
	for _, test := range []struct{ event, key, want, deprecatedKey, deprecatedWant string }{
		{"outcome", "placement_outcome", "rejected", "outcome", "refused"},
		{"ended", "job_sub_state", "rejected", "sub_state", "refused"},
	} {
		t.Run("log key "+test.key, func(t *testing.T) {
			fields := log.findEvent(t, test.event, rejectedJob)
			if got := fields[test.key]; got != test.want {
				t.Errorf("%s is %v, want %s", test.key, got, test.want)
			}
			if got := fields[test.deprecatedKey]; got != test.deprecatedWant {
				t.Errorf("%s is %v, want %s", test.deprecatedKey, got, test.deprecatedWant)
			}
		})
	}
}

// The help text of each deprecated metric names the metric that replaces it and the version that removes it.
func TestDeprecatedMetricsNameTheirSuccessor(t *testing.T) {
	cluster := newTestCluster(t, clusterOptions{})
	cluster.daemon.metrics.placementOutcomes.inc(resultLabels{"c", "placed", "placed"})
	cluster.daemon.metrics.jobsEnded.inc(resultLabels{"c", "exited", "exited"})
	families, err := cluster.daemon.metrics.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	help := map[string]string{}
	for _, family := range families {
		help[family.GetName()] = family.GetHelp()
	}
	for deprecated, successor := range map[string]string{
		"flaxshelf_outcomes_total":         "flaxshelf_placement_outcomes_total",
		"flaxshelf_jobs_ended_total":       "flaxshelf_jobs_finished_total",
		"flaxshelf_bad_requests_total":     "flaxshelf_malformed_requests_total",
		"flaxshelf_clients_cut_total":      "flaxshelf_clients_disconnected_total",
		"flaxshelf_ask_to_outcome_seconds": "flaxshelf_placement_request_duration_seconds",
	} {
		t.Run(deprecated, func(t *testing.T) {
			if want := "Deprecated: use " + successor + "; removed in 0.2.0."; help[deprecated] != want {
				t.Errorf("help text %q, want %q", help[deprecated], want)
			}
			if got := help[successor]; got == "" || strings.Contains(got, "Deprecated") {
				t.Errorf("help text of %s is %q, want one that describes it", successor, got)
			}
		})
	}
}
