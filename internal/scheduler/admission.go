package scheduler

import (
	"strconv"
	"time"

	"flaxshelf.example/flaxshelf"
)

// tryAgain is the wait told to those who are turned away because of a bound.
const tryAgain = time.Second

// maxArray bounds the jobs of one array.
const maxArray = 100000

// submit takes a job or an array, or says why not. What it takes is never dropped later.
func (c *Core) submit(in Submit) {
	n := max(len(in.Indexes), 1)
	s := &in.Spec
	switch {
	case s.Class < 0 || s.Class >= len(c.cfg.Module.Classes):
		c.refuse(in.Req, InvalidArgument, 0, "no class %d", s.Class)
		return
	case n > maxArray:
		c.refuse(in.Req, InvalidArgument, 0, "an array of %d jobs, %d at most", n, maxArray)
		return
	case s.Session != "" && c.sessions[s.Session] == nil:
		c.refuse(in.Req, InvalidSession, 0, "no job session %q", s.Session)
		return
	}
	if s.Key != "" {
		if j := c.keys[s.Key]; j != nil && c.knownKey(in, j) {
			return
		}
	}
	// Risk covered: a core that is behind would take what it can hardly place before its owner gives up.
	if late := c.now - in.ReceivedAt; in.ReceivedAt > 0 && late > c.giveUp(s)/2 {
		c.refuse(in.Req, TryLater, tryAgain, "the scheduler is %v behind", late.Round(time.Millisecond))
		return
	}
	switch {
	case c.draining:
		c.refuse(in.Req, TryLater, c.cfg.Limits.SettleTime, "the scheduler is shutting down")
		return
	case c.nOpen+n > c.cfg.Limits.MaxPending:
		c.refuse(in.Req, TryLater, tryAgain, "%d jobs wait for their outcome, %d at most", c.nOpen,
			c.cfg.Limits.MaxPending)
		return
	case c.nLive+n > c.cfg.Limits.MaxRunning:
		c.refuse(in.Req, TryLater, tryAgain, "%d jobs have not ended, %d at most", c.nLive, c.cfg.Limits.MaxRunning)
		return
	}
	if len(in.Indexes) > 0 {
		c.submitArray(in)
		return
	}
	j := c.newJob(&in.Spec)
	j.came = in.ReceivedAt
	c.answer(in.Req, Answer{Jobs: []Info{j.info()}})
	c.enter(j)
}

// knownKey answers a submission whose key names an earlier job: an owner that did not hear the answer asks
// again and must not start the work twice. Only a job that ended without having been placed makes way for a
// new one, and where it may have run not before Settle.
func (c *Core) knownKey(in Submit, j *job) bool {
	if j.state == Failed && (j.outcome == OutcomeRejected || j.outcome == OutcomeFailed || j.outcome == OutcomeCanceled) {
		wait := j.uncertain + c.cfg.Limits.SettleTime - c.now
		if j.uncertain == 0 || wait <= 0 || c.bearsRepeats(j) {
			return false
		}
		c.refuse(in.Req, TryLater, wait, "an attempt for key %q may have run; it is waited for", in.Spec.Key)
		return true
	}
	a := Answer{Jobs: []Info{j.info()}, Existing: true}
	if j.array != nil {
		a.Array, a.Jobs = j.array.id, j.array.infos()
	}
	c.answer(in.Req, a)
	return true
}

func (c *Core) newID() string {
	c.lastID++
	return c.prefix + strconv.FormatUint(c.lastID, 36)
}

func (c *Core) newJob(s *Spec) *job {
	j := &job{id: c.newID(), spec: s, state: Queued, sub: SubWaiting, taken: c.now}
	if s.Hold {
		j.state, j.sub = QueuedHeld, SubHeld
	}
	c.jobs[j.id] = j
	c.nLive++
	c.remember(j)
	return j
}

// enter lets a job go that was just taken.
func (c *Core) enter(j *job) {
	j.entered = true
	if j.spec.Deadline > 0 {
		j.deadline = c.timers.Schedule(j.spec.Deadline, func() { c.terminate(j) })
	}
	if j.held() {
		j.came = 0
		c.changed(j)
		return
	}
	c.proceed(j)
}

// proceed places a job, unless its start time or the hand-over keeps it.
func (c *Core) proceed(j *job) {
	switch {
	case j.spec.NotBefore > c.now:
		j.came = 0
		j.sub = SubStartTime
		c.changed(j)
		j.later = c.timers.Schedule(j.spec.NotBefore, func() {
			if !j.state.Ended() && j.sub == SubStartTime {
				c.place(j)
			}
		})
	case j.ask > 0 && c.clearAt(j) > c.now:
		j.sub = SubBackoff
		c.changed(j)
		j.later = c.timers.Schedule(c.clearAt(j), func() {
			if !j.state.Ended() && j.sub == SubBackoff {
				c.proceed(j)
			}
		})
	case c.holdsBack(j):
		j.sub = SubRecovering
		c.openAsk(j)
		c.recovery.waiting = append(c.recovery.waiting, j)
		c.changed(j)
	default:
		c.place(j)
	}
}

