package load

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"
)

// planned draws the jobs of a plan of one stream.
func planned(t *testing.T, shape, runtimes string) *Trace {
	t.Helper()
	p, err := ParsePlan("p.cue", []byte(fmt.Sprintf(`about: "x"
seconds: 1000
streams: [{class: "c", shape: %s, lives: %s}]`, shape, runtimes)))
	if err != nil {
		t.Fatal(err)
	}
	x, err := p.Jobs(1)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// Each shape gives as many submissions as its rate integrates to, within chance, and in the right part of the time.
func TestShapes(t *testing.T) {
	for _, c := range []struct {
		shape    string
		want     float64
		from, to float64 // seconds, and the share of all that lies there
		share    float64
	}{
		{`{perSecond: 20}`, 20000, 0, 500, 0.5},
		{`{kind: "ramp", perSecond: 10, peak: 30}`, 20000, 0, 500, 0.375},
		{`{kind: "burst", perSecond: 10, peak: 110, from: 400, for: 100}`, 20000, 400, 500, 0.55},
		{`{kind: "burst", perSecond: 10, peak: 60, from: 100, for: 20, every: 100}`, 19000, 100, 120, 0.0632},
		{`{kind: "diurnal", perSecond: 10, peak: 30, every: 1000}`, 20000, 250, 750, 0.659},
		{`{kind: "cold-snap", perSecond: 10, peak: 50, from: 0, for: 1000}`, 30908, 200, 500, 0.485},
	} {
		x := planned(t, c.shape, "{}")
		inside := 0
		for _, j := range x.Jobs {
			if s := j.At.Seconds(); s >= c.from && s < c.to {
				inside++
			}
		}
		n := float64(len(x.Jobs))
		if math.Abs(n-c.want) > 4*math.Sqrt(c.want) || math.Abs(float64(inside)/n-c.share) > 0.02 {
			t.Errorf("%s: %v jobs, %.3f of them from %v to %v; want %v and %v", c.shape, n, float64(inside)/n, c.from, c.to, c.want,
				c.share)
		}
	}
}

// Runtimes have the same mean whatever the law; a change of the law leaves arrivals and services as they were.
func TestRuntimes(t *testing.T) {
	var first *Trace
	for _, runtimes := range []string{`{law: "constant", mean: "2s"}`, `{law: "exponential", mean: "2s"}`,
		`{law: "lognormal", mean: "2s", tail: 1}`, `{law: "pareto", mean: "2s", tail: 2.5}`} {
		x := planned(t, "{perSecond: 20}", runtimes)
		sum := time.Duration(0)
		for i, j := range x.Jobs {
			sum += j.Runtime
			if first != nil && (first.Jobs[i].At != j.At || first.Jobs[i].Service != j.Service) {
				t.Fatalf("%s: arrivals have changed", runtimes)
			}
		}
		if mean := sum.Seconds() / float64(len(x.Jobs)); math.Abs(mean-2) > 0.1 {
			t.Errorf("%s: mean %v", runtimes, mean)
		}
		first = x
	}
}

// What makes no sense is rejected.
func TestParsePlanErrors(t *testing.T) {
	for _, bad := range []string{`lives: {law: "pareto", tail: 1}`, `shape: {kind: "diurnal", perSecond: 1}`,
		`shape: {perSecond: -1}`, `shape: {kind: "odd", perSecond: 1}`} {
		text := `about: "x", seconds: 1, streams: [{class: "c", shape: perSecond: 1, ` + bad + `}]`
		if _, err := ParsePlan("p.cue", []byte(text)); err == nil {
			t.Errorf("%s was accepted", bad)
		}
	}
}

// A plan that could have too many jobs is rejected before any is drawn.
func TestTooManyJobs(t *testing.T) {
	p := &Plan{Seconds: 1000, Streams: []Stream{{Shape: Shape{PerSecond: 1}}, {Shape: Shape{PerSecond: 1, Peak: 10_001}}}}
	_, err := p.Jobs(1)
	var e *TooManyJobsError
	if !errors.As(err, &e) || e.Stream != 1 || e.Jobs != 10_001_000 {
		t.Errorf("got %v, want a TooManyJobsError of streams[1]", err)
	}
}
