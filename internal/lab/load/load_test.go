package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxshelf.example/flaxshelf/drmaa2"
)

// What is written is read again, whatever it holds; any byte that is changed is found, and so is an end that is missing.
func TestTraceRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := &Trace{Source: "daemon", Start: time.Unix(0, rapid.Int64Range(0, 1<<60).Draw(t, "start"))}
		at := time.Duration(0)
		for range rapid.IntRange(0, 20).Draw(t, "jobs") {
			at += time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "gap"))
			x.Jobs = append(x.Jobs, Job{At: at, Class: rapid.StringN(0, 9, 20).Draw(t, "class"),
				Service: rapid.StringN(0, 9, 20).Draw(t, "service"), Cores: rapid.Float64Range(0, 1e6).Draw(t, "cores"),
				Life: time.Duration(rapid.Int64Range(0, 1e15).Draw(t, "life")), CutOff: rapid.Bool().Draw(t, "cut")})
		}
		x.Gaps = append(x.Gaps, Gap{1, 2})
		var b bytes.Buffer
		if err := x.Write(&b); err != nil {
			t.Fatal(err)
		}
		y, err := Read(bytes.NewReader(b.Bytes()))
		if err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(x.Jobs, x.Gaps, x.Start.UnixNano()) != fmt.Sprint(y.Jobs, y.Gaps, y.Start.UnixNano()) {
			t.Fatalf("%v\nis read as\n%v", x, y)
		}
		i := rapid.IntRange(0, b.Len()-1).Draw(t, "byte")
		bad := bytes.Clone(b.Bytes())
		bad[i] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		if _, err := Read(bytes.NewReader(bad)); err == nil {
			t.Fatalf("byte %d of %d was changed, and nobody saw it", i, b.Len())
		}
		if _, err := Read(bytes.NewReader(b.Bytes()[:i])); err == nil {
			t.Fatalf("cut off at %d of %d, and nobody saw it", i, b.Len())
		}
	})
}

// Names are hidden under a key: equal ones stay equal, another key gives others, classes stay.
func TestAnonymise(t *testing.T) {
	hide := func(key string) *Trace {
		x := &Trace{Jobs: []Job{{Class: "c", Service: "billing", Tenant: "north"}, {Class: "c", Service: "billing"}, {Service: "x"}}}
		if err := x.Anonymise(key); err != nil {
			t.Fatal(err)
		}
		return x
	}
	a, b := hide("one"), hide("two")
	if a.Jobs[0].Service != a.Jobs[1].Service || a.Jobs[0].Service == a.Jobs[2].Service || a.Jobs[0].Service == b.Jobs[0].Service ||
		a.Jobs[0].Class != "c" || a.Jobs[1].Tenant != "" || !a.Anonymous || strings.Contains(a.Jobs[0].Service, "billing") {
		t.Errorf("%+v and %+v", a.Jobs, b.Jobs)
	}
}

const swf = `; Version: 2.2
; UnixStartTime: 1000
1 0 5 60 4 -1 -1 4 -1 1048576 1 7 1 3 1 1 -1 -1
2 30 5 -1 2 -1 -1 2 -1 -1 5 8 1 -1 1 1 -1 -1
3 -1 5 60 4 -1 -1 4 -1 -1 1 7 1 3 1 1 -1 -1
4 10 5 60 -1 -1 -1 8 -1 -1 1 7 1 3 1 1 -1 -1
`

func TestSWF(t *testing.T) {
	x, left, err := ReadSWF(strings.NewReader(swf), "batch")
	if err != nil || left != 1 || len(x.Jobs) != 3 || x.Start.Unix() != 1000 {
		t.Fatalf("%+v, %d left, %v", x, left, err)
	}
	want := []Job{{At: 0, Class: "batch", Service: "app-3", Tenant: "user-7", Cores: 4, Memory: 4, Life: time.Minute},
		{At: 10 * time.Second, Class: "batch", Service: "app-3", Tenant: "user-7", Cores: 8, Life: time.Minute},
		{At: 30 * time.Second, Class: "batch", Tenant: "user-8", Cores: 2, CutOff: true}}
	if fmt.Sprint(x.Jobs) != fmt.Sprint(want) {
		t.Errorf("%v\nwant\n%v", x.Jobs, want)
	}
	for _, bad := range []string{"1 2 3", strings.Replace(swf, " 60 ", " sixty ", 1), strings.Replace(swf, " 60 ", " NaN ", 1)} {
		if _, _, err := ReadSWF(strings.NewReader(bad), "c"); err == nil {
			t.Errorf("%q was read", bad)
		}
	}
}

// Neither importer panics, and what they take is in order and has sense.
func FuzzImporters(f *testing.F) {
	f.Add([]byte(swf))
	var b bytes.Buffer
	_ = (&Trace{Jobs: []Job{{Class: "c", At: 5}}}).Write(&b)
	f.Add(b.Bytes())
	f.Fuzz(func(t *testing.T, in []byte) {
		a, _, _ := ReadSWF(bytes.NewReader(in), "c")
		b, _ := Read(bytes.NewReader(in))
		for _, x := range []*Trace{a, b} {
			if x == nil {
				continue
			}
			last := time.Duration(0)
			for _, j := range x.Jobs {
				if j.At < last || j.Life < 0 || !(j.Cores >= 0) || !(j.Memory >= 0) {
					t.Errorf("%+v", j)
				}
				last = j.At
			}
		}
	})
}

