package experiment

import (
	"bytes"
	"context"
	"errors"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// experimentText has three designs with three seeds, which makes nine runs.
const experimentText = `about: "x"
seeds: 3
warmUpSeconds: 1
designs: [{name: "a", day: "calm"}, {name: "b", day: "calm", load: 2},
	{name: "c", day: "calm", lostZone: "room-b", schedulers: 1}]`

func parse(t *testing.T, text string) *Plan {
	t.Helper()
	p, err := Parse("x.cue", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// execute executes an experiment and returns the results of all runs, and how many runs were executed because the results file
// did not have them.
func execute(t *testing.T, p *Plan, results string, workers int) (runs []RunResult, executed int) {
	t.Helper()
	runs, err := p.Execute(context.Background(), results, workers, func(int, int) { executed++ })
	if err != nil {
		t.Fatal(err)
	}
	return runs, executed
}

func writeFile(t *testing.T, path string, text []byte) {
	t.Helper()
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestParseReportsInvalidField(t *testing.T) {
	for _, c := range []struct{ name, from, to, want string }{
		{"duplicate design name", `name: "b"`, `name: "a"`, `designs[1].name: "a" names two designs`},
		{"unknown day", `day: "calm", load`, `day: "nowhere", load`, `designs[1].day: no day of that name`},
		{"unknown zone", `room-b`, `room-z`, `the fleet has no such zone`},
		{"warm-up longer than the day", `warmUpSeconds: 1`, `warmUpSeconds: 99`, `expected under the 4 s`},
		{"one seed", `seeds: 3`, `seeds: 1`, `seeds`},
		{"negative load", `load: 2`, `load: -2`, `load`},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("x.cue", []byte(strings.Replace(experimentText, c.from, c.to, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want one with %q", err, c.want)
			}
		})
	}
}

// An experiment can be written with the current or the deprecated field names, and has the same designs and fingerprints.
func TestParseReadsCurrentAndDeprecatedNames(t *testing.T) {
	want := parse(t, experimentText)
	if want.WarmUpSeconds != 1 || want.Designs[2].LostZone != "room-b" {
		t.Errorf("current names: got a warm-up of %v s and lost zone %q, want 1 s and room-b", want.WarmUpSeconds,
			want.Designs[2].LostZone)
	}
	got := parse(t, strings.NewReplacer("warmUpSeconds", "warm", "lostZone", "lose").Replace(experimentText))
	if got.WarmUpSeconds != want.WarmUpSeconds || !slices.Equal(got.Designs, want.Designs) ||
		!slices.Equal(got.fingerprints, want.fingerprints) {
		t.Errorf("deprecated names: got %+v, want %+v", got, want)
	}
}

// An interrupted experiment can be resumed: an incomplete last line of the results file is ignored, only missing runs and those
// of changed designs are executed, and the statistics equal those of an uninterrupted experiment.
func TestInterruptedExperimentResumes(t *testing.T) {
	p := parse(t, experimentText)
	dir := t.TempDir()
	completePath, interruptedPath := filepath.Join(dir, "complete"), filepath.Join(dir, "interrupted")
	completeRuns, executed := execute(t, p, completePath, 1)
	if executed != 9 {
		t.Errorf("got %d executed runs, want 9", executed)
	}
	lines := bytes.SplitAfter(readFile(t, completePath), []byte("\n"))
	writeFile(t, interruptedPath, append(bytes.Join(lines[:4], nil), lines[4][:20]...))
	resumedRuns, executed := execute(t, p, interruptedPath, 3)
	if executed != 5 {
		t.Errorf("got %d executed runs after the interruption, want the 5 missing ones", executed)
	}
	complete, resumed := p.Summaries(completeRuns), p.Summaries(resumedRuns)
	if want := len(Metrics) * 3; len(complete) != want || len(resumed) != want {
		t.Fatalf("got %d and %d summaries, want %d each", len(complete), len(resumed), want)
	}
	for i := range complete {
		if resumed[i].Mean != complete[i].Mean || resumed[i].Difference != complete[i].Difference {
			t.Errorf("got summary %+v, want that of the uninterrupted experiment, %+v", resumed[i], complete[i])
		}
	}
	changed := parse(t, strings.Replace(experimentText, "load: 2", "load: 3", 1))
	if _, executed := execute(t, changed, interruptedPath, 3); executed != 3 {
		t.Errorf("got %d executed runs after one design changed, want 3", executed)
	}
}

func TestExecuteReportsInvalidResults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad")
	writeFile(t, path, []byte("nonsense\n"))
	_, err := parse(t, experimentText).Execute(context.Background(), path, 1, func(int, int) {})
	var results *ResultsError
	if !errors.As(err, &results) || results.Line != 1 || results.Path != path {
		t.Errorf("got error %v, want a ResultsError of line 1", err)
	}
}

// For 5 values with standard deviation 1 the half width is 2.776/sqrt(5), according to tables of Student's t-distribution.
func TestEstimateMeanHasConfidenceInterval(t *testing.T) {
	offset := math.Sqrt(2)
	got, want := EstimateMean([]float64{5, 5 + offset, 5 - offset, 5, 5}), Estimate{5, 2.776 / math.Sqrt(5)}
	if math.Abs(got.Mean-want.Mean) > 1e-9 || math.Abs(got.HalfWidth-want.HalfWidth) > 1e-3 {
		t.Errorf("got %v, want %v", got, want)
	}
	if !got.ExcludesZero() {
		t.Errorf("got an interval of %v that contains zero, want one that does not", got)
	}
}

func TestEstimateMeanOfOneValueHasInfiniteInterval(t *testing.T) {
	if got := EstimateMean([]float64{3}); !math.IsInf(got.HalfWidth, 1) || got.ExcludesZero() {
		t.Errorf("got %v, want an infinite half width", got)
	}
}

// The HTML report escapes the names of designs, contains the plots, and refers to no external resources.
func TestReportsNameDesignsAndReferToNoResources(t *testing.T) {
	p := parse(t, strings.Replace(experimentText, `"b"`, `"<b>"`, 1))
	runs, _ := execute(t, p, filepath.Join(t.TempDir(), "runs"), 2)
	summaries := p.Summaries(runs)
	t.Run("HTML", func(t *testing.T) {
		var page bytes.Buffer
		if err := p.WriteHTML(&page, summaries); err != nil {
			t.Fatal(err)
		}
		for _, want := range []string{"&lt;b&gt;", "<svg", "wait p99", "overloaded nodes", "</html>"} {
			if !strings.Contains(page.String(), want) {
				t.Errorf("got a page without %q, want it", want)
			}
		}
		for _, unwanted := range []string{"src=", "<link", "href=", "<?xml"} {
			if strings.Contains(page.String(), unwanted) {
				t.Errorf("got a page with %q, want none", unwanted)
			}
		}
	})
	t.Run("text", func(t *testing.T) {
		var text bytes.Buffer
		if err := p.WriteText(&text, summaries); err != nil {
			t.Fatal(err)
		}
		if got := text.String(); !strings.Contains(got, "±") {
			t.Errorf("got %q, want it to contain ±", got)
		}
	})
}
