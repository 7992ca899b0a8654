package platformfront

import (
	"errors"
	"strconv"
	"time"

	"github.com/goccy/go-json"

	"flaxshelf.example/flaxshelf/internal/fleetsettings"
	"flaxshelf.example/flaxshelf/internal/textfields"
)

// fieldSettings is the name of the settings in the configuration file.
const fieldSettings = "settings"

// wireCapabilities is the JSON form of those capabilities in the settings that the placer does not use.
type wireCapabilities struct {
	Caps struct {
		IdleTimeoutNanos int64 `json:"conn_idle_ns"`
	} `json:"caps"`
}

// decodeSettings decodes the settings: the placer's configuration, the names of classes, kinds and tenants, and the idle timeout
// of nodes.
func (c *Config) decodeSettings(settings json.RawMessage) error {
	var err error
	if c.Placer, c.Names, err = fleetsettings.DecodeJSON(settings); err != nil {
		return invalidSetting(err)
	}
	var capabilities wireCapabilities
	const idleField = fieldSettings + ".caps.conn_idle_ns"
	if err := json.Unmarshal(settings, &capabilities); err != nil {
		return &ConfigError{Field: idleField, Reason: "must be a time in nanoseconds", Err: err}
	}
	idle := capabilities.Caps.IdleTimeoutNanos
	if idle < 0 {
		return invalidConfig(idleField, strconv.FormatInt(idle, 10), "must be 0 or above")
	}
	c.NodeIdleTimeout = time.Duration(idle)
	return nil
}

// invalidSetting returns the error for settings that package fleetsettings rejected. It names the setting if err does.
func invalidSetting(err error) error {
	var invalid *textfields.ValueError
	if errors.As(err, &invalid) {
		return invalidConfig(fieldSettings+"."+invalid.Field, strconv.Quote(invalid.Value), invalid.Reason)
	}
	return &ConfigError{Field: fieldSettings, Err: err}
}
