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
	"testing/synctest"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
)

// steadyLoad returns the given number of jobs at 200 per second.
func steadyLoad(jobs int) []Job {
	all := make([]Job, jobs)
	for i := range all {
		all[i] = Job{At: time.Duration(i) * 5 * time.Millisecond, Class: "c"}
	}
	return all
}

// pause simulates a scheduler that does not answer for an interval, like a stopped process. The interval is relative to the
// first submission.
type pause struct {
	start, end time.Duration

	mu              sync.Mutex
	firstSubmission time.Time
	submissions     int
}

// submit counts a submission and returns its number. A submission received during the pause is answered at its end.
func (p *pause) submit() int {
	p.mu.Lock()
	if p.firstSubmission.IsZero() {
		p.firstSubmission = time.Now()
	}
	since := time.Since(p.firstSubmission)
	p.submissions++
	number := p.submissions
	p.mu.Unlock()
	if since >= p.start && since < p.end {
		<-time.After(p.end - since)
	}
	return number
}

// pausingSession is a job session of a scheduler that pauses. It uses no network, so that it can run on a fake clock.
type pausingSession struct{ *pause }

func (s pausingSession) RunJob(context.Context, drmaa2.JobTemplate) (*drmaa2.Job, error) {
	s.submit()
	return nil, nil
}

func (s pausingSession) Watch(ctx context.Context, _ func(drmaa2.JobInfo) bool) error {
	<-ctx.Done()
	return ctx.Err()
}

// pausingServer is the HTTP API of a scheduler that pauses.
type pausingServer struct{ *pause }

func (s pausingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasSuffix(r.URL.Path, "/events"):
		w.WriteHeader(http.StatusOK)
		<-r.Context().Done()
	case strings.HasSuffix(r.URL.Path, "/jobs"):
		id := fmt.Sprint(s.submit())
		_ = json.NewEncoder(w).Encode(drmaa2.Submitted{Jobs: []drmaa2.JobInfo{{JobID: id}}})
	default:
		_ = json.NewEncoder(w).Encode(drmaa2.Submitted{})
	}
}

// pauseCase is an expected statistic of the latencies for 5 s of steady load with a pause of 2 s. Two fifths of the submissions
// are sent during the pause, evenly spaced, so the 90th percentile is three quarters of the pause, and the maximum all of it.
type pauseCase struct {
	name  string
	value func(*LatencyHistogram) time.Duration
	want  time.Duration
}

var pauseCases = []pauseCase{
	{"p90", func(l *LatencyHistogram) time.Duration { return l.Percentile(90) }, 1500 * time.Millisecond},
	{"p99", func(l *LatencyHistogram) time.Duration { return l.Percentile(99) }, 1950 * time.Millisecond},
	{"max", func(l *LatencyHistogram) time.Duration { return l.Max() }, 2 * time.Second},
}

// pauseTolerance is the accepted deviation, 0.5% of the pause.
const pauseTolerance = 10 * time.Millisecond

func newPause() *pause { return &pause{start: time.Second, end: 3 * time.Second} }

// A sender that waited for answers would send nothing during the pause and miss most of its latency (coordinated omission).
func TestSenderMeasuresPauseInFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		result, err := newSender(pausingSession{newPause()}).send(t.Context(), steadyLoad(1000), SendOptions{KeyPrefix: "p"})
		if err != nil {
			t.Fatal(err)
		}
		if result.Sent != 1000 || result.Late != 0 || len(result.Errors) > 0 {
			t.Errorf("got %v, want 1000 submissions, none late and no errors", result)
		}
		for _, c := range pauseCases {
			got := c.value(result.ResponseLatency)
			if off := math.Abs((got - c.want).Seconds()); off > pauseTolerance.Seconds() {
				t.Errorf("%s: got %v, want %v within %v", c.name, got, c.want, pauseTolerance)
			}
		}
	})
}

