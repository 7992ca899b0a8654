package requests

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// A setting that is out of range is reported with its field and value.
func TestNewReportsConfigError(t *testing.T) {
	for _, test := range []struct {
		field  string
		value  any
		change func(*Config)
	}{
		{"NodeUnreachableTimeout", time.Duration(0), func(c *Config) { c.NodeUnreachableTimeout = 0 }},
		{"MaxPending", 0, func(c *Config) { c.MaxPending = 0 }},
		{"MaxLinks", -1, func(c *Config) { c.MaxLinks = -1 }},
		{"Admission.MaxConnections", 0, func(c *Config) { c.Admission.MaxConnections = 0 }},
		{"Admission.MaxPendingPerConnection", 0, func(c *Config) { c.Admission.MaxPendingPerConnection = 0 }},
		{"Admission.IdleTimeout", -time.Second, func(c *Config) { c.Admission.IdleTimeout = -time.Second }},
	} {
		t.Run(test.field, func(t *testing.T) {
			config := testConfig()
			test.change(&config)
			core, err := New(config)
			var configError *ConfigError
			if core != nil || !errors.As(err, &configError) {
				t.Fatalf("core %v, error %v", core, err)
			}
			if configError.Field != test.field || configError.Value != test.value || configError.Reason == "" {
				t.Errorf("%+v", configError)
			}
			if !strings.Contains(err.Error(), test.field) {
				t.Errorf("%q doesn't name the field", err)
			}
		})
	}
}

// Settings at their bounds are accepted.
func TestNewAcceptsBounds(t *testing.T) {
	config := testConfig()
	config.NodeUnreachableTimeout = 1
	config.MaxPending = 1
	config.MaxLinks = 0
	config.Admission.MaxConnections = 1
	config.Admission.MaxPendingPerConnection = 1
	config.Admission.IdleTimeout = 1
	if _, err := New(config); err != nil {
		t.Error(err)
	}
}

// What the module rejects is the module's error.
func TestNewReportsModuleError(t *testing.T) {
	config := testConfig()
	config.Module.MaxAttempts = -1
	core, err := New(config)
	var configError *ConfigError
	if core != nil || err == nil || errors.As(err, &configError) {
		t.Errorf("core %v, error %v", core, err)
	}
}
