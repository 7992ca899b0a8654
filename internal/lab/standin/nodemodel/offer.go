package nodemodel

import (
	"slices"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// offered puts an ask into the line. Every offer that arrives adds to the pressure on a cold node, refused ones
// too.
func (n *Node) offered(from string, o *nodepb.Offer) {
	if o.Task == nil || o.Attempt == "" || n.held[o.Attempt] != nil {
		return
	}
	if n.pushedOver() {
		n.fellOver = true
		n.Die()
		return
	}
	if len(n.waiting) >= n.cfg.MaxWaitingOffers {
		n.refuse(from, o, nodepb.Reason_TOO_MANY_WAIT)
		return
	}
	if len(n.waiting) == 0 {
		n.lookedAt = n.now + n.cfg.OfferReviewTime
	}
	n.waiting = append(n.waiting, &ask{from, o, n.now})
}

// cold tells whether the node has not been up for long.
func (n *Node) cold() bool {
	return n.cfg.SlowStartDuration > 0 && n.now-n.born < n.cfg.SlowStartDuration
}

// pace is the share of its full pace at which the node starts tasks now.
func (n *Node) pace() float64 {
	if !n.cold() {
		return 1
	}
	age := n.now - n.born
	return n.cfg.ColdFrom + (1-n.cfg.ColdFrom)*float64(age)/float64(n.cfg.SlowStartDuration)
}

// pushedOver counts an offer and tells whether it was one too many for a node that has just come up.
func (n *Node) pushedOver() bool {
	if !n.cold() || n.cfg.FallWindow <= 0 {
		return false
	}
	from := n.now - n.cfg.FallWindow
	n.offers = slices.DeleteFunc(n.offers, func(w weighed) bool { return w.at < from })
	n.offers = append(n.offers, weighed{n.now, 1})
	sum := 0.0
	for _, w := range n.offers {
		sum += w.w
	}
	perSecond := float64(n.cfg.StartSlots) / (n.cfg.CachedStartTime.Seconds() * max(n.cfg.UncachedStartFactor, 1))
	bears := n.cfg.FallMultiple * perSecond * n.pace() * n.cfg.FallWindow.Seconds()
	return sum > max(bears, n.cfg.FreshOffers)
}

// look decides on an ask.
func (n *Node) look(a *ask) {
	o, t := a.offer, a.offer.Task
	switch {
	case n.faults.silent(t.Class):
		return
	case n.now-a.arrived > time.Duration(o.ValidForNs):
		n.refuse(a.from, o, nodepb.Reason_NOT_HERE) // its scheduler has given up on it
		return
	case n.draining:
		n.refuse(a.from, o, nodepb.Reason_NOT_HERE)
		return
	case t.Key != "" && t.Effect != 0 && !n.room.Take(t.Key, n.cfg.Name):
		n.refuse(a.from, o, nodepb.Reason_NOT_HERE) // a copy stands in this room
		return
	}
	if reason, full := n.full(t); full {
		n.room.Free(t.Key, n.cfg.Name)
		n.refuse(a.from, o, reason)
		return
	}
	if n.faults.failsStart(t.Class, n.rng.Float64()) {
		n.room.Free(t.Key, n.cfg.Name)
		n.send(a.from, &nodepb.Frame{Body: &nodepb.Frame_Failed{Failed: &nodepb.Failed{Attempt: o.Attempt,
			Message: "the start failed", Load: n.load()}}})
		return
	}
	k := &task{attempt: o.Attempt, from: a.from, spec: t, accepted: n.now}
	n.held[k.attempt] = k
	n.order = append(n.order, k)
	n.send(a.from, &nodepb.Frame{Body: &nodepb.Frame_Accepted{Accepted: &nodepb.Accepted{Attempt: o.Attempt,
		Load: n.load()}}})
	n.startMore()
}

// full tells whether t does not fit, after pushing out lower priorities where the node does that.
func (n *Node) full(t *nodepb.Task) (nodepb.Reason, bool) {
	cores, memory := n.Free()
	cores += (n.cfg.CoreOvercommit - 1) * n.cfg.Cores
	memory += (n.cfg.MemoryOvercommit - 1) * n.cfg.Memory
	if t.Cores <= cores && t.Memory <= memory {
		return 0, false
	}
	var out []*task
	if n.cfg.Preempts {
		lower := slices.Clone(n.order)
		slices.SortFunc(lower, byPriority)
		for _, k := range lower {
			if k.spec.Priority >= t.Priority || t.Cores <= cores && t.Memory <= memory {
				break
			}
			cores += k.spec.Cores
			memory += k.spec.Memory
			out = append(out, k)
		}
	}
	switch {
	case t.Cores > cores:
		return nodepb.Reason_NO_CORES, true
	case t.Memory > memory:
		return nodepb.Reason_NO_MEMORY, true
	}
	for _, k := range out {
		n.end(k, nodepb.Ending_LOST, nodepb.Reason_PUSHED_OUT)
	}
	return 0, false
}

func (n *Node) refuse(to string, o *nodepb.Offer, r nodepb.Reason) {
	n.send(to, &nodepb.Frame{Body: &nodepb.Frame_Refused{Refused: &nodepb.Refused{Attempt: o.Attempt, Reason: r,
		Load: n.load()}}})
}

func (n *Node) load() *nodepb.Load {
	if !n.cfg.Reports {
		return nil
	}
	cores, memory := n.Free()
	return &nodepb.Load{FreeCores: cores, FreeMemory: memory}
}

// startMore starts what was accepted, a few at a time.
func (n *Node) startMore() {
	for _, t := range n.order {
		if n.starting >= n.cfg.StartSlots {
			return
		}
		if t.starting || t.running {
			continue
		}
		work := float64(n.cfg.CachedStartTime)
		if !n.hasProgram(t) {
			work *= max(n.cfg.UncachedStartFactor, 1)
		}
		t.starting, t.startDone = true, n.now+Time(work/n.pace())
		n.starting++
	}
}

func (n *Node) hasProgram(t *task) bool {
	if slices.Contains(n.kept, t.spec.Service) {
		return true
	}
	return slices.ContainsFunc(n.order, func(o *task) bool {
		return o != t && o.running &&
			o.spec.Service == t.spec.Service
	})
}

// begin runs a task whose start is done.
func (n *Node) begin(t *task) {
	t.starting, t.running = false, true
	n.starting--
	life := time.Duration(t.spec.LifeNs)
	if life <= 0 {
		life = time.Duration(float64(n.cfg.DefaultLife) * n.rng.ExpFloat64())
	}
	t.endsAt = n.now + life
	t.useCores, t.useMemory = n.draw(n.cfg.UseCores), n.draw(n.cfg.UseMemory)
	n.kept = slices.DeleteFunc(n.kept, func(s string) bool { return s == t.spec.Service })
	n.send(t.from, &nodepb.Frame{Body: &nodepb.Frame_Started{Started: &nodepb.Started{Attempt: t.attempt}}})
	n.startMore()
}

func (n *Node) draw(r [2]float64) float64 { return r[0] + (r[1]-r[0])*n.rng.Float64() }

// stop withdraws an ask that waits, or stops what was accepted. The answer to a stop is an Ended, or a Refused
// where the ask had not been looked at: the scheduler learns in either case what became of it.
func (n *Node) stop(from, attempt string) {
	for i, a := range n.waiting {
		if a.offer.Attempt == attempt && a.from == from {
			n.waiting = slices.Delete(n.waiting, i, i+1)
			if i == 0 {
				n.lookedAt = n.now + n.cfg.OfferReviewTime
			}
			n.refuse(from, a.offer, nodepb.Reason_UNTOLD)
			return
		}
	}
	if t := n.held[attempt]; t != nil && t.from == from {
		n.end(t, nodepb.Ending_STOPPED, nodepb.Reason_UNTOLD)
	}
}

// end is the one way out of the node for what it has accepted.
func (n *Node) end(t *task, e nodepb.Ending, r nodepb.Reason) {
	if n.held[t.attempt] != t {
		return
	}
	delete(n.held, t.attempt)
	n.order = slices.DeleteFunc(n.order, func(o *task) bool { return o == t })
	if t.starting {
		n.starting--
	}
	n.room.Free(t.spec.Key, n.cfg.Name)
	if e == nodepb.Ending_FINISHED {
		n.finished++
	}
	if t.running && n.cfg.MaxCachedPrograms > 0 && !slices.ContainsFunc(n.order, func(o *task) bool {
		return o.spec.Service == t.spec.Service
	}) {
		if len(n.kept) >= n.cfg.MaxCachedPrograms {
			n.kept = n.kept[1:]
		}
		n.kept = append(n.kept, t.spec.Service)
	}
	msg := &nodepb.Ended{Attempt: t.attempt, Ending: e, Reason: r, Load: n.load()}
	p := n.party(t.from)
	if p.ended = append(p.ended, msg); len(p.ended) > n.cfg.KeepEnded {
		p.ended = p.ended[1:]
	}
	n.send(t.from, &nodepb.Frame{Body: &nodepb.Frame_Ended{Ended: msg}})
	n.startMore()
}
