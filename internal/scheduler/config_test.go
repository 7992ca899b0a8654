package scheduler

import (
	"errors"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// An invalid configuration is rejected with the name of the invalid field.
func TestNewReportsInvalidField(t *testing.T) {
	for _, test := range []struct {
		field      string
		invalidate func(*Config)
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
			test.invalidate(&cfg)
			_, err := New(cfg)
			var configError *ConfigError
			if !errors.As(err, &configError) || configError.Field != test.field {
				t.Errorf("got error %v, want a *ConfigError of field %s", err, test.field)
			}
		})
	}
}

// New returns an error that wraps that of Config.NewModule.
func TestNewReturnsErrorOfModule(t *testing.T) {
	moduleError := errors.New("no classes")
	cfg := testConfig()
	cfg.NewModule = func(flaxshelf.Config, uint64) (Module, error) { return nil, moduleError }
	if _, err := New(cfg); !errors.Is(err, moduleError) {
		t.Errorf("got error %v, want one that wraps %v", err, moduleError)
	}
}
