package experiment

import (
	"bytes"
	"context"
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const experimentText = `about: "x"
seeds: 3
warm: 1
designs: [{name: "a", day: "calm"}, {name: "b", day: "calm", load: 2}, {name: "c", day: "calm", lose: "room-b", schedulers: 1}]`

func parse(t *testing.T, text string) *Plan {
	t.Helper()
	p, err := Parse("x.cue", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// What makes no sense is reported with its field.
func TestParse(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`name: "b"`, `name: "a"`, `designs[1].name: "a" names two designs`},
		{`day: "calm", load`, `day: "nowhere", load`, `designs[1].day: no day of that name`},
		{`room-b`, `room-z`, `the fleet has no such zone`},
		{`warm: 1`, `warm: 99`, `expected under the 4 s`},
		{`seeds: 3`, `seeds: 1`, `seeds`},
		{`load: 2`, `load: -2`, `load`},
	} {
		_, err := Parse("x.cue", []byte(strings.Replace(experimentText, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.to, err, c.want)
		}
	}
}

// An interrupted experiment resumes where it was, ignores an incomplete line, runs anew what has changed, and gives the same
// figures as one that was not interrupted.
func TestResume(t *testing.T) {
	p := parse(t, experimentText)
	dir := t.TempDir()
	execute := func(p *Plan, file string, workers int) (rows []Row, ran int) {
		t.Helper()
		first := -1
		runs, err := p.Execute(context.Background(), filepath.Join(dir, file), workers, func(done, _ int) {
			if first < 0 {
				first = done
			}
			ran++
		})
		if err != nil {
			t.Fatal(err)
		}
		return p.Table(runs), ran
	}
	complete, ran := execute(p, "complete", 1)
	if ran != 9 {
		t.Errorf("%d runs", ran)
	}
	all, err := os.ReadFile(filepath.Join(dir, "complete"))
	if err != nil {
		t.Fatal(err)
	}
	lines := bytes.SplitAfter(all, []byte("\n"))
	interrupted := append(bytes.Join(lines[:4], nil), lines[4][:20]...)
	if err := os.WriteFile(filepath.Join(dir, "interrupted"), interrupted, 0o600); err != nil {
		t.Fatal(err)
	}
	resumed, ran := execute(p, "interrupted", 3)
	if ran != 5 {
		t.Errorf("%d runs after the interruption, wanted 5", ran)
	}
	if len(complete) != len(resumed) || len(complete) != len(Measures)*3 {
		t.Fatalf("%d and %d rows", len(complete), len(resumed))
	}
	for i := range complete {
		if complete[i].Mean != resumed[i].Mean || complete[i].Difference != resumed[i].Difference {
			t.Errorf("%+v and %+v", complete[i], resumed[i])
		}
	}
	if _, ran := execute(parse(t, strings.Replace(experimentText, "load: 2", "load: 3", 1)), "interrupted", 3); ran != 3 {
		t.Errorf("%d runs after one design changed, wanted 3", ran)
	}
}

// A line of the file of results that is not a result is reported.
func TestResumeReportsBadResults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad")
	if err := os.WriteFile(path, []byte("nonsense\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := parse(t, experimentText).Execute(context.Background(), path, 1, func(int, int) {})
	var results *ResultsError
	if !errors.As(err, &results) || results.Line != 1 || results.Path != path {
		t.Errorf("got %v, want a ResultsError of line 1", err)
	}
}

// Intervals agree with tables: for 5 values of standard deviation 1 the half width is 2.776/sqrt(5).
func TestEstimate(t *testing.T) {
	offset := math.Sqrt(2)
	e := EstimateMean([]float64{5, 5 + offset, 5 - offset, 5, 5})
	if math.Abs(e.Mean-5) > 1e-9 || math.Abs(e.HalfWidth-2.776/math.Sqrt(5)) > 1e-3 || !e.Differs() {
		t.Errorf("%v", e)
	}
	if single := EstimateMean([]float64{3}); !math.IsInf(single.HalfWidth, 1) || single.Differs() {
		t.Errorf("estimate of one value: %v", single)
	}
}

// The page names every design and loads nothing from elsewhere.
func TestHTML(t *testing.T) {
	p := parse(t, strings.Replace(experimentText, `"b"`, `"<b>"`, 1))
	runs, err := p.Execute(context.Background(), filepath.Join(t.TempDir(), "runs"), 2, func(int, int) {})
	if err != nil {
		t.Fatal(err)
	}
	var b, plain bytes.Buffer
	rows := p.Table(runs)
	if err := p.HTML(&b, rows); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"&lt;b&gt;", "<svg", "wait p99", "</html>"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("the page does not contain %q", want)
		}
	}
	for _, bad := range []string{"src=", "<link", "href=", "<?xml"} {
		if strings.Contains(b.String(), bad) {
			t.Errorf("the page has %q", bad)
		}
	}
	if err := p.Text(&plain, rows); err != nil || !strings.Contains(plain.String(), "±") {
		t.Errorf("%s, %v", plain.String(), err)
	}
}
