package plancheck

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/load"
)

// newTrace is a trace of jobs at 10 a second, of seven services and with a run time of 3 s; change may change each.
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

// An estimate has the rate and the run time of the captured load, with run times that were cut off counted as longer, gaps
// left out, and warnings.
func TestEstimateLoad(t *testing.T) {
	day := plannedDay(t)
	complete, short := newTrace(1001, unchanged), newTrace(12, unchanged)
	cutOff := newTrace(1001, func(i int, job *load.Job) {
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
		{"half of the run times cut off at 1 s", cutOff, 10, 4, "runtimes are censored"},
		{"a gap of an hour", gap, 10, 3, "1 gaps were excluded"},
		{"too short", short, 10.9, 3, "only 12 jobs"},
	} {
		t.Run(c.name, func(t *testing.T) {
			classes, err := EstimateLoad(c.trace, day)
			if err != nil {
				t.Fatal(err)
			}
			class := classes[0]
			if math.Abs(class.JobsPerSecond/c.jobsPerSecond-1) > 0.02 ||
				math.Abs(class.MeanRuntimeSeconds/c.runtimeSeconds-1) > 0.02 ||
				class.Services != 7 || math.Abs(class.Cores-1) > 1e-9 {
				t.Errorf("%+v", class)
			}
			warnings := strings.Join(class.Warnings, "; ")
			if (c.warning == "") != (warnings == "") || !strings.Contains(warnings, c.warning) {
				t.Errorf("warnings %q, want %q", warnings, c.warning)
			}
		})
	}
}

// The fewer jobs were captured, the larger the error of the estimate.
func TestErrorOfEstimates(t *testing.T) {
	day := plannedDay(t)
	estimateError := func(jobs int) float64 {
		classes, err := EstimateLoad(newTrace(jobs, unchanged), day)
		if err != nil {
			t.Fatal(err)
		}
		return classes[0].RelativeError
	}
	if few, many := estimateError(12), estimateError(1001); few < 3*many {
		t.Errorf("the error of few jobs is %v, of many %v", few, many)
	}
}

// A capture without jobs, or of a class that the day does not have, can't be planned with.
func TestEstimateLoadErrors(t *testing.T) {
	day := plannedDay(t)
	for name, trace := range map[string]*load.Trace{
		"empty":         {},
		"unknown class": newTrace(9, func(_ int, job *load.Job) { job.Class = "z" }),
	} {
		if _, err := EstimateLoad(trace, day); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