// Submissions over HTTP are also sent at their intended times during a pause, so the latencies include all of it. A busy machine
// can only increase them, so this test has lower bounds only; TestSenderMeasuresPauseInFull has both bounds.
func TestSendOverHTTPMeasuresNoLessThanPause(t *testing.T) {
	server := httptest.NewServer(pausingServer{newPause()})
	defer server.Close()
	client := drmaa2.NewClient(server.URL)
	defer client.Close()
	result, err := Send(t.Context(), client, &Trace{Jobs: steadyLoad(1000)}, SendOptions{SessionName: "s", KeyPrefix: "p"})
	if err != nil {
		t.Fatal(err)
	}
	if result.Sent != 1000 || len(result.Errors) > 0 {
		t.Errorf("got %v, want 1000 submissions and no errors", result)
	}
	for _, c := range pauseCases {
		t.Run(c.name, func(t *testing.T) {
			if got, want := c.value(result.ResponseLatency), c.want-2*pauseTolerance; got < want {
				t.Errorf("got %v, want at least %v", got, want)
			}
		})
	}
}

func TestSendReportsUnreachableScheduler(t *testing.T) {
	client := drmaa2.NewClient("127.0.0.1:1")
	client.RetryFor = 0
	_, err := Send(t.Context(), client, &Trace{}, SendOptions{SessionName: "s"})
	if !errors.Is(err, drmaa2.ErrDrmCommunication) {
		t.Errorf("got error %v, want %v", err, drmaa2.ErrDrmCommunication)
	}
}

// scriptedSession answers each submission with the outcome or the error that is configured for its idempotency key.
type scriptedSession struct {
	outcomes map[string]string // by key; without an entry no outcome is reported
	errors   map[string]error  // by key; without an entry the submission is accepted
	events   chan drmaa2.JobInfo
}

func (s *scriptedSession) RunJob(_ context.Context, template drmaa2.JobTemplate) (*drmaa2.Job, error) {
	key := template.ImplementationSpecific[drmaa2.AttrKey]
	if outcome := s.outcomes[key]; outcome != "" {
		attributes := map[string]string{drmaa2.AttrKey: key, drmaa2.AttrOutcome: outcome}
		s.events <- drmaa2.JobInfo{ImplementationSpecific: attributes}
	}
	return nil, s.errors[key]
}

func (s *scriptedSession) Watch(ctx context.Context, handle func(drmaa2.JobInfo) bool) error {
	for {
		select {
		case info := <-s.events:
			handle(info)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func TestSenderCountsOutcomesAndErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		session := &scriptedSession{
			outcomes: map[string]string{"p-0": "placed", "p-1": "placed", "p-2": "refused"},
			errors: map[string]error{"p-3": &drmaa2.Error{Code: drmaa2.ErrInvalidArgument.Code},
				"p-4": errors.New("broken")},
			events: make(chan drmaa2.JobInfo),
		}
		start := time.Now()
		opt := SendOptions{KeyPrefix: "p", OutcomeTimeout: time.Second}
		result, err := newSender(session).send(t.Context(), steadyLoad(6), opt)
		if err != nil {
			t.Fatal(err)
		}
		wantErrors := fmt.Sprint(map[string]int{string(drmaa2.ErrInvalidArgument.Code): 1, "broken": 1})
		if got := fmt.Sprint(result.Errors); got != wantErrors {
			t.Errorf("got errors %s, want %s", got, wantErrors)
		}
		wantOutcomes := fmt.Sprint(map[string]int{"placed": 2, "refused": 1, outcomeUnknown: 1})
		if got := fmt.Sprint(result.Outcomes); got != wantOutcomes {
			t.Errorf("got outcomes %s, want %s", got, wantOutcomes)
		}
		const text = "outcomes placed 2, rejected 1, unknown 1"
		if got := result.String(); !strings.Contains(got, text) {
			t.Errorf("got text %q, want it to contain %q", got, text)
		}
		if got, want := time.Since(start), 25*time.Millisecond+time.Second; got < want || got > want+pendingPollInterval {
			t.Errorf("got a result after %v, want it after %v: the last submission plus the outcome timeout", got, want)
		}
	})
}
