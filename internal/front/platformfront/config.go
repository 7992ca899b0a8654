// Package platformfront translates between the platform's protocols and the inputs and effects of requests.Core. It decodes the
// configuration file, messages from owners and nodes, and events of the control feed, which is the platform's discovery service.
// It encodes messages to owners and nodes. It validates all external input, and maps the names on the wire to the terms of the
// core. It makes no decisions about tasks, and does no I/O except in ReadConfig.
package platformfront

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/goccy/go-json"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/fleetsettings"
)

// minSockets is the smallest limit on sockets with which a scheduler can run.
const minSockets = 32

// Limits are the resources that the platform gives one scheduler.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // open file descriptors of any kind
}

// Config is the configuration of one scheduler. It must not be modified after ParseConfig, and is then safe for concurrent use.
type Config struct {
	Name, ListenAddr, ControlFeedAddr string
	Seed                              uint64
	Limits                            Limits
	InitialEvents                     []WatchEvent             // events that the control feed sent before the scheduler started
	InitialEventsJSON                 [][]byte                 // the JSON texts of InitialEvents
	LastSequence                      uint64                   // sequence number of the last of InitialEvents
	NodeIdleTimeout                   time.Duration            // idle time after which nodes close a link; zero: unknown
	Placer                            flaxshelf.Config         // settings of the placer
	Names                             *fleetsettings.NameIndex // indices in Placer of classes, kinds and tenants, by their names
}

// wireConfig is the JSON form of a configuration file.
type wireConfig struct {
	Name     string          `json:"name"`
	Listen   string          `json:"listen"`
	Seed     string          `json:"seed"`
	Feed     string          `json:"feed"`
	Limits   Limits          `json:"limits"`
	Known    wireKnown       `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// wireKnown is the JSON form of the events that the control feed sent before the scheduler started.
type wireKnown struct {
	LastSequence uint64            `json:"n"`
	Events       []json.RawMessage `json:"events"`
}

// ReadConfig reads and parses a configuration file. The error is a *ConfigError with the path.
func ReadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &ConfigError{Path: path, Reason: "cannot read file", Err: err}
	}
	c, err := ParseConfig(text)
	var invalid *ConfigError
	if errors.As(err, &invalid) {
		invalid.Path = path
	}
	return c, err
}

// ParseConfig parses the text of a configuration file. The error is a *ConfigError without a path.
func ParseConfig(text []byte) (*Config, error) {
	var wire wireConfig
	if err := json.Unmarshal(text, &wire); err != nil {
		return nil, invalidJSON(err)
	}
	c := &Config{Name: wire.Name, ListenAddr: wire.Listen, ControlFeedAddr: wire.Feed, Limits: wire.Limits,
		LastSequence: wire.Known.LastSequence}
	if err := c.validate(); err != nil {
		return nil, err
	}
	var err error
	if c.Seed, err = strconv.ParseUint(wire.Seed, 16, 64); err != nil {
		return nil, invalidConfig("seed", strconv.Quote(wire.Seed), "must be a number of up to 16 hex digits")
	}
	if err := c.decodeSettings(wire.Settings); err != nil {
		return nil, err
	}
	if err := c.decodeInitialEvents(wire.Known.Events); err != nil {
		return nil, err
	}
	return c, nil
}

// validate checks the addresses and limits. The settings are validated when they are decoded.
func (c *Config) validate() error {
	switch {
	case c.ListenAddr == "":
		return invalidConfig("listen", `""`, "must be an address")
	case c.ControlFeedAddr == "":
		return invalidConfig("feed", `""`, "must be an address")
	case !(c.Limits.Cores > 0):
		return invalidConfig("limits.cores", strconv.FormatFloat(c.Limits.Cores, 'g', -1, 64), "must be above 0")
	case c.Limits.MemoryMB <= 0:
		return invalidConfig("limits.memory_mb", strconv.Itoa(c.Limits.MemoryMB), "must be above 0")
	case c.Limits.Sockets < minSockets:
		return invalidConfig("limits.sockets", strconv.Itoa(c.Limits.Sockets), "must be "+strconv.Itoa(minSockets)+" or more")
	}
	return nil
}

// decodeInitialEvents decodes the events that the control feed sent before the scheduler started. The settings must have been
// decoded before.
func (c *Config) decodeInitialEvents(events []json.RawMessage) error {
	for i, data := range events {
		event, err := c.DecodeWatchEvent(data)
		if err != nil {
			return &ConfigError{Field: "known.events[" + strconv.Itoa(i) + "]", Err: err}
		}
		c.InitialEvents, c.InitialEventsJSON = append(c.InitialEvents, event), append(c.InitialEventsJSON, data)
	}
	// The settings may say that the endpoint list has free capacities although it has none. Every node would then look full.
	c.Placer.ListsFreeCapacity = c.Placer.ListsFreeCapacity &&
		slices.ContainsFunc(c.InitialEvents, func(e WatchEvent) bool { return e.HasFreeCapacity })
	return nil
}

func invalidConfig(field, value, reason string) error {
	return &ConfigError{Field: field, Value: value, Reason: reason}
}

// invalidJSON returns the error for a file that the JSON decoder rejected. It names the field if the decoder does.
func invalidJSON(err error) error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return &ConfigError{Field: mismatch.Field,
			Reason: fmt.Sprintf("must be of type %v, not %s", mismatch.Type, mismatch.Value)}
	}
	return &ConfigError{Reason: "must be a valid JSON object", Err: err}
}
