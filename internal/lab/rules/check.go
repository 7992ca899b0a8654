package rules

import (
	"sort"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// checker follows a recording. It knows of each scheduler only what was passed on to it.
type checker struct {
	f          Figures
	v          Verdict
	start, now time.Duration
	dropping   bool // a proxy drops bytes on purpose
	conns      map[uint64]*conn
	works      map[string]*work
	lives      map[string]int // of each scheduler, counted by its kills
	stops      map[string][]pause
	views      map[string]map[string]*told
	attempts   map[string]*attempt
	byKey      map[string][]*attempt
	bySched    map[string]map[*attempt]bool // live ones
	cold       map[string]*coldNode
	standing   map[string]map[string]*attempt // what nodes hold in truth, by key and attempt
}

// pause is a time in which a scheduler's process was stopped; to is 0 while it is.
type pause struct{ from, to time.Duration }

// due is when an answer owed at t must have come: a process that is stopped then owes it when it goes on.
func (c *checker) due(scheduler string, t time.Duration) time.Duration {
	slack := c.f.AnswerSlack + c.f.Skew
	due := t + slack
	for _, p := range c.stops[scheduler] {
		if p.from <= due && (p.to == 0 || p.to >= t) {
			if p.to == 0 {
				return 1<<63 - 1
			}
			due = max(due, p.to+slack)
		}
	}
	return due
}

// told is what a scheduler has been told of a node.
type told struct {
	standing nodepb.Standing
	since    time.Duration // of a standing other than in
	zone     string
	cell     int32
	started  int64
	fresh    int64 // by the node's own welcome
}

// since when the node is up, by the latest word of either.
func (t *told) up() int64 { return max(t.started, t.fresh) }

type phase int

const (
	flying    phase = iota
	proven          // never ran, and the scheduler has been told
	uncertain       // it may have run
	held            // the node has it, as far as the scheduler was told
	ended
	lost
)

type attempt struct {
	id, scheduler, node, key, job, class, service string
	ask                                           int32
	conn                                          uint64
	sent, valid                                   time.Duration
	phase                                         phase
	since                                         time.Duration // of the phase
	stopped                                       bool
}

type coldNode struct {
	started int64
	offers  []coldOffer
	over    bool
}

type coldOffer struct {
	at   time.Duration
	told bool // its scheduler had been told that the node is fresh
}

func newChecker(f Figures) *checker {
	return &checker{f: f, conns: map[uint64]*conn{}, works: map[string]*work{}, lives: map[string]int{},
		stops: map[string][]pause{},
		views: map[string]map[string]*told{}, attempts: map[string]*attempt{}, byKey: map[string][]*attempt{},
		bySched: map[string]map[*attempt]bool{}, cold: map[string]*coldNode{},
		standing: map[string]map[string]*attempt{},
		v: Verdict{Turned: map[string]int{}, Outcomes: map[string]int{}, States: map[string]int{},
			Replies: map[string]int{}}}
}

func (c *checker) finish() *Verdict {
	c.v.Length = c.now - c.start
	c.unanswered()
	for i := range c.v.Rules {
		b := c.v.Rules[i].Broken
		sort.SliceStable(b, func(i, j int) bool {
			return b[i].At < b[j].At || b[i].At == b[j].At &&
				b[i].Text < b[j].Text
		})
	}
	return &c.v
}

// Marks that the checker needs: which lives of a scheduler ended by force, and whether bytes vanish on purpose.
const (
	MarkKilled   = "scheduler killed"
	MarkNodeDead = "node dead"
	MarkDrops    = "bytes are dropped"
	MarkFellOver = "node fell over"
	MarkStopped  = "scheduler stopped"
	MarkGoesOn   = "scheduler goes on"
)

func (c *checker) mark(what, party string) {
	switch what {
	case MarkKilled:
		c.lives[party]++
		delete(c.views, party)
		delete(c.bySched, party) // a life has what it placed and what was handed over to it
	case MarkNodeDead:
		for key, all := range c.standing {
			for id, a := range all {
				if a.node == party {
					delete(all, id)
				}
			}
			if len(all) == 0 {
				delete(c.standing, key)
			}
		}
	case MarkDrops:
		c.dropping = true
	case MarkFellOver:
		c.v.FellOver++
	case MarkStopped:
		c.stops[party] = append(c.stops[party], pause{from: c.now})
	case MarkGoesOn:
		if s := c.stops[party]; len(s) > 0 {
			s[len(s)-1].to = c.now
		}
	}
}

func (c *checker) class(name string) *Class {
	for i := range c.f.Classes {
		if c.f.Classes[i].Name == name {
			return &c.f.Classes[i]
		}
	}
	return &Class{Name: name, Effect: "unsafe"}
}

func (c *checker) view(scheduler, node string) *told {
	v := c.views[scheduler]
	if v == nil {
		v = map[string]*told{}
		c.views[scheduler] = v
	}
	if v[node] == nil {
		v[node] = &told{standing: nodepb.Standing_OUT, since: c.start}
	}
	return v[node]
}

// frameSent takes a frame as it leaves a party.
func (c *checker) frameSent(k *conn, back bool, f *nodepb.Frame) {
	if !back {
		switch b := f.Body.(type) {
		case *nodepb.Frame_Hello:
			k.from, k.life = b.Hello.Party, b.Hello.LifeUnixNs
		case *nodepb.Frame_Offer:
			c.offerSent(k, b.Offer)
		case *nodepb.Frame_Stop:
			if a := c.attempts[b.Stop.Attempt]; a != nil {
				a.stopped = true
			}
		}
		return
	}
	if k.wire != NodeWire {
		return
	}
	switch b := f.Body.(type) { // what nodes hold in truth
	case *nodepb.Frame_Accepted:
		c.stands(k.to, b.Accepted.Attempt)
	case *nodepb.Frame_Ended:
		if a := c.attempts[b.Ended.Attempt]; a != nil {
			delete(c.standing[a.key], a.id)
		}
	}
}

// frameDelivered takes a frame as it reaches a party.
func (c *checker) frameDelivered(k *conn, back bool, f *nodepb.Frame) {
	switch {
	case !back && k.wire == NodeWire:
		if b, ok := f.Body.(*nodepb.Frame_Offer); ok {
			c.offerArrived(k, b.Offer)
		}
	case back && k.wire == NodeWire:
		c.fromNode(k, f)
	case back && k.wire == InventoryWire:
		if l := f.GetListing(); l != nil {
			c.listed(k, l)
		}
	}
}

func (c *checker) fromNode(k *conn, f *nodepb.Frame) {
	switch b := f.Body.(type) {
	case *nodepb.Frame_Accepted:
		c.v.Replies["accepted"]++
		c.becomes(b.Accepted.Attempt, held)
	case *nodepb.Frame_Started:
		c.becomes(b.Started.Attempt, held)
	case *nodepb.Frame_Refused:
		c.v.Replies["refused: "+reasons[b.Refused.Reason]]++
		c.becomes(b.Refused.Attempt, proven)
	case *nodepb.Frame_Failed:
		c.v.Replies["failed"]++
		c.becomes(b.Failed.Attempt, uncertain)
	case *nodepb.Frame_Ended:
		c.becomes(b.Ended.Attempt, ended)
	case *nodepb.Frame_Welcome:
		for _, h := range b.Welcome.Held {
			k.welcome[h.Attempt] = true
			c.becomes(h.Attempt, held)
		}
		for _, e := range b.Welcome.Ended {
			c.becomes(e.Attempt, ended)
		}
		if v := c.view(k.from, k.to); b.Welcome.Fresh {
			v.fresh = max(v.fresh, b.Welcome.StartedUnixNs)
		}
		if !b.Welcome.More {
			c.welcomed(k)
		}
	}
}

// welcomed: what the node does not name, it does not have. It drops what a connection before had asked and it
// has not looked at, so that what might have run did not.
func (c *checker) welcomed(k *conn) {
	for _, a := range c.attempts {
		if a.scheduler != k.from || a.node != k.to || k.welcome[a.id] || a.sent > k.opened {
			continue
		}
		switch a.phase {
		case held:
			c.becomes(a.id, lost)
		case flying, uncertain:
			c.becomes(a.id, proven)
		}
	}
}

var reasons = map[nodepb.Reason]string{nodepb.Reason_UNTOLD: "untold", nodepb.Reason_NO_CORES: "no cores",
	nodepb.Reason_NO_MEMORY: "no memory", nodepb.Reason_TOO_MANY_WAIT: "too many wait",
	nodepb.Reason_NOT_HERE: "not here",
	nodepb.Reason_EVICTED:  "evicted", nodepb.Reason_PUSHED_OUT: "pushed out", nodepb.Reason_SENT_AWAY: "sent away"}

// becomes moves an attempt on. What is proven, ended or lost stays so, but for one that turns out to be held.
func (c *checker) becomes(id string, p phase) {
	a := c.attempts[id]
	if a != nil && p == held && a.phase == held {
		c.liveOf(a.scheduler)[a] = true // handed over to a new life
	}
	if a == nil || a.phase == p || a.phase == ended || a.phase == proven || a.phase == lost && p != held {
		return
	}
	a.phase, a.since = p, c.now
	switch p {
	case held:
		c.liveOf(a.scheduler)[a] = true
	default:
		delete(c.bySched[a.scheduler], a)
	}
}

func (c *checker) liveOf(scheduler string) map[*attempt]bool {
	m := c.bySched[scheduler]
	if m == nil {
		m = map[*attempt]bool{}
		c.bySched[scheduler] = m
	}
	return m
}

func (c *checker) live(scheduler string) []*attempt {
	all := make([]*attempt, 0, len(c.bySched[scheduler]))
	for a := range c.bySched[scheduler] {
		all = append(all, a)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].id < all[j].id })
	return all
}

