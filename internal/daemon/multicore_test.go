package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/channeltest"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

// configureCores returns a function that sets the number of cores, and write queues that have space for all their events.
func configureCores(count int) func(*settings.Scheduler, *nodemodel.Config) {
	return func(cfg *settings.Scheduler, _ *nodemodel.Config) {
		cfg.Shards, cfg.Limits.MaxClientWriteQueue = count, 4<<20
	}
}

// Clients see a scheduler with four cores as one scheduler: it has one namespace of sessions, one job list ordered by ID and
// one event stream, and runs each job once.
func TestFourCoresActAsOneScheduler(t *testing.T) {
	const count = 400
	ctx, cluster, session := newTestSession(t, time.Minute, clusterOptions{nodes: 3, configure: configureCores(4)})
	if _, err := cluster.client.CreateJobSession(ctx, "test"); !errors.Is(err, drmaa2.ErrInvalidArgument) {
		t.Errorf("create the session again: got error %v, want %v", err, drmaa2.ErrInvalidArgument)
	}
	watch := watchJobs(ctx, t, session, count)
	submitFromClients(ctx, t, session, 8, count/8)
	watch.wait(ctx, t)
	cores := checkJobList(ctx, t, cluster, session, count)
	if finished := cluster.tasksFinishedOnNodes(); finished != count || cores != 4 {
		t.Errorf("%d jobs have run on %d cores, want %d on 4", finished, cores, count)
	}
	machines, err := cluster.monitoringSession(ctx).AllMachines(ctx)
	if err != nil || len(machines) != 3 || !machines[0].Available {
		t.Errorf("got machines %+v, %v, want 3, available", machines, err)
	}
	array, err := session.RunBulkJobs(ctx, jobTemplate("service", 5*time.Millisecond), 1, 40, 1, 4)
	if err != nil {
		t.Fatal(err)
	}
	if err := array.WaitTerminated(ctx, 20*time.Second); err != nil {
		t.Error(err)
	}
	if err := cluster.client.DestroyJobSession(ctx, "test"); err != nil {
		t.Error(err)
	}
	for range 8 { // enough for a submission to each core
		_, err := session.RunJob(ctx, jobTemplate("service", time.Millisecond))
		if !errors.Is(err, drmaa2.ErrInvalidSession) {
			t.Errorf("submit to a destroyed session: got error %v, want %v", err, drmaa2.ErrInvalidSession)
		}
	}
}

// submitFromClients submits jobs from several goroutines concurrently. Every second job has a key and is submitted twice.
func submitFromClients(ctx context.Context, t *testing.T, session *drmaa2.JobSession, clients, jobsEach int) {
	t.Helper()
	var submitting sync.WaitGroup
	for client := range clients {
		submitting.Go(func() {
			for i := range jobsEach {
				key, submissions := "", 1
				if i%2 == 0 {
					key, submissions = fmt.Sprint(client, "-", i), 2
				}
				for range submissions {
					template := jobTemplate("once", time.Millisecond, drmaa2.AttrKey, key)
					if _, err := session.RunJob(ctx, template); err != nil {
						t.Error(err)
					}
				}
			}
		})
	}
	submitting.Wait()
}

// checkJobList checks that the session lists count jobs ordered by ID, and that each job is found by its ID. It returns the
// number of cores that have assigned these IDs.
func checkJobList(ctx context.Context, t *testing.T, cluster *testCluster, session *drmaa2.JobSession, count int) int {
	t.Helper()
	jobs, err := session.Jobs(ctx, nil)
	if err != nil || len(jobs) != count {
		t.Fatalf("got %d jobs, %v, want %d", len(jobs), err, count)
	}
	cores := map[string]bool{}
	for i, job := range jobs {
		cores[job.ID[:3]] = true
		if i > 0 && jobs[i-1].ID >= job.ID {
			t.Fatalf("got %s before %s, want them ordered by ID", jobs[i-1].ID, job.ID)
		}
		if got, err := cluster.client.Job(ctx, job.ID); err != nil || got.ID != job.ID {
			t.Fatalf("got job %v, %v, want %s", got, err, job.ID)
		}
	}
	return len(cores)
}