func plan(t *testing.T, shape, lives string) *Trace {
	t.Helper()
	p, err := ParsePlan("p.cue", []byte(fmt.Sprintf(`about: "x"
seconds: 1000
streams: [{class: "c", shape: %s, lives: %s}]`, shape, lives)))
	if err != nil {
		t.Fatal(err)
	}
	x, err := p.Jobs(1)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// Each shape brings the submissions that its rate adds up to, within chance, and where it says.
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
		x := plan(t, c.shape, "{}")
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

// Lives keep their mean whatever the law; a change of the law leaves arrivals and services as they were.
func TestLives(t *testing.T) {
	var first *Trace
	for _, lives := range []string{`{law: "constant", mean: "2s"}`, `{law: "exponential", mean: "2s"}`,
		`{law: "lognormal", mean: "2s", tail: 1}`, `{law: "pareto", mean: "2s", tail: 2.5}`} {
		x := plan(t, "{perSecond: 20}", lives)
		sum := time.Duration(0)
		for i, j := range x.Jobs {
			sum += j.Life
			if first != nil && (first.Jobs[i].At != j.At || first.Jobs[i].Service != j.Service) {
				t.Fatalf("%s: arrivals have changed", lives)
			}
		}
		if mean := sum.Seconds() / float64(len(x.Jobs)); math.Abs(mean-2) > 0.1 {
			t.Errorf("%s: mean %v", lives, mean)
		}
		first = x
	}
	for _, bad := range []string{`lives: {law: "pareto", tail: 1}`, `shape: {kind: "diurnal", perSecond: 1}`,
		`shape: {perSecond: -1}`, `shape: {kind: "odd", perSecond: 1}`} {
		text := `about: "x", seconds: 1, streams: [{class: "c", shape: perSecond: 1, ` + bad + `}]`
		if _, err := ParsePlan("p.cue", []byte(text)); err == nil {
			t.Errorf("%s was taken", bad)
		}
	}
}

// pausing answers submissions at once, but for a pause in which it answers nothing, like a process that is stopped.
type pausing struct {
	begin       time.Time
	from, until time.Duration
	mu          sync.Mutex
	n           int
}

func (p *pausing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/events") {
		w.WriteHeader(200)
		<-r.Context().Done()
		return
	}
	p.mu.Lock()
	if p.begin.IsZero() && strings.HasSuffix(r.URL.Path, "/jobs") {
		p.begin = time.Now()
	}
	since := time.Since(p.begin)
	p.n++
	id := fmt.Sprint(p.n)
	p.mu.Unlock()
	if since >= p.from && since < p.until {
		time.Sleep(p.until - since)
	}
	_ = json.NewEncoder(w).Encode(drmaa2.Submitted{Jobs: []drmaa2.JobInfo{{JobID: id}}})
}

// A pause of 2 s appears in the percentiles at its true size: of 5 s of steady load two fifths meet it, evenly, so the
// 90th percentile is three quarters of the pause, and the longest is all of it.
//
// A machine that is busy with other tests adds waits of its own, so the best of three tries counts.
func TestPauseIsSeen(t *testing.T) {
	for try := 1; ; try++ {
		err := pauseIsSeen(t)
		if err == nil {
			return
		}
		if t.Log(err); try == 3 {
			t.Fatal("the pause was not seen at its true size in three tries")
		}
	}
}

func pauseIsSeen(t *testing.T) error {
	srv := httptest.NewServer(&pausing{from: time.Second, until: 3 * time.Second})
	defer srv.Close()
	x := &Trace{}
	for i := range 1000 {
		x.Jobs = append(x.Jobs, Job{At: time.Duration(i) * 5 * time.Millisecond, Class: "c"})
	}
	c := drmaa2.NewClient(srv.URL)
	defer c.Close()
	res, err := Send(context.Background(), c, x, Options{Session: "s", Prefix: "p"})
	if err != nil {
		t.Fatal(err)
	}
	if res.Sent != 1000 || len(res.Errors) > 0 {
		t.Fatalf("%v", res)
	}
	for _, q := range []struct {
		name      string
		got, want time.Duration
	}{{"p90", res.Answered.At(90), 1500 * time.Millisecond}, {"p99", res.Answered.At(99), 1950 * time.Millisecond},
		{"max", res.Answered.Max(), 2 * time.Second}} {
		if off := math.Abs(q.got.Seconds()-q.want.Seconds()) / 2; off > 0.02 {
			return fmt.Errorf("%s is %v, want %v: off by %.1f%% of the pause", q.name, q.got, q.want, 100*off)
		}
	}
	return nil
}

// A scheduler that is not there is told as such.
func TestNobodyThere(t *testing.T) {
	c := drmaa2.NewClient("127.0.0.1:1")
	c.RetryFor = 0
	if _, err := Send(context.Background(), c, &Trace{}, Options{Session: "s"}); !errors.Is(err, drmaa2.ErrDrmCommunication) {
		t.Error(err)
	}
}
