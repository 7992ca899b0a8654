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

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/lab/standin/host"
	"flaxshelf.example/flaxshelf/internal/lab/standin/inventorymodel"
	"flaxshelf.example/flaxshelf/internal/lab/standin/nodemodel"
	"flaxshelf.example/flaxshelf/internal/settings"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"),
		goleak.IgnoreTopFunction("github.com/panjf2000/gnet/v2/pkg/logging.init.0.func1"))
}

const testScheduler = `
name: "s"
listen: "127.0.0.1:0"
inventory: "127.0.0.1:0"
kinds: [{name: "k", cores: 64, memory: 256}]
classes: [
	{name: "service", effect: "safe", aim: "1s", giveup: "5s", cores: 0.01, memory: 0.01},
	{name: "once", effect: "unsafe", aim: "1s", giveup: "2s", cores: 0.01, memory: 0.01},
	{name: "huge", effect: "safe", aim: "1s", giveup: "1s", cores: 1000, memory: 1},
]
rules: {acceptCores: 2, acceptMemory: 2, drainGrace: "2s", settle: "1s"}
limits: {idle: "20s", request: "500ms", clientOut: 65536, stopWithin: "5s"}
`

// site is a scheduler with an inventory and nodes, all in this process.
type site struct {
	t     testing.TB
	set   *settings.Scheduler
	inv   *host.Inventory
	nodes []*host.Node
	d     *Daemon
	c     *drmaa2.Client
}

func newSite(t testing.TB, n int, change func(s *settings.Scheduler, m *nodemodel.Config)) *site {
	t.Helper()
	set, err := settings.ParseScheduler("test", []byte(testScheduler))
	if err != nil {
		t.Fatal(err)
	}
	model := nodemodel.Config{Cores: 64, Memory: 256, CoreOvercommit: 2, MemoryOvercommit: 2, OfferReviewTime: 100 * time.Microsecond,
		MaxWaitingOffers: 1000, StartSlots: 64, CachedStartTime: time.Millisecond, UncachedStartFactor: 1, MaxCachedPrograms: 4}
	if change != nil {
		change(set, &model)
	}
	s := &site{t: t, set: set}
	s.inv, err = host.StartInventory("127.0.0.1:0", inventorymodel.Config{RemovalDelay: 50 * time.Millisecond}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.inv.Stop)
	room := host.NewRoom()
	for i := range n {
		m := model
		m.Name, m.Seed = fmt.Sprintf("n%d", i), uint64(i)
		node, err := host.StartNode(host.NodeOptions{Model: m, Kind: "k", Listen: "127.0.0.1:0", Inventory: s.inv.Addr(),
			Room: room, Log: zerolog.Nop()})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(node.Stop)
		s.nodes = append(s.nodes, node)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := s.inv.WaitFor(ctx, n); err != nil {
		t.Fatal(err)
	}
	set.InventoryAddress = s.inv.Addr()
	s.start()
	t.Cleanup(func() {
		s.c.Close()
		if err := s.d.Stop(); err != nil {
			t.Error(err)
		}
	})
	return s
}

func (s *site) start() {
	s.t.Helper()
	d, err := Start(s.set, zerolog.Nop())
	if err != nil {
		s.t.Fatal(err)
	}
	s.d = d
	s.set.ListenAddress = d.Addr() // a later life is found at the same place
	s.c = drmaa2.NewClient(d.Addr())
}

func (s *site) session(ctx context.Context) *drmaa2.JobSession {
	s.t.Helper()
	j, err := s.c.CreateJobSession(ctx, "test")
	if err != nil {
		s.t.Fatal(err)
	}
	return j
}

func within(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func work(class string, life time.Duration, more ...string) drmaa2.JobTemplate {
	t := drmaa2.JobTemplate{RemoteCommand: "x", JobCategory: class,
		ImplementationSpecific: map[string]string{drmaa2.AttrLife: life.String()}}
	for i := 0; i+1 < len(more); i += 2 {
		t.ImplementationSpecific[more[i]] = more[i+1]
	}
	return t
}

// Thousands of submissions that must never start twice, tallied at both ends: each has one outcome, and what the
// nodes have run is what the clients saw done.
func TestThousands(t *testing.T) {
	const n, clients = 3000, 30
	s := newSite(t, 4, nil)
	ctx := within(t, time.Minute)
	js := s.session(ctx)
	var mu sync.Mutex
	outcomes, ends := map[string]string{}, map[string]drmaa2.JobState{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = js.Watch(ctx, func(i drmaa2.JobInfo) bool {
			mu.Lock()
			defer mu.Unlock()
			o := i.ImplementationSpecific[drmaa2.AttrOutcome]
			if old := outcomes[i.JobID]; old != "" && old != o {
				t.Errorf("%s: outcome %s, then %s", i.JobID, old, o)
			}
			outcomes[i.JobID] = o
			if i.JobState.Terminated() {
				ends[i.JobID] = i.JobState
			}
			return len(ends) < n
		})
	}()
	var wg sync.WaitGroup
	for c := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range n / clients {
				if _, err := js.RunJob(ctx, work("once", time.Duration(i%20)*time.Millisecond+1,
					drmaa2.AttrKey, fmt.Sprintf("%d-%d", c, i))); err != nil {
					t.Errorf("submission: %v", err)
					return
				}
			}
		}()
	}
	wg.Wait()
	select {
	case <-done:
	case <-ctx.Done():
		t.Fatal("not all jobs have ended")
	}
	mu.Lock()
	defer mu.Unlock()
	placed, ran := 0, 0
	for id := range ends {
		if outcomes[id] == "placed" && ends[id] == drmaa2.Done {
			placed++
		}
	}
	for _, node := range s.nodes {
		node.Do(func(m *nodemodel.Node, _ nodemodel.Time) []nodemodel.Send { ran += m.Finished(); return nil })
	}
	if placed != n || ran != n {
		t.Errorf("%d of %d were placed and done, nodes have finished %d", placed, n, ran)
	}
}

