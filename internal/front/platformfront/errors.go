package platformfront

import (
	"errors"
	"fmt"
	"strings"

	"flaxshelf.example/flaxshelf/internal/codec/ownerjson"
)

// ErrConfig is matched by all errors of ReadConfig and ParseConfig.
var ErrConfig = errors.New("platform configuration")

// ConfigError reports a configuration file that cannot be read or is invalid. It matches ErrConfig and its cause.
type ConfigError struct {
	Path   string // path of the file; empty if the configuration was not read from a file
	Field  string // path of the field within the file, such as limits.cores; empty if the whole file is invalid
	Value  string // value of the field as written in the file; empty if Err contains it
	Reason string // what is expected
	Err    error  // the cause, or nil
}

// NewSettingsError returns a *ConfigError for settings that were parsed and that the core rejects.
func NewSettingsError(cause error) error { return &ConfigError{Field: fieldSettings, Err: cause} }

// Error implements error.
func (e *ConfigError) Error() string {
	parts := []string{ErrConfig.Error()}
	if e.Path != "" {
		parts[0] += " " + e.Path
	}
	if e.Field != "" {
		parts = append(parts, "field "+e.Field)
	}
	if e.Value != "" {
		parts = append(parts, e.Value)
	}
	if e.Reason != "" {
		parts = append(parts, e.Reason)
	}
	if e.Err != nil {
		parts = append(parts, e.Err.Error())
	}
	return strings.Join(parts, ": ")
}

// Unwrap returns ErrConfig and the cause, if there is one.
func (e *ConfigError) Unwrap() []error {
	if e.Err == nil {
		return []error{ErrConfig}
	}
	return []error{ErrConfig, e.Err}
}

// OwnerMessageError reports a message from an owner that is well-formed but has an invalid field. The connection can still be
// used.
type OwnerMessageError struct {
	Task   string         // ID in the message
	Type   ownerjson.Type // type of the message
	Field  string         // name of the field on the wire
	Value  string         // value of the field
	Reason string         // what is expected
}

// Error implements error.
func (e *OwnerMessageError) Error() string {
	return fmt.Sprintf("%s message for task %s: field %s: %.40q: %s", e.Type, e.Task, e.Field, e.Value, e.Reason)
}

// WatchEventError reports an invalid event of the control feed.
type WatchEventError struct {
	Sequence uint64 // sequence number of the event; 0 if it is not known
	Field    string // path of the field within the event; empty if the whole event is invalid
	Value    string // value of the field
	Reason   string // what is expected
	Err      error  // the cause, or nil
}

// Error implements error.
func (e *WatchEventError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("event of the control feed: %s: %v", e.Reason, e.Err)
	}
	return fmt.Sprintf("event %d of the control feed: field %s: %.40q: %s", e.Sequence, e.Field, e.Value, e.Reason)
}

// Unwrap returns the cause, or nil.
func (e *WatchEventError) Unwrap() error { return e.Err }
