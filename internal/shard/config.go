package shard

import (
	"fmt"
	"strconv"

	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// MaxCores is the largest number of cores of one scheduler.
const MaxCores = 64

// seedStep is the difference between the seeds of two cores: 2^64 divided by the golden ratio, whose multiples are spread
// evenly.
const seedStep = 0x9e3779b97f4a7c15

// CoreCountError reports an invalid number of cores.
type CoreCountError struct{ Cores int }

func (e *CoreCountError) Error() string {
	return fmt.Sprintf("is %d, expected 1 to %d", e.Cores, MaxCores)
}

// Check returns a *CoreCountError if the number of cores is invalid.
func Check(cores int) error {
	if cores < 1 || cores > MaxCores {
		return &CoreCountError{Cores: cores}
	}
	return nil
}

// CoreName returns the name of a core. A single core has the scheduler's name.
func CoreName(scheduler string, core, cores int) string {
	if cores == 1 {
		return scheduler
	}
	return scheduler + "~" + strconv.Itoa(core)
}

// Divide returns the configuration of a core, with its share of the limits. The module's number of schedulers is multiplied
// by the number of cores, since slow-start budgets are divided by it.
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

// quotaOf returns a core's share of a limit. The shares of all cores add up to the limit, unless that is below the number
// of cores: a share is at least 1.
func quotaOf(limit, core, cores int) int { return max((limit+cores-1-core)/cores, 1) }
