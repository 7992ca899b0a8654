package platform

import (
	"runtime"
	"syscall"
	"time"
)

// statsInterval is the time between two reports of statistics in the log.
const statsInterval = 5 * time.Second

// reportStats logs the statistics of the core and the process. docs/platform.md describes their names and units.
func (s *scheduler) reportStats() {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // cannot fail with these arguments
	cpu := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	s.options.Log.Info().Interface("stats", s.core.Stats()).
		Int64("heap_kb", int64(memory.HeapAlloc>>10)).Int64("sys_kb", int64(memory.Sys>>10)).Int64("max_rss_kb", usage.Maxrss).
		Dur("cpu_ms", cpu-s.cpuAtLastReport).Int("owner_connections", len(s.ownerSlots)).
		Int("received_kb", s.mailbox.reservedBytes()>>10).Uint64("rejected_on_receipt", s.rejectedOnReceipt.Load()).
		Uint64("last_event", s.watchPosition.lastSequence).Msg("stats")
	s.cpuAtLastReport = cpu
}
