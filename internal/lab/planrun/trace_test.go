package planrun

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/lab/load"
)

// A captured load gives its rate and life back, with lives cut off counted as longer, gaps left out, and doubts said.
func TestFromTrace(t *testing.T) {
	d := planned(t)
	make := func(n int, change func(i int, j *load.Job)) *load.Trace {
		x := &load.Trace{}
		for i := range n {
			j := load.Job{At: time.Duration(i) * 100 * time.Millisecond, Class: "c", Service: fmt.Sprint(i % 7), Life: 3 * time.Second}
			change(i, &j)
			x.Jobs = append(x.Jobs, j)
		}
		return x
	}
	whole := make(1001, func(int, *load.Job) {})
	cut := make(1001, func(i int, j *load.Job) {
		if i%2 == 0 {
			j.CutOff, j.Life = true, time.Second
		}
	})
	gap := make(1001, func(i int, j *load.Job) {
		if i > 500 {
			j.At += time.Hour
		}
	})
	gap.Gaps = []load.Gap{{From: 50 * time.Second, To: time.Hour + 50*time.Second}}
	short := make(12, func(int, *load.Job) {})
	for _, c := range []struct {
		name       string
		x          *load.Trace
		rate, life float64
		doubt      string
	}{
		{"whole", whole, 10, 3, ""},
		{"half of the lives cut off at 1 s", cut, 10, 4, "lives were cut off"},
		{"an hour unheard", gap, 10, 3, "1 gaps were left out"},
		{"too short", short, 10.9, 3, "only 12 jobs"},
	} {
		all, err := FromTrace(c.x, d)
		if err != nil {
			t.Fatal(err)
		}
		k := all[0]
		if math.Abs(k.PerSecond/c.rate-1) > 0.02 || math.Abs(k.Life/c.life-1) > 0.02 || k.Services != 7 ||
			math.Abs(k.Cores-1) > 1e-9 {
			t.Errorf("%s: %+v", c.name, k)
		}
		if doubts := strings.Join(k.Doubts, "; "); (c.doubt == "") != (doubts == "") || !strings.Contains(doubts, c.doubt) {
			t.Errorf("%s: doubts %q", c.name, doubts)
		}
	}
	long, _ := FromTrace(whole, d)
	few, _ := FromTrace(short, d)
	if few[0].Within < 3*long[0].Within {
		t.Errorf("the interval of few jobs is %v, of many %v", few[0].Within, long[0].Within)
	}
	for _, bad := range []*load.Trace{{}, make(9, func(_ int, j *load.Job) { j.Class = "z" })} {
		if _, err := FromTrace(bad, d); err == nil {
			t.Error("it was planned with")
		}
	}
}
