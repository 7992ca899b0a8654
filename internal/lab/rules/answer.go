package rules

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/codec/httpcodec"
)

// work is a job that a scheduler took, as its clients see it.
type work struct {
	id, scheduler string
	life          int // of the scheduler, counted by its kills
	asked         time.Duration
	giveUp        time.Duration
	timed         bool // its outcome is due giveUp after asked
	again         bool
	asks          map[int]*ask
	state         string
	final         string
	rev           uint64
}

// ask is one ask for a job.
type ask struct {
	from    time.Duration
	outcome string
	at      time.Duration
}

// answered reads a whole response.
func (c *checker) answered(k *conn, q *request, r *httpcodec.Response) {
	isSubmission := q.method == "POST" && (strings.HasSuffix(q.path, "/jobs") || strings.HasSuffix(q.path, "/arrays"))
	if isSubmission {
		c.v.Submitted++
	}
	if r.Status >= 300 {
		var e drmaa2.Error
		if isSubmission {
			if json.Unmarshal(r.Body, &e) != nil || e.Code == "" {
				e.Code = drmaa2.ErrorCode("status " + strconv.Itoa(r.Status))
			}
			c.v.Turned[string(e.Code)]++
		}
		return
	}
	var out drmaa2.Submitted
	if json.Unmarshal(r.Body, &out) != nil {
		return
	}
	for i := range out.Jobs {
		if isSubmission {
			c.took(k.to, q, &out, &out.Jobs[i])
		}
		c.seen(k.to, &out.Jobs[i])
	}
}

func (c *checker) took(scheduler string, q *request, out *drmaa2.Submitted, i *drmaa2.JobInfo) {
	if c.works[i.JobID] != nil {
		return
	}
	w := &work{id: i.JobID, scheduler: scheduler, life: c.lives[scheduler], asked: q.at, asks: map[int]*ask{}}
	c.works[i.JobID] = w
	c.v.Taken++
	var s drmaa2.Submission
	if json.Unmarshal(q.body, &s) != nil {
		return
	}
	w.again = s.Again
	w.giveUp = c.giveUp(&s.Template)
	// A job that may be kept back on purpose has no outcome due, nor has one that was taken by an earlier request.
	w.timed = !out.Existing && !s.Template.SubmitAsHold && s.Template.StartTime == nil &&
		(s.Bulk == nil || s.Bulk.MaxParallel == 0)
}

func (c *checker) giveUp(t *drmaa2.JobTemplate) time.Duration {
	if d, err := time.ParseDuration(t.ImplementationSpecific[drmaa2.AttrGiveUp]); err == nil {
		return d
	}
	for _, k := range c.f.Classes {
		if k.Name == t.JobCategory || t.JobCategory == "" && len(c.f.Classes) == 1 {
			return k.GiveUp
		}
	}
	return 0
}

// seen takes what a client is told of a job, at the time when it left the scheduler.
func (c *checker) seen(scheduler string, i *drmaa2.JobInfo) {
	w := c.works[i.JobID]
	if w == nil { // its submission was answered to nobody, as when the answer was cut off
		w = &work{id: i.JobID, scheduler: scheduler, life: c.lives[scheduler], asked: c.now, asks: map[int]*ask{}}
		c.works[i.JobID] = w
		c.v.Taken++
	}
	if w.life != c.lives[scheduler] { // found again by a later life: its clock begins anew
		w.life, w.timed, w.final = c.lives[scheduler], false, ""
		w.asks, w.rev = map[int]*ask{}, 0
	}
	rule := &c.v.Rules[OneAnswer]
	n, _ := strconv.Atoi(i.ImplementationSpecific[drmaa2.AttrPlacementRequests])
	a := w.asks[n]
	if a == nil {
		a = &ask{from: c.now}
		if n <= 1 {
			a.from = w.asked
		}
		w.asks[n] = a
	}
	if o := i.ImplementationSpecific[drmaa2.AttrOutcome]; o != "" && o != a.outcome {
		if a.outcome != "" {
			c.broken(OneAnswer, "job %s, ask %d: told %s, then %s", w.id, n, a.outcome, o)
		} else {
			rule.Checked++
			c.v.Outcomes[o]++
			if w.timed && n <= 1 && w.giveUp > 0 && c.now > c.due(scheduler, a.from+w.giveUp) {
				c.broken(OneAnswer, "job %s: its outcome %s came %v after its owner had given up", w.id, o,
					(c.now - a.from - w.giveUp).Round(time.Millisecond))
			}
		}
		a.outcome, a.at = o, c.now
	}
	// Answers and streams leave on connections of their own: what is older than what was seen tells no state.
	rev, _ := strconv.ParseUint(i.ImplementationSpecific[drmaa2.AttrRevision], 10, 64)
	if rev < w.rev {
		return
	}
	w.rev, w.state = rev, string(i.JobState)
	if i.JobState == drmaa2.QueuedHeld || i.JobState == drmaa2.RequeuedHeld {
		w.timed = false
	}
	if i.JobState.Terminated() {
		if w.final != "" && w.final != w.state {
			c.broken(OneAnswer, "job %s ended as %s, then as %s", w.id, w.final, w.state)
		}
		w.final = w.state
	} else if w.final != "" {
		c.broken(OneAnswer, "job %s ended as %s and is %s again", w.id, w.final, w.state)
	}
}

// eventStream reads the events of a streamed body that have come since.
func (c *checker) eventStream(k *conn, r *httpcodec.Response) {
	for {
		rest := r.Body[k.events:]
		i := bytes.Index(rest, []byte("\n\n"))
		if i < 0 {
			break
		}
		for _, line := range bytes.Split(rest[:i], []byte("\n")) {
			data, ok := bytes.CutPrefix(line, []byte("data: "))
			var info drmaa2.JobInfo
			if ok && json.Unmarshal(data, &info) == nil {
				c.seen(k.to, &info)
			}
		}
		k.events += i + 2
	}
	if k.events > 1<<16 { // a long stream is not kept
		r.Body = append(r.Body[:0], r.Body[k.events:]...)
		k.events = 0
	}
}

// unanswered judges, at the end, the jobs that never had an outcome.
func (c *checker) unanswered() {
	for _, w := range c.works {
		c.v.States[w.state]++
		has := false
		for _, a := range w.asks {
			has = has || a.outcome != ""
		}
		if w.life != c.lives[w.scheduler] {
			c.v.Orphaned++
			continue
		}
		if !has && w.timed && w.giveUp > 0 && c.now > c.due(w.scheduler, w.asked+w.giveUp) {
			c.v.Rules[OneAnswer].Checked++
			c.broken(OneAnswer, "job %s: no outcome was told, %v after its owner had given up", w.id,
				(c.now - w.asked - w.giveUp).Round(time.Millisecond))
		}
	}
}

func (c *checker) broken(rule int, format string, args ...any) {
	r := &c.v.Rules[rule]
	r.Broken = append(r.Broken, Finding{c.now - c.start, fmt.Sprintf(format, args...)})
}
