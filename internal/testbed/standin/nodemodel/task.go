package nodemodel

import (
	"cmp"
	"slices"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// task is an accepted task with the attempt that offered it. It waits for a start slot, starts, and then runs.
type task struct {
	attempt         string
	scheduler       string
	spec            *nodepb.Task
	accepted        Time
	starting        bool
	running         bool
	startsRunningAt Time // valid while starting
	endsAt          Time // valid while running
	// coreUsage and memoryUsage are the used fractions of the requested resources, valid while running.
	coreUsage   float64
	memoryUsage float64
}

// nextDue returns when the task begins to run or finishes; neverDue while it waits for a start slot.
func (t *task) nextDue() Time {
	switch {
	case t.starting:
		return t.startsRunningAt
	case t.running:
		return t.endsAt
	}
	return neverDue
}

// compareEvictionOrder orders tasks by priority, lowest first, and within a priority by acceptance, latest first. Remaining ties
// are broken by attempt, to be deterministic.
func compareEvictionOrder(a, b *task) int {
	return cmp.Or(
		cmp.Compare(a.spec.Priority, b.spec.Priority),
		cmp.Compare(b.accepted, a.accepted),
		cmp.Compare(b.attempt, a.attempt),
	)
}

// startTasks starts accepted tasks, oldest first, as long as start slots are free.
func (n *Node) startTasks() {
	for _, t := range n.tasksInAcceptanceOrder {
		if n.startingTasks >= n.cfg.StartSlots {
			return
		}
		if t.starting || t.running {
			continue
		}
		startTime := float64(n.cfg.CachedStartTime)
		if !n.programCached(t) {
			startTime *= max(n.cfg.UncachedStartFactor, 1)
		}
		t.starting, t.startsRunningAt = true, n.now+Time(startTime/n.startRate())
		n.startingTasks++
	}
}

// programCached reports whether the program of the task's service is cached or in use by another running task.
func (n *Node) programCached(t *task) bool {
	if slices.Contains(n.cachedPrograms, t.spec.Service) {
		return true
	}
	return slices.ContainsFunc(n.tasksInAcceptanceOrder, func(other *task) bool {
		return other != t && other.running && other.spec.Service == t.spec.Service
	})
}

// startRunning changes a task from starting to running.
func (n *Node) startRunning(t *task) {
	t.starting, t.running = false, true
	n.startingTasks--
	runtime := time.Duration(t.spec.LifeNs)
	if runtime <= 0 {
		runtime = time.Duration(float64(n.cfg.DefaultRuntime) * n.rng.ExpFloat64())
	}
	t.endsAt = n.now + runtime
	t.coreUsage = n.randomBetween(n.cfg.CoreUsageRange)
	t.memoryUsage = n.randomBetween(n.cfg.MemoryUsageRange)
	n.cachedPrograms = slices.DeleteFunc(n.cachedPrograms, func(s string) bool { return s == t.spec.Service })
	n.send(t.scheduler, &nodepb.Frame{Body: &nodepb.Frame_Started{Started: &nodepb.Started{Attempt: t.attempt}}})
	n.startTasks()
}

func (n *Node) randomBetween(bounds [2]float64) float64 {
	return bounds[0] + (bounds[1]-bounds[0])*n.rng.Float64()
}

// stopAttempt cancels a waiting offer or ends an accepted task. The reply is a Refused frame for the former and an Ended frame
// for the latter, which tells the scheduler whether the task was accepted.
func (n *Node) stopAttempt(scheduler, attempt string) {
	if n.cancelWaitingOffer(scheduler, attempt) {
		return
	}
	if t := n.tasks[attempt]; t != nil && t.scheduler == scheduler {
		n.endTask(t, nodepb.Ending_STOPPED, nodepb.Reason_UNTOLD)
	}
}

// endTask removes an accepted task and sends its outcome. All tasks end here, except those that are lost when the node dies.
func (n *Node) endTask(t *task, ending nodepb.Ending, reason nodepb.Reason) {
	if n.tasks[t.attempt] != t {
		return
	}
	delete(n.tasks, t.attempt)
	n.tasksInAcceptanceOrder = slices.DeleteFunc(n.tasksInAcceptanceOrder, func(other *task) bool { return other == t })
	if t.starting {
		n.startingTasks--
	}
	n.releaseKey(t.spec)
	if ending == nodepb.Ending_FINISHED {
		n.finishedTasks++
	}
	if t.running {
		n.cacheProgram(t.spec.Service)
	}
	outcome := &nodepb.Ended{Attempt: t.attempt, Ending: ending, Reason: reason, Load: n.loadReport()}
	n.retainOutcome(t.scheduler, outcome)
	n.send(t.scheduler, &nodepb.Frame{Body: &nodepb.Frame_Ended{Ended: outcome}})
	n.startTasks()
}

// cacheProgram caches the program of a service unless the node still has a task of it. If the cache is full, the least recently
// used program is removed.
func (n *Node) cacheProgram(service string) {
	hasTask := slices.ContainsFunc(n.tasksInAcceptanceOrder, func(t *task) bool { return t.spec.Service == service })
	if n.cfg.MaxCachedPrograms <= 0 || hasTask {
		return
	}
	if len(n.cachedPrograms) >= n.cfg.MaxCachedPrograms {
		n.cachedPrograms = n.cachedPrograms[1:]
	}
	n.cachedPrograms = append(n.cachedPrograms, service)
}

// EvictCachedPrograms removes each cached program with the given probability.
func (n *Node) EvictCachedPrograms(probability float64) {
	n.cachedPrograms = slices.DeleteFunc(n.cachedPrograms, func(string) bool { return n.rng.Float64() < probability })
}
