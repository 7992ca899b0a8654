package load

import (
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

	"flaxshelf.example/flaxshelf/drmaa2"
)

// pausing answers submissions at once, except during a pause, like a process that is stopped.
type pausing struct {
	pauseStart time.Duration // since the first submission
	pauseEnd   time.Duration

	mu    sync.Mutex
	start time.Time // of the first submission
	jobs  int
}

func (p *pausing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/events") {
		w.WriteHeader(200)
		<-r.Context().Done()
		return
	}
	p.mu.Lock()
	if p.start.IsZero() && strings.HasSuffix(r.URL.Path, "/jobs") {
		p.start = time.Now()
	}
	since := time.Since(p.start)
	p.jobs++
	id := fmt.Sprint(p.jobs)
	p.mu.Unlock()
	if since >= p.pauseStart && since < p.pauseEnd {
		time.Sleep(p.pauseEnd - since)
	}
	_ = json.NewEncoder(w).Encode(drmaa2.Submitted{Jobs: []drmaa2.JobInfo{{JobID: id}}})
}

// A pause of 2 s appears in the percentiles in full: of 5 s of steady load two fifths meet it, evenly, so the 90th percentile
// is three quarters of the pause, and the longest is all of it.
//
// A machine that is busy with other tests adds delays of its own, so the best of three attempts counts.
func TestPauseIsMeasured(t *testing.T) {
	for attempt := 1; ; attempt++ {
		err := measurePause(t)
		if err == nil {
			return
		}
		if t.Log(err); attempt == 3 {
			t.Fatal("the pause was not measured in full in three attempts")
		}
	}
}

// measurePause sends a steady load to a server that pauses, and returns an error if the percentiles are off by over 2%.
func measurePause(t *testing.T) error {
	srv := httptest.NewServer(&pausing{pauseStart: time.Second, pauseEnd: 3 * time.Second})
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

// A scheduler that cannot be reached is reported as such.
func TestSendUnreachable(t *testing.T) {
	c := drmaa2.NewClient("127.0.0.1:1")
	c.RetryFor = 0
	if _, err := Send(context.Background(), c, &Trace{}, Options{Session: "s"}); !errors.Is(err, drmaa2.ErrDrmCommunication) {
		t.Error(err)
	}
}
