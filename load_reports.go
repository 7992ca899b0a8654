package flaxshelf

// Load reports: what machines report of their own load.

// recordLoadReport stores the latest load report of a machine.
func (p *Placer) recordLoadReport(m *machine, report LoadReport) {
	if report.Present {
		m.loadReport, m.loadReportedAt = report, p.now
		p.invalidate(m)
	}
}

// reportedLoad returns the load of m according to its last report: the used fraction of cores or of memory, whichever is
// larger. It is 0 if there is no report, if it is older than reportFreshness, or if the kind of m is unknown.
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
