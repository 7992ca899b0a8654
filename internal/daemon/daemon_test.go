package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

// jobWatch is what a session's stream of events has shown of its jobs.
type jobWatch struct {
	mu       sync.Mutex
	outcomes map[string]string          // by job ID
	ends     map[string]drmaa2.JobState // of jobs that have ended, by job ID
	count    int
	done     chan struct{} // closed when count jobs have ended, or with the context
}

// watchJobs watches a session until a number of its jobs have ended. An outcome of a job that differs from its earlier one
// is an error.
func watchJobs(ctx context.Context, t *testing.T, session *drmaa2.JobSession, count int) *jobWatch {
	watch := &jobWatch{outcomes: map[string]string{}, ends: map[string]drmaa2.JobState{}, count: count,
		done: make(chan struct{})}
	go func() {
		defer close(watch.done)
		_ = session.Watch(ctx, func(info drmaa2.JobInfo) bool { return watch.record(t, info) })
	}()
	return watch
}

// record records an event; it is true while events are missing.
func (w *jobWatch) record(t *testing.T, info drmaa2.JobInfo) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	outcome := info.ImplementationSpecific[drmaa2.AttrOutcome]
	if former := w.outcomes[info.JobID]; former != "" && former != outcome {
		t.Errorf("%s: outcome %s, then %s", info.JobID, former, outcome)
	}
	w.outcomes[info.JobID] = outcome
	if info.JobState.Terminated() {
		w.ends[info.JobID] = info.JobState
	}
	return len(w.ends) < w.count
}

// wait waits until all jobs have ended.
func (w *jobWatch) wait(ctx context.Context, t *testing.T) {
	t.Helper()
	select {
	case <-w.done:
	case <-ctx.Done():
		w.mu.Lock()
		defer w.mu.Unlock()
		t.Fatalf("%d of %d jobs have ended", len(w.ends), w.count)
	}
}

// placedAndDone is the number of jobs that were placed and have ended well.
func (w *jobWatch) placedAndDone() (count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, state := range w.ends {
		if w.outcomes[id] == "placed" && state == drmaa2.Done {
			count++
		}
	}
	return count
}

// Thousands of submissions that must never start twice, counted at both ends: each has one outcome, and what the
// nodes have run is what the clients saw done.
func TestThousandsOfSubmissions(t *testing.T) {
	const count, clients = 3000, 30
	cluster := newTestCluster(t, 4, nil)
	ctx := contextWithin(t, time.Minute)
	session := cluster.createSession(ctx, "test")
	watch := watchJobs(ctx, t, session, count)
	var submitting sync.WaitGroup
	for client := range clients {
		submitting.Go(func() {
			for i := range count / clients {
				template := jobTemplate("once", time.Duration(i%20)*time.Millisecond+1,
					drmaa2.AttrKey, fmt.Sprintf("%d-%d", client, i))
				if _, err := session.RunJob(ctx, template); err != nil {
					t.Errorf("submission: %v", err)
					return
				}
			}
		})
	}
	submitting.Wait()
	watch.wait(ctx, t)
	placed, finished := watch.placedAndDone(), cluster.finishedOnNodes()
	if placed != count || finished != count {
		t.Errorf("%d of %d were placed and done, nodes have finished %d", placed, count, finished)
	}
}

// Two clients wait for one job; a third goes away while it waits and submits again under the same key.
func TestTwoClientsWaitForOneJob(t *testing.T) {
	cluster := newTestCluster(t, 1, nil)
	ctx := contextWithin(t, 20*time.Second)
	session := cluster.createSession(ctx, "test")
	template := jobTemplate("once", 300*time.Millisecond, drmaa2.AttrKey, "k")
	job, err := session.RunJob(ctx, template)
	if err != nil {
		t.Fatal(err)
	}
	short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	defer cancel()
	if _, err := job.WaitTerminated(short, drmaa2.InfiniteTime); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the one that goes away: %v", err)
	}
	other := drmaa2.NewClient(cluster.daemon.Addr())
	defer other.Close()
	otherSession, err := other.OpenJobSession(ctx, "test")
	if err != nil {
		t.Fatal(err)
	}
	retried, err := otherSession.RunJob(ctx, template)
	if err != nil || retried.ID != job.ID {
		t.Fatalf("submitted again: %v, %v", retried, err)
	}
	var waiting sync.WaitGroup
	for _, j := range []*drmaa2.Job{job, retried} {
		waiting.Go(func() {
			if info, err := j.WaitTerminated(ctx, 10*time.Second); err != nil || info.JobState != drmaa2.Done {
				t.Errorf("%v, %v", info, err)
			}
		})
	}
	waiting.Wait()
	if _, err := job.WaitStarted(ctx, 0); err != nil && !errors.Is(err, drmaa2.ErrTimeout) {
		t.Error(err)
	}
}

