package plancheck

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/load"
)

// newTrace returns a trace of jobs at 10 per second, of seven services and with a runtime of 3 s. change may modify each job.
func newTrace(jobs int, change func(i int, job *load.Job)) *load.Trace {
	trace := &load.Trace{}
	for i := range jobs {
		job := load.Job{At: time.Duration(i) * 100 * time.Millisecond, Class: "c", Service: fmt.Sprint(i % 7),
			Runtime: 3 * time.Second}
		change(i, &job)
		trace.Jobs = append(trace.Jobs, job)
	}
	return trace
}

func unchanged(int, *load.Job) {}

// estimateClassC estimates the load of a trace whose only class is c.
func estimateClassC(t *testing.T, trace *load.Trace) ClassEstimate {
	t.Helper()
	classes, err := EstimateLoad(trace, plannedDay(t))
	if err != nil {
		t.Fatal(err)
	}
	if len(classes) != 1 || classes[0].Name != "c" {
		t.Fatalf("got classes %+v, want c only", classes)
	}
	return classes[0]
}

// Censored runtimes increase the estimated mean runtime, and gaps are excluded from the length of the capture.
func TestEstimateHasRateAndRuntimeOfCapturedLoad(t *testing.T) {
	complete, short := newTrace(1001, unchanged), newTrace(12, unchanged)
	censored := newTrace(1001, func(i int, job *load.Job) {
		if i%2 == 0 {
			job.Censored, job.Runtime = true, time.Second
		}
	})
	gap := newTrace(1001, func(i int, job *load.Job) {
		if i > 500 {
			job.At += time.Hour
		}
	})
	gap.Gaps = []load.Gap{{From: 50 * time.Second, To: time.Hour + 50*time.Second}}
	for _, c := range []struct {
		name           string
		trace          *load.Trace
		jobsPerSecond  float64
		runtimeSeconds float64
		warning        string
	}{
		{"complete", complete, 10, 3, ""},
		{"half of the runtimes censored at 1 s", censored, 10, 4, "runtimes are censored"},
		{"a gap of an hour", gap, 10, 3, "1 gaps were excluded"},
		{"too short", short, 10.9, 3, "only 12 jobs"},
	} {
		t.Run(c.name, func(t *testing.T) {
			class := estimateClassC(t, c.trace)
			if got := class.JobsPerSecond; math.Abs(got/c.jobsPerSecond-1) > 0.02 {
				t.Errorf("got %v jobs per second, want %v", got, c.jobsPerSecond)
			}
			if got := class.MeanRuntimeSeconds; math.Abs(got/c.runtimeSeconds-1) > 0.02 {
				t.Errorf("got a mean runtime of %v s, want %v s", got, c.runtimeSeconds)
			}
			if class.Services != 7 || math.Abs(class.Cores-1) > 1e-9 {
				t.Errorf("got %d services and %v cores, want 7 and 1", class.Services, class.Cores)
			}
			warnings := strings.Join(class.Warnings, "; ")
			if (c.warning == "") != (warnings == "") || !strings.Contains(warnings, c.warning) {
				t.Errorf("got warnings %q, want %q", warnings, c.warning)
			}
		})
	}
}

func TestErrorOfEstimateIsLargerForFewerJobs(t *testing.T) {
	few, many := estimateClassC(t, newTrace(12, unchanged)), estimateClassC(t, newTrace(1001, unchanged))
	if few.RelativeError < 3*many.RelativeError {
		t.Errorf("got an error of %v for 12 jobs, want at least three times that of 1,001 jobs, %v", few.RelativeError,
			many.RelativeError)
	}
}

func TestEstimateRejectsUnusableCapture(t *testing.T) {
	for _, c := range []struct {
		name  string
		trace *load.Trace
	}{
		{"no jobs", &load.Trace{}},
		{"class that the day does not have", newTrace(9, func(_ int, job *load.Job) { job.Class = "z" })},
	} {
		t.Run(c.name, func(t *testing.T) {
			if classes, err := EstimateLoad(c.trace, plannedDay(t)); err == nil {
				t.Errorf("got classes %+v, want an error", classes)
			}
		})
	}
}
