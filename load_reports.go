package flaxshelf

// Load reports: how a machine's own report of its load is used.

// recordLoadReport keeps a machine's own report of its load.
func (p *Placer) recordLoadReport(m *machine, report LoadReport) {
	if report.Present {
		m.loadReport, m.loadReportedAt = report, p.now
		p.invalidate(m)
	}
}

// reportedLoad returns the load by a machine's last report, as a fraction of its kind; 0 without a fresh one.
func (p *Placer) reportedLoad(m *machine) float64 {
	if !m.loadReport.Present || p.now-m.loadReportedAt > reportFreshness || m.Kind < 0 {
		return 0
	}
	kind, load := p.cfg.Kinds[m.Kind], 0.0
	if m.loadReport.HasCores {
		load = max(load, 1-m.loadReport.FreeCores/kind.Cores)
	}
	if m.loadReport.HasMemory {
		load = max(load, 1-m.loadReport.FreeMemory/kind.Memory)
	}
	return load
}
