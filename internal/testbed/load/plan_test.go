package load

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/settings"
)

// drawJobs returns the jobs of a plan that has one stream and lasts 1,000 s.
func drawJobs(t *testing.T, shape, runtimes string) []Job {
	t.Helper()
	plan, err := ParsePlan("p.cue", []byte(fmt.Sprintf(`about: "x"
seconds: 1000
streams: [{class: "c", shape: %s, runtimes: %s}]`, shape, runtimes)))
	if err != nil {
		t.Fatal(err)
	}
	trace, err := plan.GenerateTrace(1)
	if err != nil {
		t.Fatal(err)
	}
	return trace.Jobs
}

// The number of jobs of each shape matches the integral of its rate, within four standard deviations, and the jobs are
// concentrated in the expected interval.
func TestJobsFollowShape(t *testing.T) {
	for _, c := range []struct {
		name         string
		shape        string
		wantJobs     float64
		from, to     float64 // seconds
		wantFraction float64 // fraction of the jobs between from and to
	}{
		{"steady", `{perSecond: 20}`, 20000, 0, 500, 0.5},
		{"ramp", `{kind: "ramp", perSecond: 10, peak: 30}`, 20000, 0, 500, 0.375},
		{"one burst", `{kind: "burst", perSecond: 10, peak: 110, from: 400, for: 100}`, 20000, 400, 500, 0.55},
		{"recurring burst", `{kind: "burst", perSecond: 10, peak: 60, from: 100, for: 20, every: 100}`, 19000, 100, 120, 0.0632},
		{"diurnal", `{kind: "diurnal", perSecond: 10, peak: 30, every: 1000}`, 20000, 250, 750, 0.659},
		{"cold snap", `{kind: "cold-snap", perSecond: 10, peak: 50, from: 0, for: 1000}`, 30908, 200, 500, 0.485},
	} {
		t.Run(c.name, func(t *testing.T) {
			jobs := drawJobs(t, c.shape, "{}")
			inside := 0
			for _, job := range jobs {
				if at := job.At.Seconds(); at >= c.from && at < c.to {
					inside++
				}
			}
			got := float64(len(jobs))
			if math.Abs(got-c.wantJobs) > 4*math.Sqrt(c.wantJobs) {
				t.Errorf("got %v jobs, want %v", got, c.wantJobs)
			}
			if fraction := float64(inside) / got; math.Abs(fraction-c.wantFraction) > 0.02 {
				t.Errorf("got a fraction of %.3f from %v s to %v s, want %v", fraction, c.from, c.to, c.wantFraction)
			}
		})
	}
}

// All families of runtime distributions have the configured mean, and a change of the family does not change the arrivals and
// services that are drawn.
func TestRuntimesFollowDistribution(t *testing.T) {
	constant := drawJobs(t, "{perSecond: 20}", `{law: "constant", mean: "2s"}`)
	for _, c := range []struct{ name, runtimes string }{
		{"constant", `{law: "constant", mean: "2s"}`},
		{"exponential", `{law: "exponential", mean: "2s"}`},
		{"lognormal", `{law: "lognormal", mean: "2s", tail: 1}`},
		{"pareto", `{law: "pareto", mean: "2s", tail: 2.5}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			jobs := drawJobs(t, "{perSecond: 20}", c.runtimes)
			sum := time.Duration(0)
			for i, job := range jobs {
				sum += job.Runtime
				if job.At != constant[i].At || job.Service != constant[i].Service {
					t.Fatalf("job %d: got %v of service %s, want %v of service %s, as for constant runtimes", i, job.At,
						job.Service, constant[i].At, constant[i].Service)
				}
			}
			if mean := sum.Seconds() / float64(len(jobs)); math.Abs(mean-2) > 0.1 {
				t.Errorf("got a mean of %v s, want 2 s", mean)
			}
		})
	}
}

func TestParsePlanRejectsInvalidStreams(t *testing.T) {
	for _, c := range []struct{ name, field string }{
		{"pareto distribution with an infinite mean", `runtimes: {law: "pareto", tail: 1}`},
		{"diurnal shape without a period", `shape: {kind: "diurnal", perSecond: 1}`},
		{"negative rate", `shape: {perSecond: -1}`},
		{"unknown shape", `shape: {kind: "odd", perSecond: 1}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := `about: "x", seconds: 1, streams: [{class: "c", shape: perSecond: 1, ` + c.field + `}]`
			if _, err := ParsePlan("p.cue", []byte(text)); err == nil {
				t.Errorf("%s: got no error, want one", c.field)
			}
		})
	}
}

// The limit is checked before any job of the stream is drawn.
func TestGenerateTraceRejectsPlanWithTooManyJobs(t *testing.T) {
	p := &Plan{Seconds: 1000, Streams: []Stream{{Shape: Shape{BaseRate: 1}}, {Shape: Shape{BaseRate: 1, PeakRate: 10_001}}}}
	_, err := p.GenerateTrace(1)
	var got *TooManyJobsError
	if !errors.As(err, &got) || got.StreamIndex != 1 || got.MaxJobs != 10_001_000 {
		t.Errorf("got error %v, want a TooManyJobsError of streams[1] with 10,001,000 jobs", err)
	}
}

// A plan can be written with the current or the deprecated field names, and is parsed to the same streams.
func TestParsePlanReadsCurrentAndDeprecatedNames(t *testing.T) {
	parse := func(t *testing.T, fields string) (*Plan, error) {
		t.Helper()
		return ParsePlan("p.cue", []byte(`about: "x", seconds: 1, streams: [{class: "c", shape: perSecond: 1, `+fields+`}]`))
	}
	current, err := parse(t, `runtimes: {law: "pareto", mean: "3s", tail: 2, min: "2ms"}, hotServiceFraction: 0.5`)
	if err != nil {
		t.Fatal(err)
	}
	want := Stream{Class: "c", Shape: Shape{Kind: "steady", BaseRate: 1}, Services: 20, HotServiceFraction: 0.5,
		Runtimes: RuntimeDistribution{Family: familyPareto, Mean: settings.Duration(3 * time.Second), TailParameter: 2,
			Min: settings.Duration(2 * time.Millisecond)}}
	if got := current.Streams[0]; got != want {
		t.Errorf("current names: got %+v, want %+v", got, want)
	}
	deprecated, err := parse(t, `lives: {law: "pareto", mean: "3s", tail: 2, least: "2ms"}, popular: 0.5`)
	if err != nil {
		t.Fatal(err)
	}
	if got := deprecated.Streams[0]; got != want {
		t.Errorf("deprecated names: got %+v, want %+v", got, want)
	}
	if plan, err := parse(t, `hotServiceFraction: 0.5, popular: 0.6`); err == nil {
		t.Errorf("both names with different values: got %+v, want an error", plan.Streams[0])
	}
}
