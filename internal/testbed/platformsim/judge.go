package platformsim

import (
	"fmt"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf/internal/requests"
)

// Rule is a rule that the judge checks.
type Rule string

// The rules.
const (
	ruleLost      Rule = "lost"
	ruleDuplicate Rule = "duplicate"
	ruleDrain     Rule = "drain"
	ruleProtocol  Rule = "protocol"
)

// Violation is a violation of a rule.
type Violation struct {
	Rule Rule          `json:"rule"`
	At   time.Duration `json:"at_ns"` // since the start of the day
	Text string        `json:"text"`
}

// Bounds of the rules.
const (
	slack            = 50 * time.Millisecond
	answerBound      = 500*time.Millisecond + slack // after the request's time
	giveUpBound      = 100*time.Millisecond + slack // after which no offer of a request is sent that was given up
	notifyBound      = 8*time.Second + slack        // after the end of a task
	secondCopyBound  = 1500 * time.Millisecond      // for which the former copy of a moved or released task may still run
	unreachableGrace = 10 * time.Second             // after a cut, in which a living task may have been given up
)

// judge checks the rules in what owners and nodes send and receive. It knows nothing of the core.
type judge struct {
	sim          *simulation
	violations   []Violation
	lastHandOver Time
	lastRun      map[uint64]*run
	lastRunAt    map[place]*run
	runs         map[string][]*run   // by key, those that may still run
	open         map[uint64][]*offer // by task, the offers that may have led to a run
	drainedAt    map[*node]Time      // from when on a drain or removal counts as told
	notices      map[string][]notice // by task
	givenUpAt    map[string]Time     // by task
	feedExcuses  []excusePeriod
	cutPeriods   []cutPeriod
}

// place is a task at a node.
type place struct {
	task uint64
	node string
}

// offer is an offer that has arrived at a node, or is on its way.
type offer struct {
	node     *node
	sentAt   Time
	arrived  bool
	rejected bool
}

// notice is a notification of an end that the scheduler has sent.
type notice struct {
	conn   *conn
	sentAt Time
}

// excusePeriod is a period in which a drain counts as told later.
type excusePeriod struct {
	from, until Time
	delay       time.Duration
}

// cutPeriod is a period in which a node could not be reached.
type cutPeriod struct {
	node        *node
	from, until Time
}

func newJudge(s *simulation) *judge {
	return &judge{sim: s, lastRun: map[uint64]*run{}, lastRunAt: map[place]*run{}, runs: map[string][]*run{},
		open: map[uint64][]*offer{}, drainedAt: map[*node]Time{}, notices: map[string][]notice{}, givenUpAt: map[string]Time{}}
}

func (j *judge) violate(rule Rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	j.sim.logf("VIOLATED %s: %s", rule, text)
	j.violations = append(j.violations, Violation{Rule: rule, At: j.sim.sinceStart(), Text: text})
}

// submitted records a request, and checks later that it has its final answer.
func (j *judge) submitted(req *request) {
	j.sim.after(latency+req.timeLeft+answerBound, func() {
		if req.answers == 0 && !req.abandoned {
			j.violate(ruleLost, "request %s (%s) has no answer %v after it was sent", req.name(), req.class,
				req.timeLeft+answerBound)
		}
	})
}

// answered records a final answer.
func (j *judge) answered(req *request, placed bool, cause requests.Cause) {
	req.answers++
	if req.answers > 1 && !req.abandoned {
		j.violate(ruleLost, "request %s got %d final answers", req.name(), req.answers)
	}
	if placed || cause != requests.CauseRejected || req.class == classIdempotent {
		return
	}
	if r := j.lastRun[req.id]; r != nil {
		j.violate(ruleDuplicate, "request %s (%s) was rejected although it ran at %s", req.name(), req.class, r.node.id)
	}
}

// offerSent records an offer that the scheduler sends now.
func (j *judge) offerSent(n *node, taskID string) {
	var id uint64
	if _, err := fmt.Sscanf(taskID, "%x", &id); err != nil {
		j.violate(ruleProtocol, "offer of task %q", taskID)
		return
	}
	j.open[id] = append(j.open[id], &offer{node: n, sentAt: j.sim.now})
	if at, givenUp := j.givenUpAt[taskID]; givenUp && j.sim.now > at+giveUpBound {
		j.violate(ruleProtocol, "offer of %s to %s, %v after its owner has given it up", taskID, n.id, j.sim.now-at)
	}
	if told, drained := j.drainedAt[n]; drained && j.sim.now > told+drainGrace+slack {
		j.violate(ruleDrain, "offer of %s to %s, %v after the drain was told", taskID, n.id, j.sim.now-told)
	}
}

