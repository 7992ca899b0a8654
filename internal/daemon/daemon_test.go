package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/channeltest"
	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/testbed/standin/nodemodel"
)

// Thousands of jobs that must run at most once are submitted concurrently. Each has one outcome, and the nodes finish as many
// tasks as jobs were placed and done.
func TestConcurrentSubmissionsRunOnce(t *testing.T) {
	const count, clients = 3000, 30
	ctx, cluster, session := newTestSession(t, time.Minute, clusterOptions{nodes: 4})
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
	placed, finished := watch.placedAndDone(), cluster.tasksFinishedOnNodes()
	if placed != count || finished != count {
		t.Errorf("%d jobs were placed and done, nodes have finished %d, want %d each", placed, finished, count)
	}
}

// Two clients can wait for the same job, one of which has obtained it by submitting it again with its key. An earlier wait
// whose context expired does not affect them.
func TestTwoClientsWaitForOneJob(t *testing.T) {
	ctx, cluster, session := newTestSession(t, 20*time.Second, clusterOptions{nodes: 1})
	template := jobTemplate("once", 300*time.Millisecond, drmaa2.AttrKey, "k")
	job, err := session.RunJob(ctx, template)
	if err != nil {
		t.Fatal(err)
	}
	shortCtx, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	defer cancel()
	if _, err := job.WaitTerminated(shortCtx, drmaa2.InfiniteTime); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("wait with an expired context: got error %v, want %v", err, context.DeadlineExceeded)
	}
	other := drmaa2.NewClient(cluster.daemon.Addr())
	defer other.Close()
	otherSession, err := other.OpenJobSession(ctx, "test")
	if err != nil {
		t.Fatal(err)
	}
	retried, err := otherSession.RunJob(ctx, template)
	if err != nil || retried.ID != job.ID {
		t.Fatalf("submitted again: got job %v, %v, want job %s", retried, err, job.ID)
	}
	var waiting sync.WaitGroup
	for _, j := range []*drmaa2.Job{job, retried} {
		waiting.Go(func() {
			if info, err := j.WaitTerminated(ctx, 10*time.Second); err != nil || info.JobState != drmaa2.Done {
				t.Errorf("got %+v, %v, want state DONE", info, err)
			}
		})
	}
	waiting.Wait()
	if _, err := job.WaitStarted(ctx, 0); err != nil && !errors.Is(err, drmaa2.ErrTimeout) {
		t.Error(err)
	}
}

// errorCase is a call of the client that must return an error of the DRMAA specification.
type errorCase struct {
	name string
	call func() error
	want error
}

// errorCases returns the calls to test. The session must have a held job and as many pending jobs as the limit allows.
func errorCases(ctx context.Context, client *drmaa2.Client, session *drmaa2.JobSession, heldJob *drmaa2.Job) []errorCase {
	runJob := func(template drmaa2.JobTemplate) func() error {
		return func() error {
			_, err := session.RunJob(ctx, template)
			return err
		}
	}
	return []errorCase{
		{"limit of pending jobs", runJob(jobTemplate("service", time.Second)), drmaa2.ErrTryLater},
		{"session exists", func() error {
			_, err := client.CreateJobSession(ctx, session.Name())
			return err
		}, drmaa2.ErrInvalidArgument},
		{"unknown session", func() error {
			_, err := client.OpenJobSession(ctx, "nowhere")
			return err
		}, drmaa2.ErrInvalidArgument},
		{"unsupported attribute", runJob(drmaa2.JobTemplate{RemoteCommand: "x", JobCategory: "service", WorkingDirectory: "/"}),
			drmaa2.ErrUnsupportedAttribute},
		{"unknown class", runJob(drmaa2.JobTemplate{RemoteCommand: "x", JobCategory: "z"}), drmaa2.ErrInvalidArgument},
		{"timeout of a wait", func() error {
			_, err := heldJob.WaitStarted(ctx, 50*time.Millisecond)
			return err
		}, drmaa2.ErrTimeout},
		{"reap of a held job", func() error { return heldJob.Reap(ctx) }, drmaa2.ErrInvalidState},
		{"suspend", func() error { return heldJob.Suspend(ctx) }, drmaa2.ErrUnsupportedOperation},
		{"unreachable scheduler", func() error {
			unreachable := drmaa2.NewClient("127.0.0.1:1")
			unreachable.RetryFor = 0
			_, err := unreachable.Drms(ctx)
			return err
		}, drmaa2.ErrDrmCommunication},
	}
}