// A scheduler with 4 cores that is restarted with 2, 1 and then 3 cores adopts the running jobs with their IDs and keys each
// time, and starts no job twice.
func TestRestartWithOtherCoreCountAdoptsRunningJobs(t *testing.T) {
	const count = 24
	ctx, cluster, session := newTestSession(t, time.Minute, clusterOptions{nodes: 2, configure: configureCores(4)})
	template := func(i int) drmaa2.JobTemplate {
		return jobTemplate("once", 10*time.Second, drmaa2.AttrKey, fmt.Sprint("k", i), drmaa2.AttrService,
			fmt.Sprint("v", i%5))
	}
	jobs := make([]*drmaa2.Job, count)
	for i := range jobs {
		job, err := session.RunJob(ctx, template(i))
		if err != nil {
			t.Fatal(err)
		}
		jobs[i] = job
	}
	for _, job := range jobs {
		if _, err := job.WaitStarted(ctx, 5*time.Second); err != nil {
			t.Fatal(err)
		}
	}
	for _, cores := range []int{2, 1, 3} {
		cluster.settings.Shards = cores
		cluster.restartDaemon()
		session = cluster.createSession(ctx, "next")
		for i := range count {
			if _, err := session.ResubmitJob(ctx, template(i)); err != nil {
				t.Fatalf("%d cores, key %d: %v", cores, i, err)
			}
		}
	}
	for _, job := range jobs {
		checkAdoptedJobEnds(ctx, t, cluster, job.ID, 40*time.Second)
	}
	if finished := cluster.tasksFinishedOnNodes(); finished != count {
		t.Errorf("%d jobs have run, want %d", finished, count)
	}
}

