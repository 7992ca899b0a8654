package flaxshelf

import (
	"testing"
	"time"
)

func TestOverQuotaTaskIsServedLast(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Name: "a", QuotaCores: 1}, {Name: "b", QuotaCores: 100}}
	p := startPlacer(t, cfg, testMachines(2))
	p.tenantCores[0], p.tenantCores[1] = 5, 5
	over, within := &task{class: &cfg.Classes[0]}, &task{class: &cfg.Classes[0]}
	within.Tenant = 1
	over.submittedAt, within.submittedAt = p.now, p.now
	if p.queueRankOf(over) <= p.queueRankOf(within) {
		t.Errorf("over quota got rank %d, want it above %d", p.queueRankOf(over), p.queueRankOf(within))
	}
	within.submittedAt = p.now - time.Minute
	if p.queueRankOf(over) <= p.queueRankOf(within) {
		t.Errorf("over quota got rank %d, want it above that of a late task, %d", p.queueRankOf(over), p.queueRankOf(within))
	}
}