// connClosed: offers that were out on the connection may have been accepted.
func (c *checker) connClosed(k *conn) {
	if k.wire != NodeWire {
		return
	}
	for _, a := range c.live(k.from) {
		if a.conn == k.id && a.phase == flying {
			c.becomes(a.id, uncertain)
		}
	}
}

// expire makes uncertain what has had no answer in its time.
func (c *checker) expire(a *attempt) {
	if a.phase == flying && c.now >= a.sent+a.valid-c.f.Skew {
		c.becomes(a.id, uncertain)
	}
}

func (c *checker) listed(k *conn, l *nodepb.Listing) {
	named := map[string]bool{}
	for _, e := range l.Entries {
		named[e.Node] = true
		v := c.view(k.from, e.Node)
		if e.Standing != nodepb.Standing_IN && v.standing == nodepb.Standing_IN {
			v.since = c.now
		}
		if e.StartedUnixNs > v.started && v.started > 0 {
			c.gone(k.from, e.Node) // a new life of the node has nothing of the former one's
		}
		v.standing, v.zone, v.cell, v.started = e.Standing, e.Zone, e.Cell, e.StartedUnixNs
		if e.Standing == nodepb.Standing_OUT {
			c.gone(k.from, e.Node)
		}
	}
	if !l.Whole || l.More {
		return
	}
	for node, v := range c.views[k.from] {
		if !named[node] && v.standing != nodepb.Standing_OUT {
			if v.standing == nodepb.Standing_IN {
				v.since = c.now
			}
			v.standing = nodepb.Standing_OUT
			c.gone(k.from, node)
		}
	}
}

