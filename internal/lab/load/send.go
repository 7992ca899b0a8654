package load

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"flaxshelf.example/flaxshelf/drmaa2"
)

// Tail is a latency's distribution in microseconds, from the intended time of each submission. What the sender or the
// scheduler was late with counts in full.
type Tail struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// longest is what a Tail tells apart at most.
const longest = time.Hour

// NewTail makes an empty one with three digits.
func NewTail() *Tail { return &Tail{h: hdrhistogram.New(1, longest.Microseconds(), 3)} }

// Record adds a latency.
func (t *Tail) Record(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.h.RecordValue(min(max(d.Microseconds(), 1), longest.Microseconds())) // within its bounds
}

// At is the latency that a share of all, in percent, does not exceed.
func (t *Tail) At(percent float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.h.ValueAtQuantile(percent)) * time.Microsecond
}

// Max is the longest.
func (t *Tail) Max() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.h.Max()) * time.Microsecond
}

func (t *Tail) String() string {
	return fmt.Sprintf("p50 %v p90 %v p99 %v p99.9 %v max %v", t.At(50), t.At(90), t.At(99), t.At(99.9), t.Max())
}

// Result is what a sent load has brought.
type Result struct {
	Sent     int
	Late     int // left this process over 10 ms after their time
	Answered *Tail
	Placed   *Tail
	Errors   map[string]int
	Outcomes map[string]int
}

// String is the result in words.
func (r *Result) String() string {
	return fmt.Sprintf("%d submissions (%d left late), errors %s, outcomes %s\nanswered: %v\nplaced:   %v\n",
		r.Sent, r.Late,
		counts(r.Errors), counts(r.Outcomes), r.Answered, r.Placed)
}

func counts(m map[string]int) string {
	var all []string
	for k, n := range m {
		all = append(all, fmt.Sprintf("%s %d", k, n))
	}
	sort.Strings(all)
	if all == nil {
		return "none"
	}
	return strings.Join(all, ", ")
}

// lateAfter is when a submission counts as having left late.
const lateAfter = 10 * time.Millisecond

// Options are how a load is sent.
type Options struct {
	Session string
	Speed   float64       // times as fast; 0: 1
	Wait    time.Duration // for outcomes, after the last submission
	Prefix  string        // of keys, unique for each sending
}

// Send sends a load to a scheduler, open-loop: each submission leaves at its time, whatever became of those before.
func Send(ctx context.Context, c *drmaa2.Client, t *Trace, opt Options) (*Result, error) {
	s, err := c.OpenJobSession(ctx, opt.Session)
	if errors.Is(err, drmaa2.ErrInvalidArgument) {
		s, err = c.CreateJobSession(ctx, opt.Session)
	}
	if err != nil {
		return nil, fmt.Errorf("load: session: %w", err)
	}
	if opt.Speed <= 0 {
		opt.Speed = 1
	}
	r := &sending{res: &Result{Answered: NewTail(), Placed: NewTail(), Errors: map[string]int{},
		Outcomes: map[string]int{}},
		due: map[string]time.Time{}}
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	watching := make(chan struct{})
	go func() {
		defer close(watching)
		_ = s.Watch(watch, func(i drmaa2.JobInfo) bool { r.heard(&i); return true })
	}()
	var wg sync.WaitGroup
	begin := time.Now()
	for i := range t.Jobs {
		j := &t.Jobs[i]
		due := begin.Add(time.Duration(float64(j.At) / opt.Speed))
		if wait := time.Until(due); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.send(ctx, s, j, fmt.Sprintf("%s-%d", opt.Prefix, i), due)
		}()
	}
	wg.Wait()
	r.settle(ctx, opt.Wait)
	cancel()
	<-watching
	return r.res, ctx.Err()
}

type sending struct {
	mu  sync.Mutex
	res *Result
	due map[string]time.Time // of keys without an outcome
}

func (r *sending) send(ctx context.Context, s *drmaa2.JobSession, j *Job, key string, due time.Time) {
	r.mu.Lock()
	r.res.Sent++
	if time.Since(due) > lateAfter {
		r.res.Late++
	}
	r.due[key] = due
	r.mu.Unlock()
	own := map[string]string{drmaa2.AttrKey: key}
	if j.Service != "" {
		own[drmaa2.AttrService] = j.Service
	}
	if j.Life > 0 {
		own[drmaa2.AttrExpectedRuntime] = j.Life.String()
	}
	if j.Cores > 0 {
		own[drmaa2.AttrCores] = fmt.Sprint(j.Cores)
	}
	if j.Memory > 0 {
		own[drmaa2.AttrMemory] = fmt.Sprint(j.Memory)
	}
	_, err := s.RunJob(ctx, drmaa2.JobTemplate{RemoteCommand: "load", JobCategory: j.Class, AccountingID: j.Tenant,
		ImplementationSpecific: own})
	r.res.Answered.Record(time.Since(due))
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.due, key)
	var e *drmaa2.Error
	if errors.As(err, &e) {
		r.res.Errors[string(e.Code)]++
	} else {
		r.res.Errors[err.Error()]++
	}
}

func (r *sending) heard(i *drmaa2.JobInfo) {
	own := i.ImplementationSpecific
	if own[drmaa2.AttrOutcome] == "" {
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	due, open := r.due[own[drmaa2.AttrKey]]
	if !open {
		return
	}
	delete(r.due, own[drmaa2.AttrKey])
	r.res.Outcomes[own[drmaa2.AttrOutcome]]++
	if own[drmaa2.AttrOutcome] == "placed" {
		r.res.Placed.Record(now.Sub(due))
	}
}

// settle waits for the outcomes that are open.
func (r *sending) settle(ctx context.Context, wait time.Duration) {
	until := time.Now().Add(wait)
	for time.Now().Before(until) && ctx.Err() == nil {
		r.mu.Lock()
		open := len(r.due)
		r.mu.Unlock()
		if open == 0 {
			return
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.due); n > 0 {
		r.res.Outcomes["none heard"] = n
	}
}
