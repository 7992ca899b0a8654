package scheduler

import (
	"strconv"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

// backoffFirst and backoffMost bound how long a job that lost its node waits before it is asked anew. An
// eviction says that room is short, so it waits longer than one that was sent away or lost.
const (
	backoffFirst   = 200 * time.Millisecond
	backoffEvicted = time.Second
	backoffMost    = 30 * time.Second
)

// job is the life of one job. Its fields follow Info.
type job struct {
	id, askName         string
	spec                *Spec
	state               State
	sub, node, note     string
	array               *array
	index               int
	ask, attempts       int
	open                bool // the ask has no outcome yet
	outcome             Outcome
	live                *attempt
	stopping, moving    bool
	holdReq             uint64 // a hold that waits for the attempt in flight
	holdWaits           bool
	exit, requeues      int
	uncertain           Time // when an attempt that may have run was last given up
	doubt               int  // the last ask of which an attempt that was given up may have run
	taken, askedAt, due Time
	came                Time // of a submission whose ask is still to be opened
	started, ended      Time
	rev                 uint64
	aliases             []string
	entered             bool              // its array has let it go, or it has none
	overdue, deadline   *timerqueue.Timer // of the open ask; of the job
	later               *timerqueue.Timer // its start time or the end of its backoff
}

func (j *job) held() bool { return j.state == QueuedHeld || j.state == RequeuedHeld }

// askID is the module's name for the current ask.
func (j *job) askID() string {
	if j.askName == "" {
		j.askName = j.id + "#" + strconv.Itoa(j.ask)
	}
	return j.askName
}

func (j *job) info() Info {
	i := Info{ID: j.id, Spec: j.spec, State: j.state, SubState: j.sub, Index: j.index, Node: j.node, Request: j.ask,
		Outcome: j.outcome, Attempts: j.attempts, Exit: j.exit, Reason: j.note, SubmittedAt: j.taken,
		RequestedAt: j.askedAt, PlacementDeadline: j.due, StartedAt: j.started, FinishedAt: j.ended, Revision: j.rev}
	if j.array != nil {
		i.Array = j.array.id
	}
	return i
}

func (c *Core) class(j *job) *flaxshelf.Class { return &c.cfg.Module.Classes[j.spec.Class] }

// doubtful tells that the ask in hand may have run, and must not do so again in another.
func (c *Core) doubtful(j *job) bool { return j.open && j.doubt == j.ask && !c.bearsRepeats(j) }

func (c *Core) bearsRepeats(j *job) bool { return c.class(j).Idempotency == flaxshelf.Idempotent }
func (c *Core) neverTwice(j *job) bool   { return c.class(j).Idempotency == flaxshelf.NonIdempotent }

func (c *Core) task(j *job) flaxshelf.Task {
	s := j.spec
	key, service := s.Key, s.Service
	if key == "" {
		key = j.id
	}
	if service == "" {
		service = j.id // else all jobs without a service would share the homes of the empty name
	}
	return flaxshelf.Task{ID: j.askID(), Key: key, Service: service, Class: s.Class, Tenant: s.Tenant,
		Cores: s.Cores, Memory: s.Memory, ExpectedRuntime: s.ExpectedRuntime, Deadline: j.due, Retry: s.Retry || j.ask > 1}
}

// place gives j to the module, in a new ask unless one is open.
func (c *Core) place(j *job) {
	j.sub = SubWaiting
	c.openAsk(j)
	c.asks[j.askID()] = j
	c.tell(flaxshelf.TaskSubmitted{Task: c.task(j)})
	c.changed(j)
}

// openAsk begins the time of an ask, which runs also while the hand-over is waited for.
func (c *Core) openAsk(j *job) {
	if j.open {
		return
	}
	delete(c.asks, j.askID())
	j.ask++
	j.askName, j.attempts, j.outcome, j.node = "", 0, "", ""
	j.open, j.askedAt = true, c.now
	if j.came > 0 { // of the first ask, unless its start time held it back
		j.askedAt = j.came
	}
	j.came = 0
	c.nOpen++
	j.due = j.askedAt + c.giveUp(j.spec)
	c.answerLate(j)
}

// giveUp is how long an owner waits for an outcome.
func (c *Core) giveUp(s *Spec) time.Duration {
	if s.PlacementTimeout > 0 {
		return s.PlacementTimeout
	}
	return c.cfg.Limits.PlacementTimeouts[s.Class]
}

// clearAt is when a job may be asked for anew whose class does not bear repeats: an attempt of a former ask that may have
// run is waited for until then, since the module knows nothing of it. Risk covered: a keyed job that was placed after a
// silent attempt, and loses its node at once, would start in another group while the silent one runs.
func (c *Core) clearAt(j *job) Time {
	if j.uncertain == 0 || c.bearsRepeats(j) {
		return 0
	}
	return j.uncertain + c.cfg.Limits.SettleTime
}

// answerLate answers for the module where it was kept from answering, as by a stall.
func (c *Core) answerLate(j *job) {
	due := j.due
	j.overdue = c.timers.Schedule(due+c.cfg.Module.AnswerSlack/2, func() {
		if !j.open || j.due != due || c.cfg.DisabledGuards.Answer {
			return
		}
		c.tell(flaxshelf.TaskCanceled{Task: j.askID()})
		if j.sub == SubRecovering {
			c.closeFailed(j, OutcomeFailed, "it may run on a node that has not been heard since the scheduler started")
			return
		}
		o := OutcomeFailed
		if j.attempts == 0 || c.bearsRepeats(j) {
			o = OutcomeRejected
		}
		c.closeFailed(j, o, "the scheduler was kept from deciding in time")
	})
}

// settle carries out the module's final answer on an ask.
func (c *Core) settle(task string, o Outcome) {
	j := c.asks[task]
	if j == nil || !j.open || j.askID() != task {
		return
	}
	c.closeFailed(j, o, "")
}

func (c *Core) closeFailed(j *job, o Outcome, why string) {
	if why != "" {
		j.note = why
	}
	if a := j.live; a != nil {
		if a.phase == connecting {
			c.closeAsk(j, o, a.id)
			c.end(a, flaxshelf.NotSent, flaxshelf.UnspecifiedReason, flaxshelf.LoadReport{})
		} else {
			c.stop(a)
			c.closeAsk(j, o, a.id)
		}
	} else {
		c.closeAsk(j, o, "")
	}
	sub, note := SubRejected, "no node took it in time; asking again does no harm"
	if o == OutcomeFailed {
		sub, note = SubUncertain, "an attempt may have run"
	}
	if j.note == "" {
		j.note = note
	}
	c.finish(j, Failed, sub, j.note)
}

// closeAsk gives an ask its one outcome.
func (c *Core) closeAsk(j *job, o Outcome, attempt string) {
	if !j.open {
		return
	}
	j.open = false
	c.timers.Cancel(j.overdue)
	c.nOpen--
	j.outcome = o
	if o == OutcomePlaced {
		j.requeues = max(j.requeues-1, 0)
	}
	if j.holdWaits {
		j.holdWaits = false
		if o == OutcomePlaced {
			c.refuse(j.holdReq, InvalidState, 0, "job %s was placed before the hold", j.id)
		} else {
			c.refuse(j.holdReq, InvalidState, 0, "job %s ended before the hold: %s", j.id, o)
		}
	}
	c.changed(j)
	c.emit(LogOutcome{Info: j.info(), Attempt: attempt})
}

// jobOver goes on after an accepted attempt has ended.
func (c *Core) jobOver(j *job, v flaxshelf.Outcome, r flaxshelf.Reason) {
	moved := j.moving
	j.moving = false
	switch {
	case j.stopping:
		c.finish(j, Failed, SubTerminated, "terminated by its owner")
	case v == flaxshelf.Completed && j.exit == 0:
		c.finish(j, Done, SubExited, "")
	case v == flaxshelf.Completed:
		c.finish(j, Failed, SubExited, "exit status "+strconv.Itoa(j.exit))
	case v == flaxshelf.Failed:
		c.finish(j, Failed, SubStartFailed, "its start failed on "+j.node)
	case moved || j.spec.Rerunnable:
		c.requeue(j, r)
	default:
		c.finish(j, Failed, lostSub(r), "it ended on "+j.node+" and is not rerunnable")
	}
}

func lostSub(r flaxshelf.Reason) string {
	switch r {
	case flaxshelf.Evicted:
		return SubEvicted
	case flaxshelf.Preempted:
		return SubPreempted
	case flaxshelf.DrainedAway:
		return SubDrainedAway
	}
	return SubLost
}

func (c *Core) requeue(j *job, r flaxshelf.Reason) {
	first := backoffFirst
	if r == flaxshelf.Evicted || r == flaxshelf.Preempted {
		first = backoffEvicted
	}
	wait := max(min(first<<min(j.requeues, 8), backoffMost), c.clearAt(j)-c.now)
	j.requeues += 2 // a start takes one back
	j.state, j.sub, j.note = Requeued, SubBackoff, "it was "+lostSub(r)+" on "+j.node
	j.node = ""
	if j.open { // accepted but not yet placed, where placed means running
		c.tell(flaxshelf.TaskCanceled{Task: j.askID()})
		c.closeAsk(j, OutcomeFailed, "")
	}
	c.changed(j)
	ask := j.ask
	j.later = c.timers.Schedule(c.now+wait, func() {
		if j.state == Requeued && j.sub == SubBackoff && j.ask == ask {
			j.note = ""
			c.place(j)
		}
	})
}

// finish ends a job.
func (c *Core) finish(j *job, s State, sub, note string) {
	if j.state.Ended() {
		return
	}
	if j.open {
		c.tell(flaxshelf.TaskCanceled{Task: j.askID()})
		c.closeAsk(j, OutcomeCanceled, "")
	}
	j.state, j.sub, j.note, j.ended = s, sub, note, c.now
	delete(c.asks, j.askID())
	c.timers.Cancel(j.deadline)
	c.timers.Cancel(j.later)
	c.nLive--
	c.nEnded++
	c.finished = append(c.finished, j)
	c.changed(j)
	c.emit(LogOutcome{Info: j.info()})
	if j.array != nil {
		c.arrayNext(j.array, j)
	}
}

// forget drops ended jobs that are over their bound or their time.
func (c *Core) forget() {
	for len(c.finished) > 0 {
		j := c.finished[0]
		if len(c.finished) <= c.cfg.Limits.MaxFinished && c.now-j.ended < c.cfg.Limits.Retention {
			return
		}
		c.finished[0] = nil
		c.finished = c.finished[1:]
		c.drop(j)
	}
}

func (c *Core) drop(j *job) {
	if c.jobs[j.id] != j {
		return // reaped before
	}
	c.nEnded--
	delete(c.jobs, j.id)
	for _, id := range j.aliases {
		delete(c.jobs, id)
	}
	if c.keys[j.spec.Key] == j {
		delete(c.keys, j.spec.Key)
	}
	if a := j.array; a != nil {
		if a.kept--; a.kept == 0 {
			delete(c.arrays, a.id)
			if a.key != "" {
				delete(c.keys, a.key)
			}
		}
	}
}

func (c *Core) remember(j *job) {
	if j.spec.Key != "" {
		c.keys[j.spec.Key] = j
	}
}
