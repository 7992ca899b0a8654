package emulator

import (
	"container/heap"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"flaxshelf.example/flaxshelf/internal/lab/scenario"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// grace is how much longer than its outcome is due an owner listens for it, as in trials.
const grace = 2 * time.Second

// warmUp is simulated time before the day begins, in which schedulers connect.
const warmUp = 500 * Time(time.Millisecond)

// What servers tell owners.
type (
	answer struct {
		key, job, err string
		server        int
	}
	told struct {
		info   scheduler.Info
		server int
		at     Time
	}
	serverGone struct{ server int }
	// surge is what the director makes of the load of a class: a factor, or the share of one service.
	surge struct {
		class       string
		factor, hot float64
	}
)

// owners submit the load and account for every submission. They are one entity.
type owners struct {
	id    int32
	w     *world
	in    inbox
	lines *lines
	loads []loadState
	due   todos
	subs  map[string]*submitted
	stats *stats
	from  time.Duration // submissions before it don't count

	factors map[string]float64
	hot     map[string]float64
	n       int64
}

type loadState struct {
	arrivals arrivals
	next     scenario.Arrival
	ok       bool
}

type submitted struct {
	a       scenario.Arrival
	spec    scheduler.Spec
	job     string
	outcome scheduler.Outcome
	end     string
	orphan  bool
	due     Time
	closed  bool
	last    string // outcome of an ask after which its owner asks again
}

// todo is something that an owner does later.
type todo struct {
	at Time
	n  int64
	do func(now Time, out *outbox)
}

type todos []todo

func (t todos) Len() int           { return len(t) }
func (t todos) Less(i, j int) bool { return t[i].at < t[j].at || t[i].at == t[j].at && t[i].n < t[j].n }
func (t todos) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *todos) Push(x any)        { *t = append(*t, x.(todo)) }
func (t *todos) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = todo{}
	*t = old[:len(old)-1]
	return x
}

func newOwners(w *world) *owners {
	o := &owners{w: w, lines: newLines(w.seed, 0), subs: map[string]*submitted{}, factors: map[string]float64{},
		hot: map[string]float64{}, stats: newStats(w.day)}
	var sources []arrivals
	for i := range w.day.Load {
		sources = append(sources, w.day.Arrivals(i, w.seed))
	}
	if w.played != nil {
		sources = []arrivals{w.played}
	}
	for _, a := range sources {
		s := loadState{arrivals: a}
		s.next, s.ok = s.arrivals.Next(1, 0)
		o.loads = append(o.loads, s)
	}
	return o
}

func (o *owners) take(m message) { o.in.put(m) }

func (o *owners) next() Time {
	t := o.in.next()
	if len(o.due) > 0 {
		t = min(t, o.due[0].at)
	}
	for i := range o.loads {
		if o.loads[i].ok {
			t = min(t, Epoch+warmUp+o.loads[i].next.At)
		}
	}
	return t
}

func (o *owners) later(at Time, do func(now Time, out *outbox)) {
	o.n++
	heap.Push(&o.due, todo{at, o.n, do})
}

func (o *owners) run(end Time, out *outbox) {
	for _, m := range o.in.due(end) {
		o.hear(m, out)
	}
	for len(o.due) > 0 && o.due[0].at < end {
		t := heap.Pop(&o.due).(todo)
		t.do(t.at, out)
	}
	for i := range o.loads {
		l := &o.loads[i]
		for l.ok && Epoch+warmUp+l.next.At < end {
			o.submit(l.next, out)
			class := l.next.Load.Class
			factor := 1.0
			for _, k := range []string{"", class} {
				if f := o.factors[k]; f > 0 {
					factor *= f
				}
			}
			l.next, l.ok = l.arrivals.Next(factor, max(o.hot[class], o.hot[""]))
		}
	}
}

func (o *owners) submit(a scenario.Arrival, out *outbox) {
	at := Epoch + warmUp + a.At
	s := &submitted{a: a}
	set := o.w.servers[a.Scheduler].set
	s.spec = scheduler.Spec{Key: a.Key, Session: "", Name: a.Load.Class, Service: a.Service,
		Class: set.ClassIndex(a.Load.Class), Tenant: set.TenantIndex(a.Load.Tenant), Cores: a.Cores, Memory: a.Memory,
		ExpectedRuntime: a.Life, Rerunnable: a.Load.Rerunnable}
	class := set.Classes[s.spec.Class]
	s.spec.Priority = class.Priority
	if s.spec.Cores <= 0 {
		s.spec.Cores = class.Cores
	}
	if s.spec.Memory <= 0 {
		s.spec.Memory = class.Memory
	}
	s.due = at + max(class.PlacementTimeout.Duration()+o.w.day.Rules.AnswerSlack.Duration()+grace, a.Load.Patience.Duration())
	o.subs[a.Key] = s
	if a.At >= o.from {
		o.stats.submitted(a.Load.Class)
	}
	o.send(s, at, out)
	o.later(s.due, func(Time, *outbox) { o.close(s) })
}

func (o *owners) send(s *submitted, now Time, out *outbox) {
	to := o.w.servers[s.a.Scheduler].id
	out.send(o.lines.arrival(now, to), to, submission{s.spec})
}

