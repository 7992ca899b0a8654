package nodemodel

import (
	"slices"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// effectIdempotent is the wire value of Task.Effect for tasks of which several copies may run at the same time.
const effectIdempotent = 0

// waitingOffer is an offer that the node has not decided on yet.
type waitingOffer struct {
	scheduler string
	offer     *nodepb.Offer
	arrived   Time
}

// receiveOffer queues an offer for review. Every offer counts towards overload, also one that is rejected because the queue is
// full.
func (n *Node) receiveOffer(scheduler string, o *nodepb.Offer) {
	if o.Task == nil || o.Attempt == "" || n.tasks[o.Attempt] != nil {
		return
	}
	if n.recordOffer() {
		n.overloaded = true
		n.Die()
		return
	}
	if len(n.waitingOffers) >= n.cfg.MaxWaitingOffers {
		n.rejectOffer(scheduler, o, nodepb.Reason_TOO_MANY_WAIT)
		return
	}
	if len(n.waitingOffers) == 0 {
		n.reviewEndsAt = n.now + n.cfg.OfferReviewTime
	}
	n.waitingOffers = append(n.waitingOffers, &waitingOffer{scheduler, o, n.now})
}

// dropWaitingOffers removes the waiting offers of a scheduler without a reply.
func (n *Node) dropWaitingOffers(scheduler string) {
	if len(n.waitingOffers) > 0 && n.waitingOffers[0].scheduler == scheduler {
		n.reviewEndsAt = n.now + n.cfg.OfferReviewTime // for the next offer, whose review begins now
	}
	n.waitingOffers = slices.DeleteFunc(n.waitingOffers, func(w *waitingOffer) bool { return w.scheduler == scheduler })
}

// cancelWaitingOffer rejects a waiting offer and reports whether there was one.
func (n *Node) cancelWaitingOffer(scheduler, attempt string) bool {
	i := slices.IndexFunc(n.waitingOffers, func(w *waitingOffer) bool {
		return w.offer.Attempt == attempt && w.scheduler == scheduler
	})
	if i < 0 {
		return false
	}
	offer := n.waitingOffers[i].offer
	n.waitingOffers = slices.Delete(n.waitingOffers, i, i+1)
	if i == 0 {
		n.reviewEndsAt = n.now + n.cfg.OfferReviewTime
	}
	n.rejectOffer(scheduler, offer, nodepb.Reason_UNTOLD)
	return true
}

// reviewOffer accepts or rejects an offer. Injected faults drop the offer or fail its start.
func (n *Node) reviewOffer(w *waitingOffer) {
	offer, spec := w.offer, w.offer.Task
	if n.fault.dropsReplies(spec.Class) {
		return
	}
	expired := n.now-w.arrived > time.Duration(offer.ValidForNs) // the scheduler no longer waits for a reply
	if expired || n.draining || !n.reserveKey(spec) {
		n.rejectOffer(w.scheduler, offer, nodepb.Reason_NOT_HERE)
		return
	}
	if reason, fits := n.makeRoom(spec); !fits {
		n.releaseKey(spec)
		n.rejectOffer(w.scheduler, offer, reason)
		return
	}
	if n.fault.failsStart(spec.Class, n.rng.Float64()) {
		n.releaseKey(spec)
		n.send(w.scheduler, &nodepb.Frame{Body: &nodepb.Frame_Failed{Failed: &nodepb.Failed{Attempt: offer.Attempt,
			Message: "the start failed", Load: n.loadReport()}}})
		return
	}
	n.acceptOffer(w)
}

// acceptOffer accepts an offered task, which starts as soon as a start slot is free.
func (n *Node) acceptOffer(w *waitingOffer) {
	t := &task{attempt: w.offer.Attempt, scheduler: w.scheduler, spec: w.offer.Task, accepted: n.now}
	n.tasks[t.attempt] = t
	n.tasksInAcceptanceOrder = append(n.tasksInAcceptanceOrder, t)
	n.send(w.scheduler, &nodepb.Frame{Body: &nodepb.Frame_Accepted{Accepted: &nodepb.Accepted{Attempt: t.attempt,
		Load: n.loadReport()}}})
	n.startTasks()
}

func (n *Node) rejectOffer(to string, o *nodepb.Offer, reason nodepb.Reason) {
	n.send(to, &nodepb.Frame{Body: &nodepb.Frame_Refused{Refused: &nodepb.Refused{Attempt: o.Attempt, Reason: reason,
		Load: n.loadReport()}}})
}

// reserveKey reserves the task's idempotency key. It returns false if a copy of the task has reserved the key on any node of
// the zone. Tasks without a key, and those whose copies may run at the same time, need no reservation.
func (n *Node) reserveKey(spec *nodepb.Task) bool {
	if spec.Key == "" || spec.Effect == effectIdempotent {
		return true
	}
	return n.keys.Reserve(spec.Key, n.cfg.Name)
}

// releaseKey releases the key if reserveKey has reserved it for this node.
func (n *Node) releaseKey(spec *nodepb.Task) { n.keys.Release(spec.Key, n.cfg.Name) }

// makeRoom reports whether a task fits, after the preemption of tasks of lower priority if necessary and enabled. If the task
// does not fit even so, no task is preempted, and the returned reason is the resource that is short.
func (n *Node) makeRoom(spec *nodepb.Task) (reason nodepb.Reason, fits bool) {
	cores, memory := n.FreeResources()
	cores += (n.cfg.CoreOvercommit - 1) * n.cfg.Cores
	memory += (n.cfg.MemoryOvercommit - 1) * n.cfg.Memory
	var victims []*task
	if n.cfg.Preempts {
		lowestFirst := slices.Clone(n.tasksInAcceptanceOrder)
		slices.SortFunc(lowestFirst, compareEvictionOrder)
		for _, t := range lowestFirst {
			enough := spec.Cores <= cores && spec.Memory <= memory
			if enough || t.spec.Priority >= spec.Priority {
				break
			}
			cores += t.spec.Cores
			memory += t.spec.Memory
			victims = append(victims, t)
		}
	}
	switch {
	case spec.Cores > cores:
		return nodepb.Reason_NO_CORES, false
	case spec.Memory > memory:
		return nodepb.Reason_NO_MEMORY, false
	}
	for _, t := range victims {
		n.endTask(t, nodepb.Ending_LOST, nodepb.Reason_PUSHED_OUT)
	}
	return nodepb.Reason_UNTOLD, true
}