// command acts on a job, or on each job of an array.
func (c *Core) command(in Command) {
	if a := c.arrays[in.Job]; a != nil {
		for _, j := range a.jobs {
			c.commandOne(0, in.Verb, j)
		}
		c.answer(in.Req, Answer{Array: a.id, Jobs: a.infos()})
		return
	}
	j := c.jobs[in.Job]
	if j == nil {
		c.refuse(in.Req, InvalidArgument, 0, "no job %q", in.Job)
		return
	}
	c.commandOne(in.Req, in.Verb, j)
}

// commandOne answers req unless it is 0, as for a job of an array.
func (c *Core) commandOne(req uint64, do Verb, j *job) {
	ok := func() { c.answer(req, Answer{Jobs: []Info{j.info()}}) }
	wrong := func() {
		c.refuse(req, InvalidState, 0, "job %s is %s, which %s does not apply to", j.id, j.state, do)
	}
	switch do {
	case Hold:
		switch {
		case j.state == Queued || j.state == Requeued:
			if a := j.live; a != nil {
				if a.phase >= accepted || j.holdWaits {
					wrong()
					return
				}
				// The offer is out: what its node says decides the race.
				j.holdReq, j.holdWaits = req, true
				c.holdAfter(j, a)
				return
			}
			if c.doubtful(j) { // the module answers it in a moment
				c.refuse(req, InvalidState, 0, "job %s may have run and can't be held", j.id)
				return
			}
			c.hold(j)
			ok()
		case j.held():
			ok()
		default:
			wrong()
		}
	case Release:
		if !j.held() {
			wrong()
			return
		}
		c.release(j)
		ok()
	case Terminate:
		if j.state.Ended() {
			wrong()
			return
		}
		c.terminate(j)
		ok()
	case Reap:
		if !j.state.Ended() {
			wrong()
			return
		}
		ok()
		c.drop(j)
	default:
		c.refuse(req, InvalidArgument, 0, "no command %q", do)
	}
}

// holdAfter holds j once the attempt that is out has ended unplaced. The module is told at once that the ask
// is off, so it makes no further offer.
func (c *Core) holdAfter(j *job, a *attempt) {
	c.tell(flaxshelf.TaskCanceled{Task: j.askID()})
	c.stop(a)
	c.untilOver(a, func() {
		if !j.holdWaits || j.state.Ended() {
			return
		}
		// Risk covered: the node's word that a start failed crosses the stop. Held and released, the job would be asked
		// for anew, and the module knows nothing of the former ask's attempts.
		if c.doubtful(j) {
			c.closeFailed(j, OutcomeFailed, "an attempt may have run before it could be held")
			return
		}
		j.holdWaits = false
		c.hold(j)
		c.answer(j.holdReq, Answer{Jobs: []Info{j.info()}})
	})
}

// untilOver looks every so often; an attempt in flight is over after its time-out at the latest.
func (c *Core) untilOver(a *attempt, do func()) {
	if a.phase == over {
		do()
		return
	}
	if a.phase >= accepted {
		return
	}
	c.timers.Schedule(c.now+max(c.cfg.Module.Tick, time.Millisecond), func() { c.untilOver(a, do) })
}

func (c *Core) hold(j *job) {
	if j.open {
		c.tell(flaxshelf.TaskCanceled{Task: j.askID()})
		c.closeAsk(j, OutcomeCanceled, "")
	}
	if j.state == Requeued {
		j.state = RequeuedHeld
	} else {
		j.state = QueuedHeld
	}
	c.timers.Cancel(j.later)
	j.sub, j.node = SubHeld, ""
	c.changed(j)
}

func (c *Core) release(j *job) {
	if j.array != nil && !j.entered {
		j.state, j.sub = Queued, SubArrayLimit
		j.array.next = 0
		c.changed(j)
		c.arrayFill(j.array)
		return
	}
	if j.state == QueuedHeld {
		j.state = Queued
	} else {
		j.state = Requeued
	}
	c.proceed(j)
}

// terminate ends j for good. What runs is stopped first; what waits ends at once.
func (c *Core) terminate(j *job) {
	if j.state.Ended() || j.stopping {
		return
	}
	if j.live == nil || j.live.phase == connecting {
		j.stopping = true
		if a := j.live; a != nil {
			c.end(a, flaxshelf.NotSent, flaxshelf.UnspecifiedReason, flaxshelf.LoadReport{})
		}
		c.finish(j, Failed, SubTerminated, "terminated by its owner")
		return
	}
	j.stopping, j.sub = true, SubStopping
	if j.open {
		c.tell(flaxshelf.TaskCanceled{Task: j.askID()})
		c.closeAsk(j, OutcomeCanceled, j.live.id)
	}
	c.stop(j.live)
	c.changed(j)
}

func (c *Core) query(in Query) {
	limit := in.Limit
	if limit <= 0 {
		limit = 1000
	}
	switch {
	case in.Job != "":
		if a := c.arrays[in.Job]; a != nil {
			c.answer(in.Req, Answer{Array: a.id, Jobs: a.infos()})
		} else if j := c.jobs[in.Job]; j != nil {
			c.answer(in.Req, Answer{Jobs: []Info{j.info()}})
		} else {
			c.refuse(in.Req, InvalidArgument, 0, "no job %q", in.Job)
		}
	default:
		c.answer(in.Req, Answer{Jobs: c.page(in.Session, in.After, limit)})
	}
}