// Each error of the specification reaches the client as itself.
func TestErrorsOfTheSpecification(t *testing.T) {
	cluster := newTestCluster(t, 1, func(set *settings.Scheduler, _ *nodemodel.Config) { set.Limits.MaxPending = 1 })
	ctx := contextWithin(t, 20*time.Second)
	session := cluster.createSession(ctx, "test")
	want := func(what string, err, target error) {
		t.Helper()
		if !errors.Is(err, target) {
			t.Errorf("%s: %v, want %v", what, err, target)
		}
	}
	_, err := cluster.client.CreateJobSession(ctx, "test")
	want("session exists", err, drmaa2.ErrInvalidArgument)
	_, err = cluster.client.OpenJobSession(ctx, "nowhere")
	want("no session", err, drmaa2.ErrInvalidArgument)
	_, err = session.RunJob(ctx, drmaa2.JobTemplate{RemoteCommand: "x", JobCategory: "service", WorkingDirectory: "/"})
	want("attribute", err, drmaa2.ErrUnsupportedAttribute)
	_, err = session.RunJob(ctx, drmaa2.JobTemplate{RemoteCommand: "x", JobCategory: "z"})
	want("class", err, drmaa2.ErrInvalidArgument)
	held := jobTemplate("service", time.Millisecond)
	held.SubmitAsHold = true
	job, err := session.RunJob(ctx, held)
	if err != nil {
		t.Fatal(err)
	}
	_, err = job.WaitStarted(ctx, 50*time.Millisecond)
	want("wait", err, drmaa2.ErrTimeout)
	want("reap", job.Reap(ctx), drmaa2.ErrInvalidState)
	want("suspend", job.Suspend(ctx), drmaa2.ErrUnsupportedOperation)
	huge, err := session.RunJob(ctx, jobTemplate("huge", time.Second))
	if err != nil {
		t.Fatal(err)
	}
	_, err = session.RunJob(ctx, jobTemplate("service", time.Second))
	want("bound", err, drmaa2.ErrTryLater)
	var e *drmaa2.Error
	if errors.As(err, &e); e.RetryAfter <= 0 {
		t.Error("TryLater without a time")
	}
	info, err := huge.WaitTerminated(ctx, 10*time.Second)
	if err != nil || info.JobSubState != "refused" || info.ImplementationSpecific[drmaa2.AttrOutcome] != "refused" {
		t.Errorf("%+v, %v", info, err)
	}
	if err := job.Release(ctx); err != nil {
		t.Error(err)
	}
	if info, err = job.WaitTerminated(ctx, 10*time.Second); err != nil || info.JobState != drmaa2.Done {
		t.Errorf("%+v, %v", info, err)
	}
	if err := job.Reap(ctx); err != nil {
		t.Error(err)
	}
	_, err = job.Info(ctx)
	want("reaped", err, drmaa2.ErrInvalidArgument)
	cluster.client.RetryFor = 0
	nobody := drmaa2.NewClient("127.0.0.1:1")
	nobody.RetryFor = 0
	_, err = nobody.Drms(ctx)
	want("nobody there", err, drmaa2.ErrDrmCommunication)
}

