package platformfront

import (
	"errors"
	"fmt"
	"strings"

	"flaxshelf.example/flaxshelf/internal/codec/ownerjson"
)

// ErrConfig is matched by every error about a configuration file.
var ErrConfig = errors.New("platform configuration")

// ConfigError is a configuration file that can't be used. It matches ErrConfig and its cause.
type ConfigError struct {
	Path   string // of the file; empty where the configuration came from no file
	Field  string // by its path within the file, for instance limits.cores; empty where the whole file is at fault
	Value  string // of the field, as the file has it; empty where Err has it
	Reason string // what is expected
	Err    error  // the cause, or nil
}

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

// Unwrap returns ErrConfig, and the cause where there is one.
func (e *ConfigError) Unwrap() []error {
	if e.Err == nil {
		return []error{ErrConfig}
	}
	return []error{ErrConfig, e.Err}
}

// OwnerMessageError is a message of an owner that can't be used. It concerns that message alone.
type OwnerMessageError struct {
	Task   string // the ID that the message names
	Type   ownerjson.Type
	Field  string // by its name on the wire
	Value  string
	Reason string // what is expected
}

func (e *OwnerMessageError) Error() string {
	return fmt.Sprintf("%s of task %s: field %s: %.40q: %s", e.Type, e.Task, e.Field, e.Value, e.Reason)
}

// WatchEventError is an event of the control feed that can't be used.
type WatchEventError struct {
	Sequence uint64 // 0 where it is not known
	Field    string // by its path within the event; empty where the whole event is at fault
	Value    string
	Reason   string // what is expected
	Err      error  // the cause, or nil
}

func (e *WatchEventError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("event of the control feed: %s: %v", e.Reason, e.Err)
	}
	return fmt.Sprintf("event %d of the control feed: field %s: %.40q: %s", e.Sequence, e.Field, e.Value, e.Reason)
}

// Unwrap returns the cause.
func (e *WatchEventError) Unwrap() error { return e.Err }
