// Package platformfront translates between the messages of the platform and the inputs and effects of requests.Core: the
// configuration file, owners' and nodes' messages, and the events of the control feed. It validates all external input, and
// maps the names of the platform's protocols to the terms of the core. It does no I/O, but for ReadConfig, and makes no decision.
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

// minSockets is the minimum number of sockets that a scheduler needs.
const minSockets = 32

// Limits are the resources that the platform gives one scheduler.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is the configuration of one scheduler. It is read-only after ParseConfig and then safe for concurrent use.
type Config struct {
	Name, Listen, DiscoveryAddr string
	Seed                        uint64
	Limits                      Limits
	InitialEvents               []WatchEvent  // the events of the control feed up to the start
	InitialEventData            [][]byte      // their JSON text
	LastSequence                uint64        // of the last of them
	NodeIdleTimeout             time.Duration // after which nodes close a connection without traffic; zero if not known
	Module                      flaxshelf.Config
	Names                       *fleetsettings.NameIndex
}

// wireConfig is a configuration file with the JSON names of its members.
type wireConfig struct {
	Name     string          `json:"name"`
	Listen   string          `json:"listen"`
	Seed     string          `json:"seed"`
	Feed     string          `json:"feed"`
	Limits   Limits          `json:"limits"`
	Known    wireKnown       `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// wireKnown are the events of the control feed up to the start.
type wireKnown struct {
	LastSequence uint64            `json:"n"`
	Events       []json.RawMessage `json:"events"`
}

// ReadConfig reads a configuration file. The error is a ConfigError.
func ReadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &ConfigError{Path: path, Reason: "can't be read", Err: err}
	}
	c, err := ParseConfig(text)
	var invalid *ConfigError
	if errors.As(err, &invalid) {
		invalid.Path = path
	}
	return c, err
}

// ParseConfig parses the text of a configuration file. The error is a ConfigError without a path.
func ParseConfig(text []byte) (*Config, error) {
	var wire wireConfig
	if err := json.Unmarshal(text, &wire); err != nil {
		return nil, invalidJSON(err)
	}
	c := &Config{Name: wire.Name, Listen: wire.Listen, DiscoveryAddr: wire.Feed, Limits: wire.Limits,
		LastSequence: wire.Known.LastSequence}
	if err := c.validate(); err != nil {
		return nil, err
	}
	var err error
	if c.Seed, err = strconv.ParseUint(wire.Seed, 16, 64); err != nil {
		return nil, invalidConfig("seed", strconv.Quote(wire.Seed), "must be a number of up to 16 hex digits")
	}
	if err := c.setSettings(wire.Settings); err != nil {
		return nil, err
	}
	if err := c.setInitialEvents(wire.Known.Events); err != nil {
		return nil, err
	}
	return c, nil
}

// validate checks the fields that are not within the settings.
func (c *Config) validate() error {
	switch {
	case c.Listen == "":
		return invalidConfig("listen", `""`, "must be an address")
	case c.DiscoveryAddr == "":
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

// setInitialEvents decodes the events of the control feed up to the start.
func (c *Config) setInitialEvents(events []json.RawMessage) error {
	for i, data := range events {
		event, err := c.DecodeWatchEvent(data)
		if err != nil {
			return &ConfigError{Field: "known.events[" + strconv.Itoa(i) + "]", Err: err}
		}
		c.InitialEvents, c.InitialEventData = append(c.InitialEvents, event), append(c.InitialEventData, data)
	}
	// If the list has no free capacity although the settings say so, every node would look full.
	c.Module.ListsFreeCapacity = c.Module.ListsFreeCapacity &&
		slices.ContainsFunc(c.InitialEvents, func(e WatchEvent) bool { return e.HasFreeCapacity })
	return nil
}

func invalidConfig(field, value, reason string) error {
	return &ConfigError{Field: field, Value: value, Reason: reason}
}

// invalidJSON returns the error for a file that the JSON decoder rejected, with the field if the decoder reports it.
func invalidJSON(err error) error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return &ConfigError{Field: mismatch.Field,
			Reason: fmt.Sprintf("must be of type %v, not %s", mismatch.Type, mismatch.Value)}
	}
	return &ConfigError{Reason: "not a configuration as a JSON object", Err: err}
}
