package experiment

import (
	"bytes"
	"context"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const text = `about: "x"
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

// What makes no sense is told with its field.
func TestParse(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`name: "b"`, `name: "a"`, `designs[1].name: "a" names two designs`},
		{`day: "calm", load`, `day: "nowhere", load`, `designs[1].day: no day of that name`},
		{`room-b`, `room-z`, `the fleet has no such room`},
		{`warm: 1`, `warm: 99`, `expected under the 4 s`},
		{`seeds: 3`, `seeds: 1`, `seeds`},
		{`load: 2`, `load: -2`, `load`},
	} {
		_, err := Parse("x.cue", []byte(strings.Replace(text, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.to, err, c.want)
		}
	}
}

// An experiment that was cut off goes on where it was, passes over half a line, runs anew what has changed, and gives
// the same figures as one that was not.
func TestResume(t *testing.T) {
	p := parse(t, text)
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
	whole, ran := execute(p, "whole", 1)
	if ran != 9 {
		t.Errorf("%d runs", ran)
	}
	all, err := os.ReadFile(filepath.Join(dir, "whole"))
	if err != nil {
		t.Fatal(err)
	}
	lines := bytes.SplitAfter(all, []byte("\n"))
	cut := append(bytes.Join(lines[:4], nil), lines[4][:20]...)
	if err := os.WriteFile(filepath.Join(dir, "cut"), cut, 0o600); err != nil {
		t.Fatal(err)
	}
	resumed, ran := execute(p, "cut", 3)
	if ran != 5 {
		t.Errorf("%d runs after the cut, wanted 5", ran)
	}
	if len(whole) != len(resumed) || len(whole) != len(Measures)*3 {
		t.Fatalf("%d and %d rows", len(whole), len(resumed))
	}
	for i := range whole {
		if whole[i].Own != resumed[i].Own || whole[i].Against != resumed[i].Against {
			t.Errorf("%+v and %+v", whole[i], resumed[i])
		}
	}
	if _, ran := execute(parse(t, strings.Replace(text, "load: 2", "load: 3", 1)), "cut", 3); ran != 3 {
		t.Errorf("%d runs after one design changed, wanted 3", ran)
	}
	if err := os.WriteFile(filepath.Join(dir, "bad"), []byte("nonsense\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := p.Execute(context.Background(), filepath.Join(dir, "bad"), 1, func(int, int) {}); err == nil {
		t.Error("nonsense was taken for results")
	}
}

// Intervals against tables: for 5 values of standard deviation 1 the half width is 2.776/sqrt(5).
func TestEstimate(t *testing.T) {
	a := math.Sqrt(2)
	e := Mean([]float64{5, 5 + a, 5 - a, 5, 5})
	if math.Abs(e.Mean-5) > 1e-9 || math.Abs(e.Half-2.776/math.Sqrt(5)) > 1e-3 || !e.Differs() {
		t.Errorf("%v", e)
	}
	if one := Mean([]float64{3}); !math.IsInf(one.Half, 1) || one.Differs() {
		t.Errorf("of one value: %v", one)
	}
}

// The page holds everything in itself, and every design.
func TestHTML(t *testing.T) {
	p := parse(t, strings.Replace(text, `"b"`, `"<b>"`, 1))
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
			t.Errorf("the page does not say %q", want)
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
