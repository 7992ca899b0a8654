package trial

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/lab/scenario"
)

// session is the name of the job session in which a trial's owners submit.
const session = "trial"

// grace is how much longer than its outcome is due an owner listens for it.
const grace = 2 * time.Second

// Tally is what the owners have seen, to be set beside what the recording shows.
type Tally struct {
	Submitted int
	Ends      map[string]int // how submissions ended for their owners
	Open      int            // of which nothing is known, though their scheduler lived
	Doubles   int            // asks with two outcomes
	Late      int            // submissions that were sent over 50 ms after their time
	Verbs     map[string]int
}

// String is the tally in words.
func (t *Tally) String() string {
	return fmt.Sprintf("owners: %d submissions (%d sent late): %s; not accounted for %d; two outcomes %d; verbs %s\n",
		t.Submitted, t.Late, counts(t.Ends), t.Open, t.Doubles, counts(t.Verbs))
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

// owners submit the load and hear what becomes of it.
type owners struct {
	c       *cluster
	begin   time.Time
	wg      sync.WaitGroup // submissions
	watch   sync.WaitGroup
	clients []*drmaa2.Client

	mu      sync.Mutex
	t       Tally
	byKey   map[string]*submission
	factors map[string]float64 // of the rate, by class; "" for all
	hot     map[string]float64 // share that goes to one service
}

type submission struct {
	key      string
	outcomes map[string]string // by job and ask
	first    string
	heard    chan struct{} // closed at the first outcome
}

func newOwners(c *cluster, begin time.Time) *owners {
	o := &owners{c: c, begin: begin, byKey: map[string]*submission{}, factors: map[string]float64{},
		hot: map[string]float64{}, t: Tally{Ends: map[string]int{}, Verbs: map[string]int{}}}
	for _, p := range c.schedulers {
		k := drmaa2.NewClient("http://" + p.client.Addr())
		k.RetryFor = 3 * time.Second
		o.clients = append(o.clients, k)
	}
	return o
}

// run submits the load until the end of the day.
func (o *owners) run(ctx context.Context) {
	for i := range o.clients {
		o.watch.Add(1)
		go func() {
			defer o.watch.Done()
			o.listen(ctx, i)
		}()
	}
	var loads sync.WaitGroup
	for i := range o.c.day.Load {
		loads.Add(1)
		go func() {
			defer loads.Done()
			o.load(ctx, i)
		}()
	}
	loads.Wait()
}

// settle waits until what was submitted is accounted for.
func (o *owners) settle(ctx context.Context) {
	done := make(chan struct{})
	go func() { o.wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
		<-done
	}
	select { // jobs that run may end in the rest of the day
	case <-time.After(time.Until(o.begin.Add(scenario.Seconds(o.c.day.Seconds + o.c.day.After)))):
	case <-ctx.Done():
	}
}

func (o *owners) wait() {
	o.watch.Wait()
	for _, k := range o.clients {
		k.Close()
	}
}

func (o *owners) tally() Tally {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.t
}

// load sends the submissions of one load at their times, whatever becomes of them.
func (o *owners) load(ctx context.Context, index int) {
	l := &o.c.day.Load[index]
	arrivals := o.c.day.Arrivals(index, o.c.opt.Seed)
	for {
		a, ok := arrivals.Next(o.now(l.Class))
		if !ok {
			return
		}
		due := o.begin.Add(a.At)
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return
		}
		o.wg.Add(1)
		go func() {
			defer o.wg.Done()
			o.own(ctx, &a, due)
		}()
	}
}

// now is what a burst and a hot service make of a class's load.
func (o *owners) now(class string) (factor, hot float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	factor = 1
	for _, k := range []string{"", class} {
		if x := o.factors[k]; x > 0 {
			factor *= x
		}
	}
	return factor, max(o.hot[class], o.hot[""])
}

func template(a *scenario.Arrival) drmaa2.JobTemplate {
	l := a.Load
	t := drmaa2.JobTemplate{RemoteCommand: l.Class, JobCategory: l.Class, Rerunnable: l.Rerunnable,
		AccountingID: l.Tenant,
		ImplementationSpecific: map[string]string{drmaa2.AttrKey: a.Key, drmaa2.AttrExpectedRuntime: a.Life.String(),
			drmaa2.AttrService: a.Service}}
	if a.Cores > 0 {
		t.ImplementationSpecific[drmaa2.AttrCores] = fmt.Sprint(a.Cores)
	}
	if a.Memory > 0 {
		t.ImplementationSpecific[drmaa2.AttrMemory] = fmt.Sprint(a.Memory)
	}
	return t
}

func (o *owners) giveUp(class string) time.Duration {
	for _, c := range o.c.day.Classes {
		if c.Name == class {
			return c.PlacementTimeout.Duration()
		}
	}
	return 0
}

