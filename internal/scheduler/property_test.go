package scheduler

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxshelf.example/flaxshelf"
)

// world is nodes and owners that do anything that the wires allow, in any order, and what must hold of the core's
// answers to it.
type world struct {
	t        *rapid.T
	c, twin  *Core
	now      Time
	wake     Time
	out      map[string]bool // nodes that are not in, by the core's last list
	up       map[string]bool
	offers   []*offerSeen
	byID     map[string]*offerSeen
	jobs     []string
	outcomes map[string]Outcome // by job and ask
	fenced   uint64
	fencedAt Time
	stalled  bool
}

type offerSeen struct {
	SendOffer
	at       Time
	closed   bool // answered, stopped, timed out or its connection broken
	proved   bool // refused, not sent
	accepted bool
	ended    bool
}

var nodeNames = []string{"n1", "n2", "n3"}

// TestAnything drives a core with random worlds. It holds that every ask has one outcome, no job is offered while
// it is offered or runs, unsafe work is offered again only after proof, nothing goes to a node that is not in or
// before the word after a stall is in, counts agree, and equal inputs give equal outputs.
func TestAnything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Second, out: map[string]bool{}, up: map[string]bool{},
			byID: map[string]*offerSeen{}, outcomes: map[string]Outcome{}}
		cfg := settingsForTests()
		cfg.Limits.MaxPending = 20
		w.c, _ = New(cfg)
		w.twin, _ = New(cfg)
		w.step(NodesUpdated{Complete: true, Machines: w.machines()}, NodeUp{Node: "n1"}, NodeUp{Node: "n2"})
		w.up["n1"], w.up["n2"] = true, true
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			w.act()
		}
		w.rest()
	})
}

func (w *world) machines() []flaxshelf.Machine {
	var all []flaxshelf.Machine
	for i, n := range nodeNames {
		machine := flaxshelf.Machine{ID: n, Zone: []string{"a", "a", "b"}[i]}
		if w.out[n] {
			machine.State = flaxshelf.Draining
		}
		all = append(all, machine)
	}
	return all
}

func (w *world) act() {
	t := w.t
	pick := func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(t, what) }
	node := nodeNames[pick(len(nodeNames), "node")]
	switch pick(16, "act") {
	case 0, 1, 2:
		w.step(Submit{Req: 1, Spec: Spec{Key: fmt.Sprint("k", pick(30, "key")), Class: pick(4, "class"), Tenant: -1,
			Service: fmt.Sprint(pick(2, "service")), Cores: 1, Memory: 1, Rerunnable: pick(2, "rerun") == 0,
			Hold: pick(8, "hold") == 0, Retry: pick(4, "again") == 0}})
	case 3, 4, 5, 6:
		if len(w.offers) > 0 {
			w.reply(w.offers[pick(len(w.offers), "offer")], pick(7, "reply"))
		}
	case 7:
		w.up[node] = false
		for _, o := range w.offers {
			if o.Node == node && !o.accepted {
				o.closed = true
			}
		}
		w.step(NodeDown{Node: node})
	case 8:
		w.up[node] = true
		in := NodeUp{Node: node}
		for _, o := range w.offers {
			if o.Node == node && !o.accepted {
				o.closed = true // a node drops what it was asked over a former connection
			}
			if o.Node == node && o.accepted && !o.ended {
				in.Running = append(in.Running, RunningAttempt{Attempt: o.Attempt, Job: o.Job, Request: o.Request, Spec: *o.Spec})
			}
		}
		w.step(in)
	case 9:
		w.out[node] = !w.out[node]
		w.step(NodesUpdated{Machines: w.machines()})
	case 10, 11:
		if len(w.jobs) > 0 {
			verbs := []Verb{Hold, Release, Terminate, Hold, Release, Reap}
			w.step(Command{Req: 2, Verb: verbs[pick(len(verbs), "verb")], Job: w.jobs[pick(len(w.jobs), "job")]})
		}
	case 12:
		w.stalled = true
		w.advance(time.Duration(pick(3000, "stall")) * time.Millisecond)
		w.stalled = false
		w.step()
	case 13:
		w.step(DiscoverySynced{w.fenced})
	case 14:
		w.step(DiscoveryFailed{})
	default:
		w.advance(time.Duration(pick(700, "pause")) * time.Millisecond)
	}
}

// reply answers an offer, also one that was answered before or given up.
func (w *world) reply(o *offerSeen, how int) {
	if !w.up[o.Node] {
		return
	}
	switch how {
	case 0, 1, 2:
		if o.proved || o.ended {
			return
		}
		o.accepted = true
		w.step(AttemptAccepted{Node: o.Node, Attempt: o.Attempt})
	case 3:
		if o.accepted {
			return
		}
		if !o.closed {
			o.proved = true
		}
		o.closed = true
		w.step(AttemptRejected{Node: o.Node, Attempt: o.Attempt, Reason: flaxshelf.InsufficientMemory})
	case 4:
		if o.accepted {
			return
		}
		o.closed = true
		w.step(AttemptFailed{Node: o.Node, Attempt: o.Attempt})
	case 5:
		if o.accepted && !o.ended {
			w.step(AttemptStarted{Node: o.Node, Attempt: o.Attempt})
		}
	default:
		if o.accepted && !o.ended {
			o.ended, o.closed = true, true
			w.step(AttemptEnded{Node: o.Node, Attempt: o.Attempt, End: End(how % 3), Reason: flaxshelf.Evicted})
		}
	}
}