// gone: the scheduler has been told that what ran there does not run any more.
func (c *checker) gone(scheduler, node string) {
	for _, a := range c.live(scheduler) {
		if a.node == node && a.phase == held {
			c.becomes(a.id, lost)
		}
	}
}

func same(at string, a, b *told, nodeA, nodeB string) bool {
	switch at {
	case "machine":
		return nodeA == nodeB
	case "cell":
		return a.cell == b.cell
	case "zone":
		return a.zone == b.zone
	}
	return at == "everywhere"
}

// offerSent judges an offer at the moment when it leaves its scheduler.
func (c *checker) offerSent(k *conn, o *nodepb.Offer) {
	t := o.Task
	if t == nil || c.attempts[o.Attempt] != nil {
		c.broken(NoSecondStart, "offer %s was sent twice", o.Attempt)
		return
	}
	c.v.Offers++
	a := &attempt{id: o.Attempt, scheduler: k.from, node: k.to, key: t.Key, job: t.Job, class: t.Class,
		service: t.Service, ask: t.Ask, conn: k.id, sent: c.now, valid: time.Duration(o.ValidForNs), since: c.now}
	if a.key == "" {
		a.key = a.job
	}
	class, view := c.class(a.class), c.view(a.scheduler, a.node)
	c.v.Rules[NoSecondStart].Checked++
	for _, b := range c.byKey[a.key] {
		c.expire(b)
		c.judgePair(class, a, b, view)
	}
	c.v.Rules[DrainsKept].Checked++
	if late := c.now - view.since - c.f.DrainGrace; view.standing != nodepb.Standing_IN && late > c.f.Skew {
		c.broken(DrainsKept, "%s offers %s to %s, %v after word that it is %s", a.scheduler, a.id, a.node,
			(late + c.f.DrainGrace).Round(time.Millisecond), standingNames[view.standing])
	}
	c.attempts[a.id] = a
	c.byKey[a.key] = append(c.byKey[a.key], a)
	c.liveOf(a.scheduler)[a] = true
	if class.Spread != "" && a.service != "" {
		c.judgeSpread(class, a, view)
	}
}