// The client receives the errors that the DRMAA specification defines.
func TestDRMAAErrorsReachTheClient(t *testing.T) {
	ctx, cluster, session := newTestSession(t, 20*time.Second, clusterOptions{nodes: 1, configure: func(cfg *settings.Scheduler, _ *nodemodel.Config) {
		cfg.Limits.MaxPending = 1
	}})
	held := jobTemplate("service", time.Millisecond)
	held.SubmitAsHold = true
	heldJob, err := session.RunJob(ctx, held)
	if err != nil {
		t.Fatal(err)
	}
	pendingJob, err := session.RunJob(ctx, jobTemplate("huge", time.Second))
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range errorCases(ctx, cluster.client, session, heldJob) {
		t.Run(test.name, func(t *testing.T) {
			err := test.call()
			if !errors.Is(err, test.want) {
				t.Errorf("got error %v, want %v", err, test.want)
			}
			var drmaaError *drmaa2.Error
			if errors.Is(err, drmaa2.ErrTryLater) && (!errors.As(err, &drmaaError) || drmaaError.RetryAfter <= 0) {
				t.Errorf("got error %v without RetryAfter, want one above 0", err)
			}
		})
	}
	info, err := pendingJob.WaitTerminated(ctx, 10*time.Second)
	if err != nil || info.JobSubState != "refused" || info.ImplementationSpecific[drmaa2.AttrOutcome] != "refused" {
		t.Errorf("job without a fitting node: got %+v, %v, want sub-state and outcome refused", info, err)
	}
	checkReleaseAndReap(ctx, t, heldJob)
}

// checkReleaseAndReap releases a held job and checks that it ends in the state DONE, and that it is unknown once it is reaped.
func checkReleaseAndReap(ctx context.Context, t *testing.T, job *drmaa2.Job) {
	t.Helper()
	if err := job.Release(ctx); err != nil {
		t.Error(err)
	}
	if info, err := job.WaitTerminated(ctx, 10*time.Second); err != nil || info.JobState != drmaa2.Done {
		t.Errorf("released job: got %+v, %v, want state DONE", info, err)
	}
	if err := job.Reap(ctx); err != nil {
		t.Error(err)
	}
	if _, err := job.Info(ctx); !errors.Is(err, drmaa2.ErrInvalidArgument) {
		t.Errorf("reaped job: got error %v, want %v", err, drmaa2.ErrInvalidArgument)
	}
}

