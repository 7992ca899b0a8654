package flaxshelf

import (
	"cmp"
	"slices"
)

// The queue is the open tasks in the order in which they are processed.

// queueRankCount is the number of ranks: queueRankOf returns values below it.
const queueRankCount = 4

// queueRankOf returns the rank of an open task. Tasks of lower rank are processed first. Those of tenants beyond their quota
// have the two higher ranks, and in each pair those past their latency objective have the higher one.
func (p *Placer) queueRankOf(t *task) int {
	rank := 0
	if p.now > t.submittedAt+t.class.LatencyObjective {
		rank = 1
	}
	if p.overQuota(t) {
		rank += 2
	}
	return rank
}

// overQuota reports whether t's tenant exceeds its quota. It is always false if tasks beyond the quota earn as much as others.
// This scheduler knows its own part only, so it assumes that the tenant requests the same of every scheduler. The result
// only affects the order of queued tasks.
func (p *Placer) overQuota(t *task) bool {
	if t.Tenant < 0 || t.Tenant >= len(p.cfg.Tenants) || p.cfg.OverQuotaWeight >= 1 {
		return false
	}
	quota := p.cfg.Tenants[t.Tenant].QuotaCores
	return quota > 0 && p.tenantCores[t.Tenant]*float64(p.cfg.Schedulers) > quota
}

// sortOpenTasks sorts the open tasks by queue rank; those of one rank keep their order. It is a counting sort,
// since thousands of tasks may be queued in each step.
func (p *Placer) sortOpenTasks() {
	var next [queueRankCount]int // by rank: the number of tasks, then the position of the next one
	sorted, previousRank := true, 0
	for _, t := range p.openTasks {
		t.queueRank = p.queueRankOf(t)
		next[t.queueRank]++
		sorted, previousRank = sorted && t.queueRank >= previousRank, t.queueRank
	}
	if p.disabled[ArrivalOrder] {
		slices.SortStableFunc(p.openTasks, func(a, b *task) int {
			return cmp.Or(cmp.Compare(a.queueRank, b.queueRank), cmp.Compare(b.submittedAt, a.submittedAt))
		})
		return
	}
	if sorted {
		return
	}
	for rank, position := 0, 0; rank < queueRankCount; rank++ {
		next[rank], position = position, position+next[rank]
	}
	p.sortBuffer = append(p.sortBuffer[:0], p.openTasks...)
	for _, t := range p.sortBuffer {
		p.openTasks[next[t.queueRank]] = t
		next[t.queueRank]++
	}
	clear(p.sortBuffer)
}