// own submits one job and sees to it that it is accounted for.
func (o *owners) own(ctx context.Context, a *scenario.Arrival, due time.Time) {
	key, who, l, t := a.Key, a.Scheduler, a.Load, template(a)
	s := &submission{key: key, outcomes: map[string]string{}, heard: make(chan struct{})}
	o.mu.Lock()
	o.byKey[key] = s
	o.t.Submitted++
	if time.Since(due) > 50*time.Millisecond {
		o.t.Late++
	}
	o.mu.Unlock()
	until := due.Add(o.giveUp(l.Class) + o.c.day.Rules.AnswerSlack.Duration() + grace)
	ctx, cancel := context.WithDeadline(ctx, until.Add(grace))
	defer cancel()
	lives, process := 0, o.c.schedulers[who]
	end := "no outcome"
	for again := false; ; again = true {
		lives = process.livesNow()
		job, err := o.submit(ctx, who, t, again)
		if err != nil {
			end = "turned away: " + short(err)
			break
		}
		if !again {
			o.verbs(ctx, job, l, a.Verb, a.Pause)
		}
		lost := o.hear(ctx, s, process, lives, until)
		if s.isHeard() {
			end = s.first
			break
		}
		if !lost || time.Now().After(until) {
			if lost {
				end = "its scheduler was killed"
			}
			break
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if s.first != "" {
		end = s.first
	}
	if end == "no outcome" {
		o.t.Open++
		o.c.opt.Note("no outcome was heard for %s", key)
	}
	o.t.Ends[end]++
	delete(o.byKey, key)
}

func short(err error) string {
	var e *drmaa2.Error
	if errors.As(err, &e) {
		return string(e.Code)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return "no answer in time"
	}
	return err.Error()
}

func (s *submission) isHeard() bool {
	select {
	case <-s.heard:
		return true
	default:
		return false
	}
}

// hear waits for the outcome. It is true where the scheduler that took the job has been killed: the owner then
// asks the next life.
func (o *owners) hear(ctx context.Context, s *submission, p *process, lives int, until time.Time) bool {
	for {
		select {
		case <-s.heard:
			return false
		case <-ctx.Done():
			return p.livesNow() != lives || !p.alive()
		case <-time.After(100 * time.Millisecond):
			if p.livesNow() != lives {
				return true
			}
			if time.Now().After(until) {
				return !p.alive()
			}
		}
	}
}

// submit makes the session where a new life of the scheduler has none.
func (o *owners) submit(ctx context.Context, who int, t drmaa2.JobTemplate, again bool) (*drmaa2.Job, error) {
	for {
		s, err := o.session(ctx, who)
		if err != nil {
			return nil, err
		}
		run := s.RunJob
		if again {
			run = s.RunJobAgain
		}
		job, err := run(ctx, t)
		if errors.Is(err, drmaa2.ErrInvalidSession) && ctx.Err() == nil {
			continue
		}
		return job, err
	}
}

func (o *owners) session(ctx context.Context, who int) (*drmaa2.JobSession, error) {
	k := o.clients[who]
	wait := 50 * time.Millisecond
	for {
		s, err := k.OpenJobSession(ctx, session)
		if errors.Is(err, drmaa2.ErrInvalidArgument) {
			if s, err = k.CreateJobSession(ctx, session); errors.Is(err, drmaa2.ErrInvalidArgument) {
				continue // another owner was faster
			}
		}
		if !errors.Is(err, drmaa2.ErrDrmCommunication) {
			return s, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(wait):
		}
	}
}

// verbs terminates some jobs, and holds and releases some, while they are on their way.
func (o *owners) verbs(ctx context.Context, job *drmaa2.Job, l *scenario.Load, draw float64, pause time.Duration) {
	count := func(what string, err error) {
		o.mu.Lock()
		defer o.mu.Unlock()
		if err != nil {
			what += " (" + short(err) + ")"
		}
		o.t.Verbs[what]++
	}
	switch {
	case draw < l.Terminate:
		time.Sleep(pause)
		count("terminate", job.Terminate(ctx))
	case draw < l.Terminate+l.Hold:
		err := job.Hold(ctx)
		count("hold", err)
		if err == nil || errors.Is(err, drmaa2.ErrDrmCommunication) { // not heard: it may be held
			time.Sleep(pause)
			err := job.Release(ctx)
			for ; errors.Is(err, drmaa2.ErrDrmCommunication) && ctx.Err() == nil; err = job.Release(ctx) {
				time.Sleep(100 * time.Millisecond) // else it would be held for good because a connection broke
			}
			count("release", err)
		}
	}
}

// listen follows the session of one scheduler over all its lives.
func (o *owners) listen(ctx context.Context, who int) {
	for ctx.Err() == nil {
		s, err := o.session(ctx, who)
		if err != nil {
			continue
		}
		_ = s.Watch(ctx, func(i drmaa2.JobInfo) bool {
			o.heard(&i)
			return true
		})
	}
}

func (o *owners) heard(i *drmaa2.JobInfo) {
	own := i.ImplementationSpecific
	outcome := own[drmaa2.AttrOutcome]
	if outcome == "" || outcome == "withdrawn" && !i.JobState.Terminated() {
		return // held by its owner: the ask is off, another follows
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.byKey[own[drmaa2.AttrKey]]
	if s == nil {
		return
	}
	at := i.JobID + "#" + own[drmaa2.AttrPlacementRequests]
	if old := s.outcomes[at]; old != "" && old != outcome {
		o.t.Doubles++
	}
	s.outcomes[at] = outcome
	if s.first == "" {
		s.first = outcome
		close(s.heard)
	}
}

func (p *process) livesNow() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lives
}

func (p *process) alive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}