func (w *world) advance(d time.Duration) {
	until := w.now + d
	for !w.stalled && w.wake > 0 && w.wake < until {
		w.now = max(w.wake, w.now+1)
		w.step()
	}
	w.now = until
	w.step()
}

func (w *world) step(in ...Input) {
	if w.fenced > 0 && w.now-w.fencedAt >= w.c.syncTimeout() {
		w.fenced = 0
	}
	for _, i := range in {
		switch i := i.(type) {
		case DiscoverySynced:
			if i.Token == w.fenced {
				w.fenced = 0
			}
		case DiscoveryFailed:
			w.fenced = 0
		}
	}
	o := w.c.Step(w.now, in)
	if again := w.twin.Step(w.now, in); texts(o) != texts(again) {
		w.t.Fatalf("equal inputs, two outputs:\n%s\n%s", texts(o), texts(again))
	}
	w.wake = o.Wake
	if w.wake < w.now || w.wake > w.now+w.c.cfg.Limits.StallThreshold {
		w.t.Fatalf("at %v the core wants to be woken at %v", w.now, w.wake)
	}
	for _, effect := range o.Effects {
		w.judge(effect)
	}
	w.count()
}

func texts(o Output) string {
	var b strings.Builder
	for _, effect := range o.Effects {
		b.WriteString(text(effect, true) + "\n")
	}
	return b.String()
}

func (w *world) judge(effect Effect) {
	switch e := effect.(type) {
	case SyncDiscovery:
		w.fenced, w.fencedAt = e.Token, w.now
	case Answer:
		if e.Err == nil && e.Req == 1 && !e.Existing {
			w.jobs = append(w.jobs, e.Jobs[0].ID)
		}
	case SendStop:
		if o := w.byID[e.Attempt]; o != nil {
			o.closed = true
		}
	case LogOutcome:
		if e.Info.State.Ended() {
			return
		}
		at := fmt.Sprint(e.Info.ID, "#", e.Info.Request)
		if old, ok := w.outcomes[at]; ok {
			w.t.Fatalf("%s: outcome %s, then %s", at, old, e.Info.Outcome)
		}
		w.outcomes[at] = e.Info.Outcome
	case SendOffer:
		w.judgeOffer(e)
	}
}

func (w *world) judgeOffer(e SendOffer) {
	switch {
	case w.out[e.Node]:
		w.t.Fatalf("%s is offered to %s, which drains", e.Attempt, e.Node)
	case !w.up[e.Node]:
		w.t.Fatalf("%s is offered to %s, which is down", e.Attempt, e.Node)
	case w.fenced > 0:
		w.t.Fatalf("%s is offered at %v though the word after the stall of %v is not in", e.Attempt, w.now, w.fencedAt)
	case w.byID[e.Attempt] != nil:
		w.t.Fatalf("%s is offered twice", e.Attempt)
	}
	class := w.c.cfg.Module.Classes[e.Spec.Class]
	for _, o := range w.offers {
		if o.Job != e.Job {
			continue
		}
		if !o.closed && w.now < o.at+o.ValidFor {
			w.t.Fatalf("%s is offered while %s is in flight or runs", e.Attempt, o.Attempt)
		}
		if o.Request == e.Request && class.Idempotency == flaxshelf.NonIdempotent && !o.proved {
			w.t.Fatalf("unsafe: %s is offered though %s may have run", e.Attempt, o.Attempt)
		}
		if o.Request == e.Request && class.Idempotency == flaxshelf.IdempotentByKey && !o.proved &&
			(o.Node == "n3") != (e.Node == "n3") {
			w.t.Fatalf("keyed: %s is offered to %s though %s at %s may have run", e.Attempt, e.Node, o.Attempt, o.Node)
		}
	}
	o := &offerSeen{SendOffer: e, at: w.now}
	w.offers, w.byID[e.Attempt] = append(w.offers, o), o
}

// count compares the core's counts with what it holds.
func (w *world) count() {
	open, live, ended := 0, 0, 0
	for id, job := range w.c.jobs {
		if id != job.id {
			continue
		}
		if job.requestOpen {
			open++
		}
		if job.state.Ended() {
			ended++
			if job.requestOpen {
				w.t.Fatalf("%s has ended with an open ask", id)
			}
		} else {
			live++
		}
	}
	if got := []int{w.c.openRequests, w.c.unfinishedJobs, w.c.endedJobCount}; !reflect.DeepEqual(got, []int{open, live, ended}) {
		w.t.Fatalf("counts open, live, ended are %v, held are %d, %d, %d", got, open, live, ended)
	}
}

// rest lets time pass without a word from anybody: every ask must have its outcome.
func (w *world) rest() {
	w.step(DiscoverySynced{w.fenced})
	for range 200 {
		w.now = max(w.wake, w.now+time.Millisecond)
		w.step()
	}
	w.advance(9 * time.Second)
	for id, job := range w.c.jobs {
		if job.requestOpen && w.now > job.placementDeadline+w.c.cfg.Module.AnswerSlack {
			w.t.Fatalf("%s: its ask was due at %v and is open at %v: %s/%s", id, job.placementDeadline, w.now, job.state, job.subState)
		}
	}
}