var standingNames = map[nodepb.Standing]string{nodepb.Standing_IN: "in", nodepb.Standing_DRAINING: "draining",
	nodepb.Standing_OUT: "out"}

// judgePair judges a new offer a against an earlier one of the same work.
func (c *checker) judgePair(class *Class, a, b *attempt, view *told) {
	sameAsk := a.job == b.job && a.ask == b.ask
	switch b.phase {
	case flying:
		if !b.stopped {
			c.broken(NoSecondStart, "%s is offered as %s while %s is in flight", a.key, a.id, b.id)
		}
	case held:
		// Word of it that has only just been passed on is not yet read when the next offer leaves: an acceptance as the
		// time runs out, a welcome after a cut. A stop follows.
		crossed := c.now-b.since < c.f.Skew
		if !b.stopped && !crossed {
			c.broken(NoSecondStart, "%s is offered as %s while %s holds it as %s", a.key, a.id, b.node, b.id)
		}
	case uncertain:
		switch {
		case class.Effect == "safe":
		case class.Effect == "keyed" && same(class.Group, view, c.view(a.scheduler, b.node), a.node, b.node) &&
			c.now <= b.sent+class.Window+c.f.Skew:
		case sameAsk:
			c.broken(NoSecondStart, "%s (%s) is offered as %s to %s though %s at %s may have run", a.key,
				class.Effect, a.id,
				a.node, b.id, b.node)
		case c.now < b.since+c.f.Settle-c.f.Skew:
			c.broken(NoSecondStart, "%s (%s) is offered as %s only %v after %s may have run", a.key,
				class.Effect, a.id,
				(c.now - b.since).Round(time.Millisecond), b.id)
		}
	}
}

// stands judges what nodes hold in truth: work that must not run twice is never held at two places.
func (c *checker) stands(node, id string) {
	a := c.attempts[id]
	if a == nil {
		return
	}
	if c.standing[a.key] == nil {
		c.standing[a.key] = map[string]*attempt{}
	}
	if class := c.class(a.class); class.Effect != "safe" {
		c.v.Rules[NoSecondStart].Checked++
		for _, b := range c.standing[a.key] {
			if b.id != id {
				c.broken(NoSecondStart, "%s (%s) is held by %s as %s and by %s as %s", a.key, class.Effect,
					b.node, b.id, node, id)
			}
		}
	}
	c.standing[a.key][id] = a
}

func (c *checker) judgeSpread(class *Class, a *attempt, view *told) {
	c.v.Rules[SpreadKept].Checked++
	n := 0
	for b := range c.bySched[a.scheduler] {
		c.expire(b)
		live := b.phase == held || b.phase == flying && !b.stopped
		if live && b.service == a.service && b.class == a.class &&
			same(class.Spread, view, c.view(a.scheduler, b.node), a.node, b.node) {
			n++
		}
	}
	if n > class.Most {
		c.broken(SpreadKept, "%s has %d tasks of %s in one %s with %s at %s, %d at most", a.scheduler, n, a.service,
			class.Spread, a.id, a.node, class.Most)
	}
}

// offerArrived counts what reaches a node that has just come up, by what its scheduler had been told.
func (c *checker) offerArrived(k *conn, o *nodepb.Offer) {
	view := c.view(k.from, k.to)
	n := c.cold[k.to]
	if up := view.up(); up > 0 && (n == nil || n.started < up) {
		n = &coldNode{started: up}
		c.cold[k.to] = n
	}
	if n == nil {
		return
	}
	age := c.now - time.Duration(n.started)
	if age < 0 || age >= c.f.Cold.For {
		return
	}
	c.v.Rules[ColdKept].Checked++
	kept := n.offers[:0]
	for _, x := range n.offers {
		if x.at >= c.now-c.f.Cold.Window {
			kept = append(kept, x)
		}
	}
	n.offers = append(kept, coldOffer{c.now, view.up() == n.started})
	bears, knew := c.f.Cold.bears(age), 0
	for _, x := range n.offers {
		if x.told {
			knew++
		}
	}
	if float64(len(n.offers)) > bears && 3*knew >= 2*len(n.offers) && !n.over {
		n.over = true
		c.broken(ColdKept, "%s, up for %v, gets %d offers within %v and bears %.0f", k.to,
			age.Round(time.Millisecond),
			len(n.offers), c.f.Cold.Window, bears)
	}
}
