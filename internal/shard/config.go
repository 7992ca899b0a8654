package shard

import (
	"fmt"
	"strconv"

	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// MaxCores is the largest number of cores of one scheduler.
const MaxCores = 64

// seedStep tells the seeds of the cores apart: 2^64 divided by the golden ratio, so that multiples of it spread evenly.
const seedStep = 0x9e3779b97f4a7c15

// CoreCountError reports a number of cores that a scheduler can't have.
type CoreCountError struct{ Cores int }

func (e *CoreCountError) Error() string {
	return fmt.Sprintf("is %d, expected 1 to %d", e.Cores, MaxCores)
}

// Check returns a *CoreCountError where a scheduler can't have that number of cores.
func Check(cores int) error {
	if cores < 1 || cores > MaxCores {
		return &CoreCountError{Cores: cores}
	}
	return nil
}

// CoreName is the name of one of several cores; the scheduler's own where there is one core.
func CoreName(scheduler string, core, cores int) string {
	if cores == 1 {
		return scheduler
	}
	return scheduler + "~" + strconv.Itoa(core)
}

// Divide returns the configuration of one of several cores, which has its share of the limits. Its module is configured
// for a cluster with that many times more schedulers; slow-start budgets are divided by the number of schedulers there.
func Divide(cfg scheduler.Config, core, cores int) scheduler.Config {
	if cores == 1 {
		return cfg
	}
	cfg.Name = CoreName(cfg.Name, core, cores)
	cfg.Seed += uint64(core) * seedStep
	cfg.Module.Index = cfg.Module.Index*cores + core
	cfg.Module.Schedulers = max(cfg.Module.Schedulers, 1) * cores
	cfg.Limits.MaxPending = quotaOf(cfg.Limits.MaxPending, core, cores)
	cfg.Limits.MaxRunning = quotaOf(cfg.Limits.MaxRunning, core, cores)
	cfg.Limits.MaxFinished = quotaOf(cfg.Limits.MaxFinished, core, cores)
	return cfg
}

// quotaOf is a core's share of a limit, at least 1. Otherwise the shares of all cores add up to the limit.
func quotaOf(limit, core, cores int) int { return max((limit+cores-1-core)/cores, 1) }
