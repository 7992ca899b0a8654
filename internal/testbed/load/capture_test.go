package load

import (
	"reflect"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
)

// captureStart is the start time of the captures in the tests.
var captureStart = time.Unix(1_700_000_000, 0)

// jobInfo returns the state of job 1, submitted at the given offset from captureStart. change modifies the state.
func jobInfo(submitted time.Duration, change func(*drmaa2.JobInfo)) *drmaa2.JobInfo {
	info := &drmaa2.JobInfo{JobID: "1", SubmissionTime: captureStart.Add(submitted), ImplementationSpecific: map[string]string{
		drmaa2.AttrClass: "c", drmaa2.AttrService: "v", drmaa2.AttrTenant: "t", drmaa2.AttrCores: "0.5", drmaa2.AttrMemory: "2"}}
	change(info)
	return info
}

// started marks a job as placed and started at the given offset from captureStart.
func started(at time.Duration) func(*drmaa2.JobInfo) {
	return func(info *drmaa2.JobInfo) {
		start := captureStart.Add(at)
		info.DispatchTime = &start
		info.ImplementationSpecific[drmaa2.AttrOutcome] = "placed"
	}
}

// ended marks a job as started and ended at the given offsets from captureStart, in the given sub-state.
func ended(start, end time.Duration, subState string) func(*drmaa2.JobInfo) {
	return func(info *drmaa2.JobInfo) {
		started(start)(info)
		finish := captureStart.Add(end)
		info.FinishTime, info.JobSubState = &finish, subState
	}
}

func unchanged(*drmaa2.JobInfo) {}

func TestCaptureRecordsJobs(t *testing.T) {
	const second = time.Second
	job := Job{At: second, Class: "c", Service: "v", Tenant: "t", Cores: 0.5, Memory: 2}
	with := func(change func(*Job)) []Job {
		changed := job
		change(&changed)
		return []Job{changed}
	}
	for _, c := range []struct {
		name   string
		events []*drmaa2.JobInfo
		want   []Job
	}{
		{"not started", []*drmaa2.JobInfo{jobInfo(second, unchanged)}, with(func(j *Job) { j.Censored = true })},
		{"ran to its end", []*drmaa2.JobInfo{jobInfo(second, started(2*second)),
			jobInfo(second, ended(2*second, 5*second, "exited"))},
			with(func(j *Job) { j.Outcome, j.Runtime = "placed", 3*second })},
		{"terminated", []*drmaa2.JobInfo{jobInfo(second, ended(2*second, 5*second, "terminated"))},
			with(func(j *Job) { j.Outcome, j.Runtime, j.Censored = "placed", 3*second, true })},
		{"runs at the end of the capture", []*drmaa2.JobInfo{jobInfo(second, started(2*second))},
			with(func(j *Job) { j.Outcome, j.Runtime, j.Censored = "placed", 8*second, true })},
		{"submitted before the capture", []*drmaa2.JobInfo{jobInfo(-second, started(2*second))}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			capture := newTraceCapture(captureStart)
			for _, info := range c.events {
				capture.recordEvent(info, captureStart.Add(6*second))
			}
			got := capture.finish(captureStart.Add(10 * second))
			if !reflect.DeepEqual(got.Jobs, c.want) {
				t.Errorf("got jobs %+v, want %+v", got.Jobs, c.want)
			}
			if len(got.Gaps) > 0 {
				t.Errorf("got gaps %v, want none", got.Gaps)
			}
		})
	}
}

func TestCaptureRecordsGaps(t *testing.T) {
	capture := newTraceCapture(captureStart)
	for _, at := range []time.Duration{10 * time.Second, 40 * time.Second, 71 * time.Second} {
		capture.recordEvent(jobInfo(time.Second, unchanged), captureStart.Add(at))
	}
	got, want := capture.finish(captureStart.Add(80*time.Second)).Gaps, []Gap{{From: 40 * time.Second, To: 71 * time.Second}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got gaps %v, want %v", got, want)
	}
}
