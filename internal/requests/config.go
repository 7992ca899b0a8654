package requests

import (
	"fmt"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/admission"
)

// Config holds the settings of a Core.
type Config struct {
	// Placer holds the settings of the flaxshelf.Placer that makes the placement decisions.
	Placer flaxshelf.Config
	// Seed seeds the random numbers of the placer and the jitter of backoffs.
	Seed uint64
	// NodeUnreachableTimeout is how long a node may be unreachable before its tasks count as lost. It is usually
	// DefaultNodeUnreachableTimeout.
	NodeUnreachableTimeout time.Duration
	// NodeIdleTimeout is the time without traffic after which nodes close a connection. Zero means that it is unknown, and
	// turns off the renewal of idle links.
	NodeIdleTimeout time.Duration
	// Admission holds the limits on owners' connections and on the requests that are pending on each of them.
	Admission admission.Limits
	// MaxPending is the maximum number of requests that wait for a response. Requests above it are rejected.
	MaxPending int
	// MaxPendingBytes is the maximum size of these requests in bytes. Half of it is divided evenly among the connections that
	// Admission allows, and no connection gets more than an eighth of it. Requests above that are rejected.
	MaxPendingBytes int
	// MaxUnconfirmedAdoptions is the maximum number of adopted tasks on listed nodes that no node has confirmed. Above it, tasks
	// of the least credible connections are given up.
	MaxUnconfirmedAdoptions int
	// MaxLinks is the maximum number of links to nodes, including those being dialed. Zero means no limit. If there are more
	// nodes than links, nodes for which an offer is waiting have priority, then nodes that run tasks, then the others.
	MaxLinks int
	// RecordStep, if not nil, is called after each step of the placer with its events and actions. It must not retain or
	// modify the slices.
	RecordStep func(now Time, events []flaxshelf.Event, actions []flaxshelf.Action)
}

// ConfigError reports a field of Config whose value is out of range.
type ConfigError struct {
	Field  string // path within Config, such as "Admission.IdleTimeout"
	Value  any
	Reason string
}

// Error returns the field, its value and the reason.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("requests: Config.%s is %v: %s", e.Field, e.Value, e.Reason)
}

// validate returns a *ConfigError for the first field that is out of range. flaxshelf.New validates the placer's settings.
func (c *Config) validate() error {
	const (
		mustBePositive    = "must be above 0"
		mustNotBeNegative = "must not be below 0"
	)
	for _, check := range []struct {
		field  string
		value  any
		valid  bool
		reason string
	}{
		{"NodeUnreachableTimeout", c.NodeUnreachableTimeout, c.NodeUnreachableTimeout > 0, mustBePositive},
		{"MaxPending", c.MaxPending, c.MaxPending > 0, mustBePositive},
		{"MaxPendingBytes", c.MaxPendingBytes, c.MaxPendingBytes > 0, mustBePositive},
		{"MaxUnconfirmedAdoptions", c.MaxUnconfirmedAdoptions, c.MaxUnconfirmedAdoptions > 0, mustBePositive},
		{"MaxLinks", c.MaxLinks, c.MaxLinks >= 0, mustNotBeNegative},
		{"Admission.MaxConnections", c.Admission.MaxConnections, c.Admission.MaxConnections > 0, mustBePositive},
		{"Admission.MaxPendingPerConnection", c.Admission.MaxPendingPerConnection, c.Admission.MaxPendingPerConnection > 0,
			mustBePositive},
		{"Admission.IdleTimeout", c.Admission.IdleTimeout, c.Admission.IdleTimeout > 0, mustBePositive},
	} {
		if !check.valid {
			return &ConfigError{Field: check.field, Value: check.value, Reason: check.reason}
		}
	}
	return nil
}