// Arrays and their templates, lists of jobs and sessions as the specification has them.
func TestSessions(t *testing.T) {
	cluster := newTestCluster(t, 2, nil)
	ctx := contextWithin(t, 30*time.Second)
	session := cluster.createSession(ctx, "test")
	template := jobTemplate("service", 20*time.Millisecond)
	template.JobName = "n"
	array, err := session.RunBulkJobs(ctx, template, 1, 9, 2, 2)
	if err != nil || len(array.Jobs) != 5 {
		t.Fatalf("%v, %v", array, err)
	}
	if err := array.WaitTerminated(ctx, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	checkArray(ctx, t, session, array)
	checkMonitoring(ctx, t, cluster.monitoringSession(ctx))
	if names, err := cluster.client.JobSessionNames(ctx); err != nil || fmt.Sprint(names) != "[test]" {
		t.Errorf("%v, %v", names, err)
	}
	if err := cluster.client.DestroyJobSession(ctx, "test"); err != nil {
		t.Error(err)
	}
	if categories, err := session.JobCategories(ctx); err != nil || len(categories) != 3 {
		t.Errorf("%v, %v", categories, err)
	}
}

// checkArray checks what is known of an array of five jobs, named n, that have ended.
func checkArray(ctx context.Context, t *testing.T, session *drmaa2.JobSession, array *drmaa2.JobArray) {
	t.Helper()
	infos, err := array.Infos(ctx)
	if err != nil || len(infos) != 5 || infos[4].ImplementationSpecific[drmaa2.AttrIndex] != "9" {
		t.Errorf("%+v, %v", infos, err)
	}
	if template, err := array.Jobs[0].Template(ctx); err != nil || template.JobName != "n" {
		t.Errorf("%+v, %v", template, err)
	}
	jobs, err := session.Jobs(ctx, &drmaa2.JobInfo{JobState: drmaa2.Done, JobName: "n"})
	if err != nil || len(jobs) != 5 {
		t.Errorf("%v, %v", jobs, err)
	}
	if job, err := session.WaitAnyTerminated(ctx, array.Jobs[2:], time.Second); err != nil || job == nil {
		t.Errorf("%v, %v", job, err)
	}
}

// checkMonitoring checks the monitoring session of a scheduler with two nodes on which nothing runs.
func checkMonitoring(ctx context.Context, t *testing.T, monitoring *drmaa2.MonitoringSession) {
	t.Helper()
	machines, err := monitoring.AllMachines(ctx, "n1")
	if err != nil || len(machines) != 1 || !machines[0].Available {
		t.Errorf("%+v, %v", machines, err)
	}
	if queues, err := monitoring.AllQueues(ctx); err != nil || len(queues) != 1 {
		t.Errorf("%v, %v", queues, err)
	}
	if err := monitoring.AllReservations(ctx); !errors.Is(err, drmaa2.ErrUnsupportedOperation) {
		t.Error(err)
	}
	running, err := monitoring.AllJobs(ctx, &drmaa2.JobInfo{JobState: drmaa2.Running})
	if err != nil || len(running) != 0 {
		t.Errorf("%v, %v", running, err)
	}
}

// A scheduler that was killed and restarted finds what runs, under its old ID and key, and starts nothing twice.
func TestRestartAdoptsRunningJobs(t *testing.T) {
	cluster := newTestCluster(t, 2, nil)
	ctx := contextWithin(t, 30*time.Second)
	session := cluster.createSession(ctx, "test")
	template := jobTemplate("once", 2*time.Second, drmaa2.AttrKey, "k")
	job, err := session.RunJob(ctx, template)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := job.WaitStarted(ctx, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	cluster.restartDaemon()
	retried, err := cluster.createSession(ctx, "other").ResubmitJob(ctx, template)
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{job.ID, retried.ID} {
		checkAdoptedJobEnds(ctx, t, cluster, id, 10*time.Second)
	}
	if finished := cluster.finishedOnNodes(); finished != 1 {
		t.Errorf("it ran %d times", finished)
	}
}

// A draining daemon accepts nothing more, gives each open request its outcome, and ends.
func TestGracefulShutdown(t *testing.T) {
	cluster := newTestCluster(t, 1, func(_ *settings.Scheduler, m *nodemodel.Config) { m.OfferReviewTime = 200 * time.Millisecond })
	ctx := contextWithin(t, 20*time.Second)
	session := cluster.createSession(ctx, "test")
	job, err := session.RunJob(ctx, jobTemplate("once", time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	outcomes := make(chan string, 100)
	go func() {
		_ = session.Watch(ctx, func(info drmaa2.JobInfo) bool {
			outcome := info.ImplementationSpecific[drmaa2.AttrOutcome]
			outcomes <- outcome
			return outcome == ""
		})
		close(outcomes)
	}()
	<-outcomes
	stopped := make(chan error, 1)
	go func() { stopped <- cluster.daemon.Shutdown(ctx) }()
	last := ""
	for outcome := range outcomes {
		last = outcome
	}
	if last != "placed" {
		t.Errorf("outcome of %s: %q", job.ID, last)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// maxHeapGrowth is what the heap may grow by, in bytes, while clients misbehave.
const maxHeapGrowth = 64 << 20

// Clients that send half a request, never read, send heads without end or no HTTP get a plain error or are
// disconnected; memory stays bounded and others are served.
func TestMisbehavingClients(t *testing.T) {
	cluster := newTestCluster(t, 1, nil)
	ctx := contextWithin(t, 60*time.Second)
	session := cluster.createSession(ctx, "test")
	addr := cluster.daemon.Addr()
	half := "POST /drmaa2/v1/sessions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{"
	if got := responseTo(t, addr, half); !strings.Contains(got, " 408 ") {
		t.Errorf("half a request: %q", got)
	}
	if got := responseTo(t, addr, "\x16\x03\x01\x00\x00\r\n\r\n"); !strings.Contains(got, " 400 ") {
		t.Errorf("no HTTP: %q", got)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	if sent := sendEndlessHead(t, addr); sent > 32<<20 {
		t.Errorf("%d MiB of a head were taken in", sent>>20)
	}
	neverReads := dial(t, addr)
	_ = neverReads.SetReadBuffer(4096) // a larger buffer takes longer to fill, no more
	write(neverReads, "GET /drmaa2/v1/sessions/test/events HTTP/1.1\r\nHost: x\r\n\r\n")
	// 20,000 changes of jobs are over 10 MB of events that one client does not read.
	for range 20 {
		array, err := session.RunBulkJobs(ctx, jobTemplate("service", time.Millisecond), 1, 250, 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		if err := array.WaitTerminated(ctx, 20*time.Second); err != nil {
			t.Fatal(err)
		}
	}
	if got := counterValue(t, cluster.daemon, "flaxshelf_clients_cut_total"); got < 1 {
		t.Error("the client that never reads was not disconnected")
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > maxHeapGrowth {
		t.Errorf("the heap has grown by %d MiB", grown>>20)
	}
}

// dial opens a connection that is closed with the test.
func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// write writes text; the daemon may have closed the connection, which the test sees by other means.
func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// responseTo is all that the daemon sends on a connection on which text was sent.
func responseTo(t *testing.T, addr, text string) string {
	t.Helper()
	conn := dial(t, addr)
	write(conn, text)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, _ := io.ReadAll(conn) // what was read until the deadline, too
	return string(response)
}

// sendEndlessHead sends up to 64 MiB of a request's head and returns how many bytes the daemon has taken.
func sendEndlessHead(t *testing.T, addr string) (sent int) {
	t.Helper()
	conn := dial(t, addr)
	write(conn, "GET / HTTP/1.1\r\nHost: x\r\n")
	line := "X: " + strings.Repeat("y", 1<<16) + "\r\n"
	for range 1024 {
		n, err := io.WriteString(conn, line)
		if sent += n; err != nil {
			break
		}
	}
	return sent
}

// Over the limit of connections a client is answered to try later; those that are connected stay.
func TestConnectionLimit(t *testing.T) {
	cluster := newTestCluster(t, 1, func(set *settings.Scheduler, _ *nodemodel.Config) { set.Limits.MaxConnections = 2 })
	ctx := contextWithin(t, 10*time.Second)
	cluster.createSession(ctx, "test") // on a connection that the client keeps
	second := dial(t, cluster.daemon.Addr())
	write(second, "GET /drmaa2/v1/info HTTP/1.1\r\nHost: x\r\n\r\n")
	if _, err := second.Read(make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	res, err := http.Get("http://" + cluster.daemon.Addr() + "/drmaa2/v1/info")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	if res.StatusCode != 503 || res.Header.Get("Retry-After") == "" {
		t.Errorf("status %s", res.Status)
	}
	if _, err := cluster.client.JobSessionNames(ctx); err != nil {
		t.Errorf("one that is connected: %v", err)
	}
}

// Metrics are served on the address of the settings.
func TestMetrics(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	cluster := newTestCluster(t, 1, func(set *settings.Scheduler, _ *nodemodel.Config) { set.MetricsAddress = addr })
	ctx := contextWithin(t, 10*time.Second)
	job, err := cluster.createSession(ctx, "test").RunJob(ctx, jobTemplate("once", time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := job.WaitTerminated(ctx, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	res, err := http.Get("http://" + addr + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer http.DefaultClient.CloseIdleConnections()
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	for _, want := range []string{`flaxshelf_outcomes_total{class="once",outcome="placed"} 1`,
		`flaxshelf_jobs_ended_total{class="once",sub="exited"} 1`, `flaxshelf_submit_to_offer_seconds{quantile="0.99"}`} {
		if !strings.Contains(string(b), want) {
			t.Errorf("the metrics lack %s", want)
		}
	}
}