// The session of an adopted job exists on all cores of a restarted scheduler. With the former code only the core that adopted the
// job had it: opening the session succeeded, but most submissions were rejected for good.
func TestSessionOfAdoptedJobExistsOnAllCores(t *testing.T) {
	ctx, cluster, session := newTestSession(t, time.Minute, clusterOptions{nodes: 1, configure: configureCores(4)})
	job, err := session.RunJob(ctx, jobTemplate("once", 10*time.Second, drmaa2.AttrKey, "k"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := job.WaitStarted(ctx, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	cluster.restartDaemon()
	session, err = cluster.client.OpenJobSession(ctx, "test")
	for errors.Is(err, drmaa2.ErrInvalidArgument) && ctx.Err() == nil { // the node has not reported the job yet
		session, err = cluster.client.OpenJobSession(ctx, "test")
	}
	if err != nil {
		t.Fatal(err)
	}
	const submissions = 32 // spread over all cores by their keys
	for i := range submissions {
		template := jobTemplate("service", time.Millisecond, drmaa2.AttrKey, fmt.Sprint("after", i))
		_, err := session.RunJob(ctx, template)
		// The first core shares the session with the others right after the client has seen it.
		for errors.Is(err, drmaa2.ErrInvalidSession) && ctx.Err() == nil {
			_, err = session.RunJob(ctx, template)
		}
		if err != nil {
			t.Fatalf("submission %d: %v", i, err)
		}
	}
}

// checkAdoptedJobEnds waits until a restarted scheduler knows a job by its ID, which it does when the job's node has reported
// it, and checks that the job ends in the state DONE within the timeout.
func checkAdoptedJobEnds(ctx context.Context, t *testing.T, cluster *testCluster, id string, timeout time.Duration) {
	t.Helper()
	job, err := cluster.client.Job(ctx, id)
	for errors.Is(err, drmaa2.ErrInvalidArgument) && ctx.Err() == nil {
		job, err = cluster.client.Job(ctx, id)
	}
	if err != nil {
		t.Fatal(err)
	}
	if info, err := job.WaitTerminated(ctx, timeout); err != nil || info.JobState != drmaa2.Done {
		t.Errorf("%s: got %+v, %v, want state DONE", id, info, err)
	}
}

// stallDuration is how long stallHook blocks a core: twice the core's stall threshold.
const stallDuration = 2 * time.Second

// stallHook blocks the goroutine of one core for stallDuration, once.
type stallHook struct {
	jobName string // the core that answers the submission of the job with this name stalls
	once    sync.Once
	began   chan struct{} // closed when the stall begins
	ended   chan struct{} // closed when the stall ends
}

func newStallHook() *stallHook {
	return &stallHook{jobName: "stall", began: make(chan struct{}), ended: make(chan struct{})}
}

func (*stallHook) InterceptInput(in scheduler.Input) scheduler.Input { return in }

func (h *stallHook) InterceptEffects(_ scheduler.Time, effects []scheduler.Effect) []scheduler.Effect {
	for _, effect := range effects {
		answer, ok := effect.(scheduler.Answer)
		if ok && len(answer.Jobs) > 0 && answer.Jobs[0].Spec.Name == h.jobName {
			h.once.Do(h.stall)
		}
	}
	return effects
}

// stall blocks the caller for stallDuration.
func (h *stallHook) stall() {
	time.AfterFunc(stallDuration, func() { close(h.ended) })
	close(h.began)
	<-h.ended
}

// hasEnded reports whether the stall has ended.
func (h *stallHook) hasEnded() bool {
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}

// While one of four cores is stalled, the other cores place jobs. The jobs of the stalled core are placed after the stall.
func TestOtherCoresPlaceJobsWhileOneStalls(t *testing.T) {
	hook := newStallHook()
	ctx, _, session := newTestSession(t, time.Minute, clusterOptions{
		nodes:     3,
		configure: func(cfg *settings.Scheduler, _ *nodemodel.Config) { cfg.Shards = 4 },
		hook:      hook,
	})
	stalled := make(chan error, 1)
	go func() {
		template := jobTemplate("service", time.Millisecond)
		template.JobName = hook.jobName
		job, err := session.RunJob(ctx, template)
		if err == nil {
			_, err = job.WaitTerminated(ctx, 20*time.Second)
		}
		stalled <- err
	}()
	select {
	case <-hook.began:
	case <-ctx.Done():
		t.Fatal("no core stalled before the end of the context")
	}
	endedDuringStall, ended := runJobsDuringStall(ctx, t, session, hook, 60)
	if err := channeltest.Await(t, stalled, "the answer of the stalled core"); err != nil {
		t.Error(err)
	}
	if endedDuringStall < 10 || endedDuringStall == ended {
		t.Errorf("%d of %d jobs ended while one of four cores was stalled, want at least 10 and fewer than all",
			endedDuringStall, ended)
	}
}

// runJobsDuringStall runs jobs concurrently and waits until they have ended. It returns how many ended during the stall, and
// how many ended in total.
func runJobsDuringStall(ctx context.Context, t *testing.T, session *drmaa2.JobSession, hook *stallHook,
	count int) (endedDuringStall, ended int) {
	t.Helper()
	var mu sync.Mutex
	var running sync.WaitGroup
	for i := range count {
		running.Go(func() {
			template := jobTemplate("service", time.Millisecond, drmaa2.AttrKey, fmt.Sprint("k", i))
			job, err := session.RunJob(ctx, template)
			if err != nil {
				t.Error(err)
				return
			}
			info, err := job.WaitTerminated(ctx, 20*time.Second)
			if err != nil || info.ImplementationSpecific[drmaa2.AttrOutcome] != "placed" {
				t.Errorf("%s: got %+v, %v, want outcome placed", job.ID, info, err)
			}
			mu.Lock()
			defer mu.Unlock()
			ended++
			if !hook.hasEnded() {
				endedDuringStall++
			}
		})
	}
	running.Wait()
	return endedDuringStall, ended
}

// Settings with more than 64 cores, and empty settings, which have no name for the scheduler, are rejected.
func TestInvalidSettingsAreRejected(t *testing.T) {
	for _, test := range []struct {
		name  string
		start func() error
	}{
		{"65 cores", func() error {
			_, err := settings.ParseScheduler("f.cue", []byte(`inventory: "127.0.0.1:1"
cores: 65
kinds: [{name: "k", cores: 8, memory: 32}]
classes: [{name: "c", effect: "safe", aim: "1s", giveup: "5s"}]`))
			return err
		}},
		{"no name", func() error {
			_, err := Start(&settings.Scheduler{}, zerolog.Nop())
			return err
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := test.start(); err == nil {
				t.Error("got no error, want one")
			}
		})
	}
}
