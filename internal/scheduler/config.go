package scheduler

import (
	"fmt"
	"time"

	"flaxshelf.example/flaxshelf"
)

// Time is the host's clock in nanoseconds of Unix time. It never goes back.
type Time = flaxshelf.Time

// Limits bound what a Core keeps and how long it waits. All of them must be above zero.
type Limits struct {
	MaxPending  int // jobs whose placement request is open; submissions beyond it are rejected with TryLater
	MaxRunning  int // jobs that have not ended; submissions beyond it are rejected with TryLater
	MaxFinished int // ended jobs kept for queries; the oldest is removed first
	MaxSessions int // job sessions

	Retention  time.Duration // how long an ended job is kept
	SettleTime time.Duration // how long a possibly running attempt is waited for before the work may start again

	PlacementTimeouts []time.Duration // of each class: how long a placement request may stay open
	StallThreshold    time.Duration   // a step that comes this long after the last one is taken for a stall
}

// Module chooses placements: a flaxshelf.Placer, or a baseline in its place. The core calls it from the goroutine that
// calls Core.Step.
type Module interface {
	Step(now Time, events []flaxshelf.Event) []flaxshelf.Action
}

// Config configures a Core. The core keeps a copy; the host must not change what its slices refer to.
type Config struct {
	Module    flaxshelf.Config // the module's own configuration
	Seed      uint64           // of the module's random choices
	Name      string           // of this scheduler, the same in each incarnation
	StartedAt Time             // start of this incarnation
	Limits    Limits

	// NewModule makes the module; nil stands for flaxshelf.New. Experiments put baselines in its place.
	NewModule func(cfg flaxshelf.Config, seed uint64) (Module, error)
	// RecordStep, when set, receives each step of the module. It must not keep or change the slices.
	RecordStep func(now Time, events []flaxshelf.Event, actions []flaxshelf.Action)
	// DisabledGuards switches off guards of the core, for tests that show whether the module alone keeps a rule.
	DisabledGuards Guards
	// WrapStep, when set, runs each step of the module, so that a host can measure its share. It must call step.
	WrapStep func(step func())
}

// Guards are the rules that the core enforces although the module enforces them already.
type Guards struct {
	Drain  bool // no offer to a node that is draining
	Answer bool // an outcome where the module gave none in time
}

// ConfigError reports a value of a Config that a Core can't work with.
type ConfigError struct {
	Field  string // as in Config, such as Limits.MaxPending
	Value  any
	Reason string
}

func (e *ConfigError) Error() string {
	return fmt.Sprintf("scheduler: Config.%s is %v: %s", e.Field, e.Value, e.Reason)
}

// validate returns a *ConfigError for the first value that is out of bounds.
func (cfg *Config) validate() error {
	if cfg.Name == "" {
		return &ConfigError{Field: "Name", Value: `""`, Reason: "a scheduler needs a name"}
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
			Reason: fmt.Sprintf("%d values for %d classes", timeouts, classes)}
	}
	return nil
}
