package shard

import (
	"fmt"
	"strconv"

	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// MaxCores is the largest number of cores of one scheduler.
const MaxCores = 64

// seedStep is the difference between the seeds of consecutive cores: 2^64 divided by the golden ratio, whose multiples modulo
// 2^64 are spread evenly.
const seedStep = 0x9e3779b97f4a7c15

// CoreCountError reports an invalid number of cores.
type CoreCountError struct{ Cores int }

func (e *CoreCountError) Error() string {
	return fmt.Sprintf("got %d cores, expected 1 to %d", e.Cores, MaxCores)
}

// CheckCoreCount returns a *CoreCountError if the number of cores is invalid.
func CheckCoreCount(cores int) error {
	if cores < 1 || cores > MaxCores {
		return &CoreCountError{Cores: cores}
	}
	return nil
}

// CoreName returns the name that a core uses as a scheduler of its own. A single core uses the name of the scheduler.
func CoreName(scheduler string, core, cores int) string {
	if cores == 1 {
		return scheduler
	}
	return scheduler + "~" + strconv.Itoa(core)
}

// ConfigForCore returns the configuration of one of several cores, with its share of the limits of the scheduler. It
// multiplies the module's number of schedulers by the number of cores, because slow-start budgets are divided by that number.
func ConfigForCore(cfg scheduler.Config, core, cores int) scheduler.Config {
	if cores == 1 {
		return cfg
	}
	cfg.Name = CoreName(cfg.Name, core, cores)
	cfg.Seed += uint64(core) * seedStep
	cfg.Module.Index = cfg.Module.Index*cores + core
	cfg.Module.Schedulers = max(cfg.Module.Schedulers, 1) * cores
	cfg.Limits.MaxPending = shareOf(cfg.Limits.MaxPending, core, cores)
	cfg.Limits.MaxRunning = shareOf(cfg.Limits.MaxRunning, core, cores)
	cfg.Limits.MaxFinished = shareOf(cfg.Limits.MaxFinished, core, cores)
	return cfg
}

// shareOf returns a core's share of a limit, which is at least 1. The shares of all cores add up to the limit, unless the
// limit is below the number of cores.
func shareOf(limit, core, cores int) int { return max((limit+cores-1-core)/cores, 1) }
