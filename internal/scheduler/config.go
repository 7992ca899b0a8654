package scheduler

import (
	"fmt"
	"time"

	"flaxshelf.example/flaxshelf"
)

// Time is a reading of the host's clock, in nanoseconds since the Unix epoch. It does not decrease.
type Time = flaxshelf.Time

// Limits bound how much a Core stores and how long it waits. All values must be above zero.
type Limits struct {
	MaxPending  int // jobs whose placement request is open; further submissions are rejected with TryLater
	MaxRunning  int // jobs that have not ended, running or not; further submissions are rejected with TryLater
	MaxFinished int // ended jobs retained for queries; the job that ended first is removed first
	MaxSessions int // job sessions

	Retention  time.Duration // how long an ended job is retained for queries
	SettleTime time.Duration // how long to wait for an attempt that may be running before its job may start elsewhere

	PlacementTimeouts []time.Duration // by class: how long a placement request may stay open
	StallThreshold    time.Duration   // shortest interval between two steps that counts as a stall of the process
}

// Module is the decision module, which chooses the machines of tasks. It is a flaxshelf.Placer, or a simpler strategy that
// serves as a baseline in experiments. The core calls it from the goroutine that calls Core.Step.
type Module interface {
	Step(now Time, events []flaxshelf.Event) []flaxshelf.Action
}

// Config configures a Core. The core stores a shallow copy; the host must not change the elements of its slices.
type Config struct {
	Module    flaxshelf.Config // configuration of the module
	Seed      uint64           // seed of the module's random choices
	Name      string           // name of this scheduler, the same in each incarnation
	StartedAt Time             // start of this incarnation
	Limits    Limits

	// NewModule creates the module; nil means flaxshelf.New. Experiments use it to run baselines.
	NewModule func(cfg flaxshelf.Config, seed uint64) (Module, error)
	// RecordStep, if set, is called after each step of the module. It must not retain or change the slices.
	RecordStep func(now Time, events []flaxshelf.Event, actions []flaxshelf.Action)
	// DisabledGuards selects guards that the core does not apply, for tests of whether the module enforces a rule by itself.
	DisabledGuards Guards
	// WrapStep, if set, is called for each step of the module, so that a host can measure its duration. It must call step
	// once.
	WrapStep func(step func())
}

// Guards selects rules that the core enforces in addition to the module.
type Guards struct {
	Drain             bool // a node that is draining or removed gets no offer
	PlacementDeadline bool // a placement request fails if the module has not decided on it shortly after its deadline
}

// ConfigError reports an invalid value of a Config.
type ConfigError struct {
	Field  string // path in Config, such as Limits.MaxPending
	Value  any
	Reason string
}

func (e *ConfigError) Error() string {
	return fmt.Sprintf("scheduler: Config.%s is %v: %s", e.Field, e.Value, e.Reason)
}

// validate returns a *ConfigError for the first invalid value.
func (cfg *Config) validate() error {
	if cfg.Name == "" {
		return &ConfigError{Field: "Name", Value: `""`, Reason: "must not be empty"}
	}
	limits := &cfg.Limits
	for _, limit := range []struct {
		field string
		value int64
	}{
		{"MaxPending", int64(limits.MaxPending)},
		{"MaxRunning", int64(limits.MaxRunning)},
		{"MaxFinished", int64(limits.MaxFinished)},
		{"MaxSessions", int64(limits.MaxSessions)},
		{"SettleTime", int64(limits.SettleTime)},
		{"StallThreshold", int64(limits.StallThreshold)},
		{"Retention", int64(limits.Retention)},
	} {
		if limit.value <= 0 {
			return &ConfigError{Field: "Limits." + limit.field, Value: limit.value, Reason: "must be above 0"}
		}
	}
	if timeouts, classes := len(limits.PlacementTimeouts), len(cfg.Module.Classes); timeouts != classes {
		return &ConfigError{Field: "Limits.PlacementTimeouts", Value: limits.PlacementTimeouts,
			Reason: fmt.Sprintf("got %d values, want one for each of the %d classes", timeouts, classes)}
	}
	return nil
}
