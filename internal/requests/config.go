package requests

import (
	"fmt"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/admission"
)

// Config holds the settings of a Core.
type Config struct {
	Module flaxshelf.Config
	Seed   uint64
	// NodeUnreachableTimeout is how long a node may be unreachable before its tasks count as lost, usually
	// DefaultNodeUnreachableTimeout.
	NodeUnreachableTimeout time.Duration
	// NodeIdleTimeout is after how long without traffic nodes close a connection; 0: unknown.
	NodeIdleTimeout time.Duration
	// Admission bounds owners' connections and what each of them may have pending.
	Admission admission.Limits
	// MaxPending is how many requests may wait for their response; more are rejected.
	MaxPending int
	// MaxLinks bounds the links to nodes, those being dialed included; 0: no bound. Where there are more nodes, links go to
	// those with a pending offer first, then to those that run tasks, then to others.
	MaxLinks int
	// RecordStep, when set, is called with each step of the module. It must neither keep nor change the slices.
	RecordStep func(now Time, events []flaxshelf.Event, actions []flaxshelf.Action)
}

// ConfigError reports a field of Config whose value is out of range.
type ConfigError struct {
	Field  string // path within Config, like Admission.IdleTimeout
	Value  any
	Reason string
}

// Error names the field, its value and what is wrong with it.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("requests: Config.%s is %v: %s", e.Field, e.Value, e.Reason)
}

// validate returns a *ConfigError for the first field that is out of range. The module checks its own settings.
func (c *Config) validate() error {
	const (
		notPositive = "must be above 0"
		negative    = "must not be below 0"
	)
	for _, check := range []struct {
		field  string
		value  any
		valid  bool
		reason string
	}{
		{"NodeUnreachableTimeout", c.NodeUnreachableTimeout, c.NodeUnreachableTimeout > 0, notPositive},
		{"MaxPending", c.MaxPending, c.MaxPending > 0, notPositive},
		{"MaxLinks", c.MaxLinks, c.MaxLinks >= 0, negative},
		{"Admission.MaxConnections", c.Admission.MaxConnections, c.Admission.MaxConnections > 0, notPositive},
		{"Admission.MaxPendingPerConnection", c.Admission.MaxPendingPerConnection, c.Admission.MaxPendingPerConnection > 0,
			notPositive},
		{"Admission.IdleTimeout", c.Admission.IdleTimeout, c.Admission.IdleTimeout > 0, notPositive},
	} {
		if !check.valid {
			return &ConfigError{Field: check.field, Value: check.value, Reason: check.reason}
		}
	}
	return nil
}
