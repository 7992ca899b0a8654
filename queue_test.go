package flaxshelf

import (
	"testing"
	"time"
)

// A task of a tenant over its quota is served after one of a tenant within its quota, even if the latter is past its latency
// objective.
func TestOverQuotaTaskIsServedLast(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Name: "a", QuotaCores: 1}, {Name: "b", QuotaCores: 100}}
	p := startPlacer(t, cfg, testMachines(2))
	p.tenantCores[0], p.tenantCores[1] = 5, 5
	over, within := &task{class: &cfg.Classes[0]}, &task{class: &cfg.Classes[0]}
	within.Tenant = 1
	over.submittedAt, within.submittedAt = p.now, p.now
	if p.queueRankOf(over) <= p.queueRankOf(within) {
		t.Errorf("got queue rank %d over quota, want it above the rank %d within quota",
			p.queueRankOf(over), p.queueRankOf(within))
	}
	within.submittedAt = p.now - time.Minute
	if p.queueRankOf(over) <= p.queueRankOf(within) {
		t.Errorf("got queue rank %d over quota, want it above the rank %d of a late task within quota",
			p.queueRankOf(over), p.queueRankOf(within))
	}
}
