package scheduler

import (
	"errors"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// A configuration that a core can't work with is refused with the field that is wrong.
func TestNewReportsTheWrongField(t *testing.T) {
	for _, test := range []struct {
		field string
		spoil func(*Config)
	}{
		{"Name", func(cfg *Config) { cfg.Name = "" }},
		{"Limits.MaxPending", func(cfg *Config) { cfg.Limits.MaxPending = 0 }},
		{"Limits.MaxRunning", func(cfg *Config) { cfg.Limits.MaxRunning = 0 }},
		{"Limits.MaxFinished", func(cfg *Config) { cfg.Limits.MaxFinished = -1 }},
		{"Limits.MaxSessions", func(cfg *Config) { cfg.Limits.MaxSessions = 0 }},
		{"Limits.Retention", func(cfg *Config) { cfg.Limits.Retention = 0 }},
		{"Limits.SettleTime", func(cfg *Config) { cfg.Limits.SettleTime = -time.Second }},
		{"Limits.StallThreshold", func(cfg *Config) { cfg.Limits.StallThreshold = 0 }},
		{"Limits.PlacementTimeouts", func(cfg *Config) { cfg.Limits.PlacementTimeouts = nil }},
	} {
		t.Run(test.field, func(t *testing.T) {
			cfg := testConfig()
			test.spoil(&cfg)
			_, err := New(cfg)
			var configError *ConfigError
			if !errors.As(err, &configError) || configError.Field != test.field {
				t.Errorf("error %v, want one of field %s", err, test.field)
			}
		})
	}
}

// The error of the module's own configuration is passed on.
func TestNewPassesOnTheModulesError(t *testing.T) {
	wrong := errors.New("no classes")
	cfg := testConfig()
	cfg.NewModule = func(flaxshelf.Config, uint64) (Module, error) { return nil, wrong }
	if _, err := New(cfg); !errors.Is(err, wrong) {
		t.Errorf("error %v, want one that wraps %v", err, wrong)
	}
}