// offerArrived checks that no earlier offer of the task may have run, as its class wants it.
func (j *judge) offerArrived(n *node, id uint64, req *request) {
	if req == nil {
		j.violate(ruleProtocol, "%s got an offer of %016x, which no owner has submitted", n.id, id)
		return
	}
	for _, earlier := range j.open[id] {
		if earlier.node == n && !earlier.arrived {
			earlier.arrived = true
			continue
		}
		if !earlier.arrived || earlier.rejected {
			continue
		}
		sameRoom := earlier.node.room == n.room
		switch {
		case req.class == classUnsafe:
			j.violate(ruleDuplicate, "%s (%s) is offered to %s although %s got it and has not rejected it", req.name(), req.class,
				n.id, earlier.node.id)
		case req.class == classKeyed && !sameRoom:
			j.violate(ruleDuplicate, "%s (%s) is offered to %s although %s of another room got it", req.name(), req.class, n.id,
				earlier.node.id)
		}
	}
}

// givenUp records that an owner has taken a request back.
func (j *judge) givenUp(req *request) { j.givenUpAt[req.name()] = j.sim.now }

func (j *judge) offerRejected(n *node, req *request) {
	for _, o := range j.open[req.id] {
		if o.node == n {
			o.rejected = true
		}
	}
}

// started records that a task runs, and checks that its former copies end.
func (j *judge) started(r *run) {
	j.lastRun[r.id] = r
	j.lastRunAt[place{r.id, r.node.id}] = r
	if r.request.class == classIdempotent {
		return
	}
	key := r.request.key
	for _, former := range j.runs[key] {
		if former.endedAt == 0 {
			j.checkFormerCopyEnds(former, r)
		}
	}
	j.runs[key] = append(j.runs[key], r)
}

func (j *judge) checkFormerCopyEnds(former, second *run) {
	j.sim.after(secondCopyBound, func() {
		if former.endedAt != 0 || second.endedAt != 0 || j.wasCutOff(former.node) || j.wasCutOff(second.node) {
			return
		}
		j.violate(ruleDuplicate, "two copies of %s run: %s at %s since %v, %s at %s", former.request.key, former.request.name(),
			former.node.id, former.startedAt-epoch, second.request.name(), second.node.id)
	})
}

// wasCutOff reports whether a node could not be reached lately, so that its tasks may have been given up although they run.
func (j *judge) wasCutOff(n *node) bool {
	for _, period := range j.cutPeriods {
		if period.node == n && j.sim.now >= period.from && j.sim.now < period.until+unreachableGrace {
			return true
		}
	}
	return false
}

// ended checks later that the owner was notified of the end of a task.
func (j *judge) ended(r *run) {
	j.checkNotified(r, r.endedAt+notifyBound)
}

func (j *judge) checkNotified(r *run, deadline Time) {
	j.sim.timers.Schedule(deadline, func() {
		req := r.request
		// Only the run that the owner's answer was about counts: the node may have run the task before, for an offer that had
		// ended.
		if !req.placed || req.terminated || j.lastRunAt[place{req.id, req.runsAt}] != r {
			return
		}
		// The bound counts from when the scheduler that must notify could know of the task, and the owner could be reached.
		later := max(r.endedAt, req.handedOver, j.sim.owner.connected) + notifyBound
		if !j.sim.owner.admitted {
			later = j.sim.now + notifyBound
		}
		switch {
		case later > j.sim.now && j.sim.now < epoch+j.sim.day.Length+settleTime-notifyBound:
			j.checkNotified(r, later)
		case later > j.sim.now:
		case j.diedWithoutScheduler(r) || j.noticeLost(req):
		default:
			j.violate(ruleLost, "task %s ended at %s at %v with cause %d, and its owner was not notified within %v", req.name(),
				r.node.id, r.endedAt-epoch, r.endCause, notifyBound)
		}
	})
}

// diedWithoutScheduler reports whether a task was cut by the death of its node while no scheduler ran that managed it. The owner
// finds out by itself.
func (j *judge) diedWithoutScheduler(r *run) bool {
	h := j.sim.scheduler
	return r.endCause == requests.CauseLost && h.killedAt > 0 && r.endedAt >= h.killedAt && r.endedAt <= r.request.handedOver
}

// notificationSent records a notification that the scheduler sends now on a connection, which is nil if it has ended.
func (j *judge) notificationSent(taskID string, c *conn) {
	if c != nil {
		j.notices[taskID] = append(j.notices[taskID], notice{c, j.sim.now})
	}
}

// noticeLost reports whether a notification was on its way when its connection was reset. No scheduler can know of that.
func (j *judge) noticeLost(req *request) bool {
	return slices.ContainsFunc(j.notices[req.name()], func(sent notice) bool {
		return sent.conn.resetAt > 0 && sent.conn.resetAt-sent.sentAt <= 2*latency
	})
}

// announced records that the feed has told that a node drains or is gone.
func (j *judge) announced(n *node) {
	told := j.sim.now
	for _, excuse := range j.feedExcuses {
		if told >= excuse.from && told < excuse.until {
			told = max(told, excuse.until+excuse.delay)
		}
	}
	if _, known := j.drainedAt[n]; !known {
		j.drainedAt[n] = told
	}
}