// Two clients wait for one job; a third goes away while it waits and asks anew under the same key.
func TestTwoWait(t *testing.T) {
	s := newSite(t, 1, nil)
	ctx := within(t, 20*time.Second)
	js := s.session(ctx)
	job, err := js.RunJob(ctx, work("once", 300*time.Millisecond, drmaa2.AttrKey, "k"))
	if err != nil {
		t.Fatal(err)
	}
	gone, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	defer cancel()
	if _, err := job.WaitTerminated(gone, drmaa2.InfiniteTime); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the one that goes away: %v", err)
	}
	other := drmaa2.NewClient(s.d.Addr())
	defer other.Close()
	js2, err := other.OpenJobSession(ctx, "test")
	if err != nil {
		t.Fatal(err)
	}
	again, err := js2.RunJob(ctx, work("once", 300*time.Millisecond, drmaa2.AttrKey, "k"))
	if err != nil || again.ID != job.ID {
		t.Fatalf("asked anew: %v, %v", again, err)
	}
	var wg sync.WaitGroup
	for _, j := range []*drmaa2.Job{job, again} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if i, err := j.WaitTerminated(ctx, 10*time.Second); err != nil || i.JobState != drmaa2.Done {
				t.Errorf("%v, %v", i, err)
			}
		}()
	}
	wg.Wait()
	if _, err := job.WaitStarted(ctx, 0); err != nil && !errors.Is(err, drmaa2.ErrTimeout) {
		t.Error(err)
	}
}

// Each error of the specification reaches the client as itself.
func TestErrors(t *testing.T) {
	s := newSite(t, 1, func(set *settings.Scheduler, _ *nodemodel.Config) { set.Limits.MaxPending = 1 })
	ctx := within(t, 20*time.Second)
	js := s.session(ctx)
	want := func(what string, err, target error) {
		t.Helper()
		if !errors.Is(err, target) {
			t.Errorf("%s: %v, want %v", what, err, target)
		}
	}
	_, err := s.c.CreateJobSession(ctx, "test")
	want("session exists", err, drmaa2.ErrInvalidArgument)
	_, err = s.c.OpenJobSession(ctx, "nowhere")
	want("no session", err, drmaa2.ErrInvalidArgument)
	_, err = js.RunJob(ctx, drmaa2.JobTemplate{RemoteCommand: "x", JobCategory: "service", WorkingDirectory: "/"})
	want("attribute", err, drmaa2.ErrUnsupportedAttribute)
	_, err = js.RunJob(ctx, drmaa2.JobTemplate{RemoteCommand: "x", JobCategory: "z"})
	want("class", err, drmaa2.ErrInvalidArgument)
	held := work("service", time.Millisecond)
	held.SubmitAsHold = true
	job, err := js.RunJob(ctx, held)
	if err != nil {
		t.Fatal(err)
	}
	_, err = job.WaitStarted(ctx, 50*time.Millisecond)
	want("wait", err, drmaa2.ErrTimeout)
	want("reap", job.Reap(ctx), drmaa2.ErrInvalidState)
	want("suspend", job.Suspend(ctx), drmaa2.ErrUnsupportedOperation)
	huge, err := js.RunJob(ctx, work("huge", time.Second))
	if err != nil {
		t.Fatal(err)
	}
	_, err = js.RunJob(ctx, work("service", time.Second))
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
	s.c.RetryFor = 0
	nobody := drmaa2.NewClient("127.0.0.1:1")
	nobody.RetryFor = 0
	_, err = nobody.Drms(ctx)
	want("nobody there", err, drmaa2.ErrDrmCommunication)
}

