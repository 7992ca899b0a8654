package scheduler

import (
	"strconv"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

type phase int

const (
	connecting phase = iota // waits for the link; nothing has been sent
	offered
	accepted
	running
	over
)

func (p phase) sub() string {
	return [...]string{SubOffered, SubOffered, SubAccepted, SubRunning, SubWaiting}[p]
}

// attempt is one offer of a job to a node, until the module has been told how it ended.
type attempt struct {
	id     string // unique over all lives of this scheduler
	task   string // the module's name for the ask
	n      int    // the module's number of the attempt
	job    *job
	node   *node
	serial uint64
	sent   Time
	limit  time.Duration
	phase  phase
	stop   bool              // a stop has been sent
	timer  *timerqueue.Timer // its time-out, of the phase that it is in
}

// offer carries out the module's choice.
func (c *Core) offer(o flaxshelf.Offer) {
	j, n := c.asks[o.Task], c.nodes[o.Machine]
	if j == nil || n == nil || j.askID() != o.Task {
		return // the module never offers what it was not asked
	}
	c.serial++
	a := &attempt{id: j.id + "/" + strconv.Itoa(j.ask) + "/" + strconv.Itoa(j.attempts), task: o.Task,
		n: j.attempts, job: j,
		node: n, serial: c.serial, sent: c.now, limit: o.Timeout}
	if left := j.due - c.now; a.limit <= 0 || a.limit > left {
		a.limit = left
	}
	j.attempts++
	c.attempts[a.id], n.live[a.id], j.live = a, a, a
	j.node, j.sub = n.entry.ID, SubOffered
	switch {
	case !j.open || a.limit <= 0 || j.stopping || n.entry.State != flaxshelf.Active && !c.cfg.DisabledGuards.Drain:
		c.end(a, flaxshelf.NotSent, flaxshelf.UnspecifiedReason, flaxshelf.LoadReport{})
	case n.up:
		c.send(a)
	default:
		a.timer = c.timers.Schedule(c.now+max(c.cfg.Module.ConnectTimeout, time.Millisecond), func() {
			if a.phase == connecting {
				c.end(a, flaxshelf.Unreachable, flaxshelf.UnspecifiedReason, flaxshelf.LoadReport{})
			}
		})
	}
}

func (c *Core) send(a *attempt) {
	left := a.sent + a.limit - c.now
	c.timers.Cancel(a.timer)
	switch {
	case left <= 0:
		c.end(a, flaxshelf.NotSent, flaxshelf.UnspecifiedReason, flaxshelf.LoadReport{})
		return
	case c.fence.up(): // a drain of this node may be among what has not been read yet
		a.timer = c.timers.Schedule(c.now+max(c.cfg.Module.Tick, time.Millisecond), func() {
			if a.phase == connecting && a.node.up {
				c.send(a)
			}
		})
		return
	}
	a.phase = offered
	c.emit(SendOffer{Node: a.node.entry.ID, Attempt: a.id, Job: a.job.id, Request: a.job.ask, Spec: a.job.spec,
		Submitted: a.job.taken, ValidFor: left})
	c.changed(a.job)
	a.timer = c.timers.Schedule(c.now+left, func() {
		if a.phase == offered {
			c.stop(a)
			c.end(a, flaxshelf.TimedOut, flaxshelf.UnspecifiedReason, flaxshelf.LoadReport{})
		}
	})
}

func (c *Core) stop(a *attempt) {
	if !a.stop && a.node.up {
		a.stop = true
		c.emit(SendStop{a.node.entry.ID, a.id})
	}
}

func (c *Core) withdraw(w flaxshelf.Cancel) {
	j := c.asks[w.Task]
	if j == nil || j.live == nil || j.live.task != w.Task || j.live.n != w.Attempt || j.live.phase > offered {
		return
	}
	a, v := j.live, flaxshelf.Canceled
	if a.phase == connecting {
		v = flaxshelf.NotSent
	}
	c.stop(a)
	c.end(a, v, flaxshelf.UnspecifiedReason, flaxshelf.LoadReport{})
}

func (c *Core) move(m flaxshelf.Migrate) {
	if j := c.asks[m.Task]; j != nil && j.live != nil && j.live.task == m.Task && j.live.phase >= accepted {
		j.moving = true
		c.stop(j.live)
	}
}

// known finds the attempt that a node speaks of. Word of one that was given up is answered with a stop, since
// what it may have started must not run beside its successor.
func (c *Core) known(nodeName, id string, starts bool) *attempt {
	a := c.attempts[id]
	if a != nil && a.node.entry.ID == nodeName {
		return a
	}
	if starts {
		c.emit(SendStop{nodeName, id})
	}
	return nil
}

func (c *Core) accepted(in AttemptAccepted) {
	if a := c.known(in.Node, in.Attempt, true); a != nil && a.phase == offered {
		c.accept(a, in.Load)
	}
}

func (c *Core) accept(a *attempt, load flaxshelf.LoadReport) {
	a.phase = accepted
	c.timers.Cancel(a.timer)
	j := a.job
	if load.Present {
		c.tell(flaxshelf.HealthChecked{Machine: a.node.entry.ID, Load: load})
	}
	if j.live != a || j.state.Ended() || j.stopping || j.held() {
		c.tell(flaxshelf.AttemptPlaced{Task: a.task, Machine: a.node.entry.ID, Attempt: a.n, Latency: c.now - a.sent})
		c.stop(a) // its job has gone another way
		return
	}
	j.sub = SubAccepted
	if !c.cfg.Module.PlacedWhenRunning {
		c.placedNow(a)
	} else {
		c.changed(j)
	}
}

func (c *Core) placedNow(a *attempt) {
	c.tell(flaxshelf.AttemptPlaced{Task: a.task, Machine: a.node.entry.ID, Attempt: a.n, Latency: c.now - a.sent})
	if a.job.open {
		c.closeAsk(a.job, OutcomePlaced, a.id)
	}
}

func (c *Core) started(in AttemptStarted) {
	if a := c.known(in.Node, in.Attempt, true); a != nil {
		if a.phase == offered {
			c.accept(a, flaxshelf.LoadReport{})
		}
		c.start(a)
	}
}

func (c *Core) start(a *attempt) {
	if a.phase != accepted {
		return
	}
	a.phase = running
	j := a.job
	if j.live != a || j.state.Ended() || j.stopping {
		return
	}
	if c.cfg.Module.PlacedWhenRunning && j.open {
		c.placedNow(a)
	} else {
		c.tell(flaxshelf.UsageReport{Task: a.task, Machine: a.node.entry.ID, Attempt: a.n, Kind: flaxshelf.TaskRunning})
	}
	j.state, j.sub = Running, SubRunning
	if j.started == 0 {
		j.started = c.now
	}
	c.changed(j)
}

func (c *Core) noted(in UsageReport) {
	if a := c.known(in.Node, in.Attempt, true); a != nil && a.phase >= accepted {
		c.tell(flaxshelf.UsageReport{Task: a.task, Machine: in.Node, Attempt: a.n, Kind: in.Kind, Amount: in.Amount})
	}
}

func (c *Core) refused(in AttemptRejected) {
	if a := c.known(in.Node, in.Attempt, false); a != nil && a.phase == offered {
		c.end(a, flaxshelf.Rejected, in.Reason, in.Load)
	}
}

func (c *Core) failed(in AttemptFailed) {
	if a := c.known(in.Node, in.Attempt, false); a != nil && a.phase == offered {
		a.job.note = in.Message
		c.end(a, flaxshelf.Failed, flaxshelf.UnspecifiedReason, in.Load)
	}
}

func (c *Core) notSent(in SendFailed) {
	if a := c.known(in.Node, in.Attempt, false); a != nil && a.phase == offered {
		c.end(a, flaxshelf.NotSent, flaxshelf.UnspecifiedReason, flaxshelf.LoadReport{})
	}
}

func (c *Core) ended(in AttemptEnded) {
	c.emit(SendAck{in.Node, in.Attempt})
	a := c.known(in.Node, in.Attempt, false)
	if a == nil {
		return
	}
	if a.phase == offered { // its Accepted was cut off
		if in.End == EndStopped && !a.job.open {
			c.end(a, flaxshelf.Canceled, flaxshelf.UnspecifiedReason, in.Load)
			return
		}
		c.accept(a, flaxshelf.LoadReport{})
	}
	a.job.exit = in.Exit
	switch in.End {
	case EndCompleted:
		c.end(a, flaxshelf.Completed, flaxshelf.UnspecifiedReason, in.Load)
	case EndStopped:
		c.end(a, flaxshelf.Canceled, flaxshelf.UnspecifiedReason, in.Load)
	case EndStartFailed:
		c.end(a, flaxshelf.Failed, flaxshelf.UnspecifiedReason, in.Load)
	default:
		c.end(a, flaxshelf.Lost, in.Reason, in.Load)
	}
}

// lose ends an attempt whose node is gone or does not have it.
func (c *Core) lose(a *attempt) {
	c.end(a, flaxshelf.Lost, flaxshelf.UnspecifiedReason, flaxshelf.LoadReport{})
}

// end tells the module how an attempt ended, once, and goes on with the job.
func (c *Core) end(a *attempt, v flaxshelf.Outcome, r flaxshelf.Reason, load flaxshelf.LoadReport) {
	if a.phase == over {
		return
	}
	j, was := a.job, a.phase
	placed := was >= accepted && (!c.cfg.Module.PlacedWhenRunning || was == running)
	a.phase = over
	c.timers.Cancel(a.timer)
	delete(c.attempts, a.id)
	delete(a.node.live, a.id)
	if j.live == a {
		j.live = nil
	}
	current := j.askID() == a.task
	c.tell(flaxshelf.AttemptEnded{Task: a.task, Machine: a.node.entry.ID, Attempt: a.n, Outcome: v, Reason: r,
		Final: placed || !current || !j.open, Latency: c.now - a.sent, Load: load})
	proved := v == flaxshelf.Rejected || v == flaxshelf.Unreachable || v == flaxshelf.NotSent
	if !proved && !placed {
		j.uncertain = c.now
		if current && v != flaxshelf.Canceled {
			j.doubt = j.ask
		}
	}
	if !current || j.state.Ended() {
		return
	}
	if was >= accepted {
		c.jobOver(j, v, r)
		return
	}
	j.node = ""
	switch {
	case j.stopping:
		c.finish(j, Failed, SubTerminated, "terminated before its start")
	case j.open:
		j.sub = SubWaiting
		c.changed(j)
	case j.held():
		c.changed(j)
	}
}
