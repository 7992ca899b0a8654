package flaxshelf

import (
	"fmt"
	"time"
)

// ConfigError is the error of New for a Config with an invalid value.
type ConfigError struct {
	Field  string // path within Config, with the name of the kind or class, such as Classes[2] (web).Kind
	Value  any    // the invalid value
	Reason string
}

// Error returns the field, its value and the reason.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("flaxshelf: Config.%s is %v: %s", e.Field, e.Value, e.Reason)
}

// validate returns a *ConfigError for the first field that is invalid, or nil.
func validate(cfg *Config) error {
	for i, kind := range cfg.Kinds {
		if err := validateKind(fmt.Sprintf("Kinds[%d] (%s)", i, kind.Name), kind); err != nil {
			return err
		}
	}
	for i, class := range cfg.Classes {
		if err := validateClass(fmt.Sprintf("Classes[%d] (%s)", i, class.Name), class, len(cfg.Kinds)); err != nil {
			return err
		}
	}
	for _, duration := range []struct {
		field string
		value time.Duration
	}{
		{"Tick", cfg.Tick},
		{"DrainGrace", cfg.DrainGrace},
		{"DiscoveryPollDeadline", cfg.DiscoveryPollDeadline},
		{"SlowStartDuration", cfg.SlowStartDuration},
		{"OverloadWindow", cfg.OverloadWindow},
		{"ConnectTimeout", cfg.ConnectTimeout},
	} {
		if duration.value < 0 {
			return &ConfigError{duration.field, duration.value, "must not be negative"}
		}
	}
	if cfg.MaxAttempts < 0 {
		return &ConfigError{"MaxAttempts", cfg.MaxAttempts, "must not be negative"}
	}
	return nil
}

// validateKind checks a kind of machine. field is its path in Config.
func validateKind(field string, kind MachineKind) error {
	if !(kind.Cores > 0) { // the negation also catches NaN
		return &ConfigError{field + ".Cores", kind.Cores, "must be above 0"}
	}
	if !(kind.Memory > 0) {
		return &ConfigError{field + ".Memory", kind.Memory, "must be above 0"}
	}
	return nil
}

// validateClass checks a class of tasks. field is its path in Config and kinds the number of machine kinds.
func validateClass(field string, class TaskClass, kinds int) error {
	switch {
	case class.Kind < -1 || class.Kind >= kinds:
		return &ConfigError{field + ".Kind", class.Kind, "must be -1 or an index in Config.Kinds"}
	case class.Idempotency < Idempotent || class.Idempotency > NonIdempotent:
		return &ConfigError{field + ".Idempotency", int(class.Idempotency),
			"must be Idempotent (0), IdempotentByKey (1) or NonIdempotent (2)"}
	case class.Idempotency == IdempotentByKey && (class.KeyDomain < MachineDomain || class.KeyDomain > FleetDomain):
		return &ConfigError{field + ".KeyDomain", int(class.KeyDomain),
			"must be from MachineDomain (1) to FleetDomain (4) with IdempotentByKey"}
	case class.SpreadDomain < NoDomain || class.SpreadDomain > ZoneDomain:
		return &ConfigError{field + ".SpreadDomain", int(class.SpreadDomain), "must be from NoDomain (0) to ZoneDomain (3)"}
	case class.SpreadDomain != NoDomain && class.MaxPerDomain < 1:
		return &ConfigError{field + ".MaxPerDomain", class.MaxPerDomain, "must be above 0 unless SpreadDomain is NoDomain"}
	}
	return nil
}