// A job session runs job arrays, lists its jobs and the job categories, and can be destroyed.
func TestSessionRunsArraysAndListsJobs(t *testing.T) {
	ctx, cluster, session := newTestSession(t, 30*time.Second, clusterOptions{nodes: 2})
	template := jobTemplate("service", 20*time.Millisecond)
	template.JobName = "n"
	array, err := session.RunBulkJobs(ctx, template, 1, 9, 2, 2)
	if err != nil || len(array.Jobs) != 5 {
		t.Fatalf("got array %v, %v, want 5 jobs", array, err)
	}
	if err := array.WaitTerminated(ctx, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	checkArray(ctx, t, session, array)
	checkMonitoring(ctx, t, cluster.monitoringSession(ctx))
	if names, err := cluster.client.JobSessionNames(ctx); err != nil || fmt.Sprint(names) != "[test]" {
		t.Errorf("got sessions %v, %v, want [test]", names, err)
	}
	if err := cluster.client.DestroyJobSession(ctx, "test"); err != nil {
		t.Error(err)
	}
	if categories, err := session.JobCategories(ctx); err != nil || len(categories) != 3 {
		t.Errorf("got job categories %v, %v, want 3", categories, err)
	}
}

// checkArray checks what a session returns for an array of five jobs with the name n, all of which are done.
func checkArray(ctx context.Context, t *testing.T, session *drmaa2.JobSession, array *drmaa2.JobArray) {
	t.Helper()
	infos, err := array.Infos(ctx)
	if err != nil || len(infos) != 5 || infos[4].ImplementationSpecific[drmaa2.AttrIndex] != "9" {
		t.Errorf("got infos %+v, %v, want 5 with the last index 9", infos, err)
	}
	if template, err := array.Jobs[0].Template(ctx); err != nil || template.JobName != "n" {
		t.Errorf("got template %+v, %v, want name n", template, err)
	}
	jobs, err := session.Jobs(ctx, &drmaa2.JobInfo{JobState: drmaa2.Done, JobName: "n"})
	if err != nil || len(jobs) != 5 {
		t.Errorf("got jobs %v, %v, want 5", jobs, err)
	}
	if job, err := session.WaitAnyTerminated(ctx, array.Jobs[2:], time.Second); err != nil || job == nil {
		t.Errorf("got terminated job %v, %v, want one", job, err)
	}
}

// checkMonitoring checks what the monitoring session returns for a scheduler with two idle nodes.
func checkMonitoring(ctx context.Context, t *testing.T, monitoring *drmaa2.MonitoringSession) {
	t.Helper()
	machines, err := monitoring.AllMachines(ctx, "n1")
	if err != nil || len(machines) != 1 || !machines[0].Available {
		t.Errorf("got machines %+v, %v, want n1, available", machines, err)
	}
	if queues, err := monitoring.AllQueues(ctx); err != nil || len(queues) != 1 {
		t.Errorf("got queues %v, %v, want 1", queues, err)
	}
	if err := monitoring.AllReservations(ctx); !errors.Is(err, drmaa2.ErrUnsupportedOperation) {
		t.Errorf("reservations: got error %v, want %v", err, drmaa2.ErrUnsupportedOperation)
	}
	running, err := monitoring.AllJobs(ctx, &drmaa2.JobInfo{JobState: drmaa2.Running})
	if err != nil || len(running) != 0 {
		t.Errorf("got running jobs %v, %v, want none", running, err)
	}
}

// A restarted scheduler adopts a running job with its ID and key, and does not start it again.
func TestRestartAdoptsRunningJobs(t *testing.T) {
	ctx, cluster, session := newTestSession(t, 30*time.Second, clusterOptions{nodes: 2})
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
	if finished := cluster.tasksFinishedOnNodes(); finished != 1 {
		t.Errorf("the job ran %d times, want once", finished)
	}
}

// A graceful shutdown waits until the open placement request has an outcome.
func TestShutdownWaitsForOutcomes(t *testing.T) {
	ctx, cluster, session := newTestSession(t, 20*time.Second, clusterOptions{nodes: 1, configure: func(_ *settings.Scheduler, m *nodemodel.Config) {
		m.OfferReviewTime = 200 * time.Millisecond
	}})
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
	channeltest.Await(t, outcomes, "the first change of the job")
	stopped := make(chan error, 1)
	go func() { stopped <- cluster.daemon.Shutdown(ctx) }()
	last := ""
	for outcome := range outcomes {
		last = outcome
	}
	if last != "placed" {
		t.Errorf("outcome of %s: got %q, want placed", job.ID, last)
	}
	if err := channeltest.Await(t, stopped, "the end of the shutdown"); err != nil {
		t.Error(err)
	}
}