// Arrays, templates, machines, queues and lists as the specification has them.
func TestSessions(t *testing.T) {
	s := newSite(t, 2, nil)
	ctx := within(t, 30*time.Second)
	js := s.session(ctx)
	tmpl := work("service", 20*time.Millisecond)
	tmpl.JobName = "n"
	a, err := js.RunBulkJobs(ctx, tmpl, 1, 9, 2, 2)
	if err != nil || len(a.Jobs) != 5 {
		t.Fatalf("%v, %v", a, err)
	}
	if err := a.WaitTerminated(ctx, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	infos, err := a.Infos(ctx)
	if err != nil || len(infos) != 5 || infos[4].ImplementationSpecific[drmaa2.AttrIndex] != "9" {
		t.Errorf("%+v, %v", infos, err)
	}
	if got, err := a.Jobs[0].Template(ctx); err != nil || got.JobName != "n" {
		t.Errorf("%+v, %v", got, err)
	}
	m, err := s.c.OpenMonitoringSession(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if all, err := m.AllMachines(ctx, "n1"); err != nil || len(all) != 1 || !all[0].Available {
		t.Errorf("%+v, %v", all, err)
	}
	if q, err := m.AllQueues(ctx); err != nil || len(q) != 1 {
		t.Errorf("%v, %v", q, err)
	}
	if err := m.AllReservations(ctx); !errors.Is(err, drmaa2.ErrUnsupportedOperation) {
		t.Error(err)
	}
	if jobs, err := js.Jobs(ctx, &drmaa2.JobInfo{JobState: drmaa2.Done, JobName: "n"}); err != nil || len(jobs) != 5 {
		t.Errorf("%v, %v", jobs, err)
	}
	if all, err := m.AllJobs(ctx, &drmaa2.JobInfo{JobState: drmaa2.Running}); err != nil || len(all) != 0 {
		t.Errorf("%v, %v", all, err)
	}
	if found, err := js.WaitAnyTerminated(ctx, a.Jobs[2:], time.Second); err != nil || found == nil {
		t.Errorf("%v, %v", found, err)
	}
	if names, err := s.c.JobSessionNames(ctx); err != nil || fmt.Sprint(names) != "[test]" {
		t.Errorf("%v, %v", names, err)
	}
	if err := s.c.DestroyJobSession(ctx, "test"); err != nil {
		t.Error(err)
	}
	if c, err := js.JobCategories(ctx); err != nil || len(c) != 3 {
		t.Errorf("%v, %v", c, err)
	}
}

// A killed scheduler's next life finds what runs, under its old ID and key, and starts nothing twice.
func TestNextLife(t *testing.T) {
	s := newSite(t, 2, nil)
	ctx := within(t, 30*time.Second)
	js := s.session(ctx)
	tmpl := work("once", 2*time.Second, drmaa2.AttrKey, "k")
	job, err := js.RunJob(ctx, tmpl)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := job.WaitStarted(ctx, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	s.c.Close()
	if err := s.d.Stop(); err != nil { // nothing is told to anybody
		t.Fatal(err)
	}
	s.start()
	if js, err = s.c.CreateJobSession(ctx, "other"); err != nil {
		t.Fatal(err)
	}
	again, err := js.RunJobAgain(ctx, tmpl)
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{job.ID, again.ID} {
		j, err := s.c.Job(ctx, id)
		for errors.Is(err, drmaa2.ErrInvalidArgument) { // until the node has told
			j, err = s.c.Job(ctx, id)
		}
		if err != nil {
			t.Fatal(err)
		}
		if i, err := j.WaitTerminated(ctx, 10*time.Second); err != nil || i.JobState != drmaa2.Done {
			t.Errorf("%s: %+v, %v", id, i, err)
		}
	}
	ran := 0
	for _, n := range s.nodes {
		n.Do(func(m *nodemodel.Node, _ nodemodel.Time) []nodemodel.Send { ran += m.Finished(); return nil })
	}
	if ran != 1 {
		t.Errorf("it ran %d times", ran)
	}
}

// Asked to leave, the daemon takes nothing more, gives what is in flight its outcome, and goes.
func TestShutdown(t *testing.T) {
	s := newSite(t, 1, func(_ *settings.Scheduler, m *nodemodel.Config) { m.OfferReviewTime = 200 * time.Millisecond })
	ctx := within(t, 20*time.Second)
	js := s.session(ctx)
	job, err := js.RunJob(ctx, work("once", time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	seen := make(chan string, 100)
	go func() {
		_ = js.Watch(ctx, func(i drmaa2.JobInfo) bool {
			seen <- i.ImplementationSpecific[drmaa2.AttrOutcome]
			return i.ImplementationSpecific[drmaa2.AttrOutcome] == ""
		})
		close(seen)
	}()
	<-seen
	stopped := make(chan error, 1)
	go func() { stopped <- s.d.Shutdown(ctx) }()
	last := ""
	for o := range seen {
		last = o
	}
	if last != "placed" {
		t.Errorf("outcome of %s: %q", job.ID, last)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Clients that send a byte a second, never read, send heads without end or rubbish get a plain error or are cut
// off; memory stays flat and others are served.
func TestRudeClients(t *testing.T) {
	s := newSite(t, 1, nil)
	ctx := within(t, 60*time.Second)
	js := s.session(ctx)
	say := func(text string) (net.Conn, string) {
		t.Helper()
		c, err := net.Dial("tcp", s.d.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_, _ = io.WriteString(c, text)
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		b, _ := io.ReadAll(c)
		return c, string(b)
	}
	if _, got := say("POST /drmaa2/v1/sessions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{"); !strings.Contains(got, " 408 ") {
		t.Errorf("half a request: %q", got)
	}
	if _, got := say("\x16\x03\x01\x00\x00\r\n\r\n"); !strings.Contains(got, " 400 ") {
		t.Errorf("rubbish: %q", got)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c, err := net.Dial("tcp", s.d.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n")
	line := "X: " + strings.Repeat("y", 1<<16) + "\r\n"
	sent := 0
	for range 1024 {
		n, err := io.WriteString(c, line)
		if sent += n; err != nil {
			break
		}
	}
	if sent > 32<<20 {
		t.Errorf("%d MiB of a head were taken in", sent>>20)
	}
	never, err := net.Dial("tcp", s.d.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer never.Close()
	_ = never.(*net.TCPConn).SetReadBuffer(4096)
	_, _ = io.WriteString(never, "GET /drmaa2/v1/sessions/test/events HTTP/1.1\r\nHost: x\r\n\r\n")
	// 20,000 changes of jobs are over 10 MB of events that one client does not read.
	for range 20 {
		a, err := js.RunBulkJobs(ctx, work("service", time.Millisecond), 1, 250, 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		if err := a.WaitTerminated(ctx, 20*time.Second); err != nil {
			t.Fatal(err)
		}
	}
	if got := counter(t, s.d, "flaxshelf_clients_cut_total"); got < 1 {
		t.Error("the client that never reads was not cut off")
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 64<<20 {
		t.Errorf("the heap has grown by %d MiB", grown>>20)
	}
}

func counter(t *testing.T, d *Daemon, name string) float64 {
	t.Helper()
	all, err := d.metrics.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range all {
		if f.GetName() == name {
			return f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	t.Fatalf("no metric %s", name)
	return 0
}

// Over the bound on connections a client is told to try later; those who are in stay.
func TestConnections(t *testing.T) {
	s := newSite(t, 1, func(set *settings.Scheduler, _ *nodemodel.Config) { set.Limits.MaxConnections = 2 })
	ctx := within(t, 10*time.Second)
	s.session(ctx) // one connection, kept
	hold, err := net.Dial("tcp", s.d.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer hold.Close()
	_, _ = io.WriteString(hold, "GET /drmaa2/v1/info HTTP/1.1\r\nHost: x\r\n\r\n")
	if _, err := hold.Read(make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	res, err := http.Get("http://" + s.d.Addr() + "/drmaa2/v1/info")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	if res.StatusCode != 503 || res.Header.Get("Retry-After") == "" {
		t.Errorf("status %s", res.Status)
	}
	if _, err := s.c.JobSessionNames(ctx); err != nil {
		t.Errorf("one that is in: %v", err)
	}
}

// Metrics are served where the settings say.
func TestMetrics(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	s := newSite(t, 1, func(set *settings.Scheduler, _ *nodemodel.Config) { set.MetricsAddress = addr })
	ctx := within(t, 10*time.Second)
	job, err := s.session(ctx).RunJob(ctx, work("once", time.Millisecond))
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
			t.Errorf("the metrics don't say %s", want)
		}
	}
}