// close accounts for a submission at the end of its time.
func (o *owners) close(s *submitted) {
	if s.closed {
		return
	}
	switch {
	case s.outcome != "":
		s.end = string(s.outcome)
	case s.end != "":
	case s.last != "":
		s.end = s.last
	case s.orphan:
		s.end = "its scheduler was killed"
	default:
		s.end = "no outcome"
	}
	s.closed = true
	o.stats.ends[s.end]++
	delete(o.subs, s.a.Key)
}

func (o *owners) hear(m message, out *outbox) {
	switch b := m.body.(type) {
	case answer:
		s := o.subs[b.key]
		if s == nil {
			return
		}
		switch {
		case b.err == "unreached" && s.outcome == "":
			s.orphan = true
			o.again(s, m.at)
		case b.err != "" && s.orphan:
			o.again(s, m.at)
		case b.err != "":
			if s.end = "turned away: " + b.err; o.retry(s, m.at) {
				s.end = ""
			}
		default:
			first := s.job == ""
			s.job = b.job
			if first {
				o.verbs(s, m.at)
			}
		}
	case told:
		o.told(&b)
	case surge:
		o.factors[b.class], o.hot[b.class] = b.factor, b.hot
	case serverGone:
		for _, s := range o.sorted() {
			if s.a.Scheduler == b.server && s.outcome == "" && s.end == "" {
				s.orphan = true
				o.again(s, m.at)
			}
		}
	}
}

// retry has an owner ask again for work that was not placed, while its patience lasts.
func (o *owners) retry(s *submitted, now Time) bool {
	wait := s.a.Load.Retry.Duration()
	if wait <= 0 {
		return false
	}
	at := now + wait/2 + Time(o.lines.rng.Int64N(int64(wait)))
	if at >= Epoch+warmUp+s.a.At+s.a.Load.Patience.Duration() {
		return false
	}
	o.stats.retries++
	o.later(at, func(now Time, out *outbox) { o.send(s, now, out) })
	return true
}

// sorted lists the submissions that are open in the order of their keys' times.
func (o *owners) sorted() []*submitted {
	all := make([]*submitted, 0, len(o.subs))
	for _, s := range o.subs {
		all = append(all, s)
	}
	sortSubs(all)
	return all
}

// again asks anew for a job whose scheduler was killed, while its owner still waits.
func (o *owners) again(s *submitted, now Time) {
	at := now + 200*Time(time.Millisecond)
	if at >= s.due-grace {
		return
	}
	s.spec.Retry = true
	o.later(at, func(now Time, out *outbox) {
		if s.outcome == "" {
			o.send(s, now, out)
		}
	})
}

func (o *owners) verbs(s *submitted, now Time) {
	l := s.a.Load
	at := now + Time(s.a.Pause)
	to := o.w.servers[s.a.Scheduler].id
	send := func(at Time, verb scheduler.Verb) {
		o.later(at, func(now Time, out *outbox) {
			out.send(o.lines.arrival(now, to), to, command{verb, s.job})
		})
	}
	switch {
	case s.a.Verb < l.Terminate:
		send(at, scheduler.Terminate)
	case s.a.Verb < l.Terminate+l.Hold:
		send(now, scheduler.Hold)
		send(at, scheduler.Release)
	}
}

func (o *owners) told(b *told) {
	i := &b.info
	if i.State.Ended() {
		o.stats.ended[i.SubState]++
		return
	}
	o.stats.outcome(o.w.day.Classes[i.Spec.Class].Name, i.Outcome)
	s := o.subs[i.Spec.Key]
	if s == nil || s.outcome != "" || i.Outcome == scheduler.OutcomeCanceled && !(s.a.Verb < s.a.Load.Terminate) {
		return
	}
	if i.Outcome != scheduler.OutcomePlaced && i.Outcome != scheduler.OutcomeCanceled && o.retry(s, b.at) {
		s.last = string(i.Outcome)
		return
	}
	s.outcome = i.Outcome
	if i.Outcome == scheduler.OutcomePlaced && s.a.At >= o.from {
		class := o.w.day.Class(s.a.Load.Class)
		o.stats.placed(class.Name, b.at-(Epoch+warmUp+s.a.At), class.LatencyObjective.Duration())
	}
}

// stats are what owners have seen.
type stats struct {
	retries     int
	ends, ended map[string]int
	classes     map[string]*ClassReport
	order       []string
}

func newStats(d *scenario.Day) *stats {
	s := &stats{ends: map[string]int{}, ended: map[string]int{}, classes: map[string]*ClassReport{}}
	for _, c := range d.Classes {
		s.order = append(s.order, c.Name)
		s.classes[c.Name] = &ClassReport{Class: c.Name, Outcomes: map[string]int{},
			Wait: hdrhistogram.New(1, math.MaxInt32*1000, 3)}
	}
	return s
}

func (s *stats) submitted(class string) { s.classes[class].Submitted++ }

func (s *stats) outcome(class string, o scheduler.Outcome) { s.classes[class].Outcomes[string(o)]++ }

func (s *stats) placed(class string, wait, aim time.Duration) {
	c := s.classes[class]
	_ = c.Wait.RecordValue(max(int64(wait/time.Microsecond), 1))
	c.Placed++
	if wait <= aim {
		c.InTime++
	}
}
