package platformfront

import (
	"errors"
	"fmt"
	"strings"

	"flaxshelf.example/flaxshelf/internal/codec/ownerjson"
)

// ErrConfig is matched by every error about a configuration file.
var ErrConfig = errors.New("platform configuration")

// ConfigError reports an invalid configuration file. It matches ErrConfig and its cause.
type ConfigError struct {
	Path   string // of the file; empty if the configuration was not read from a file
	Field  string // path within the file, for instance limits.cores; empty if the whole file is invalid
	Value  string // of the field, as the file has it; empty if Err has it
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

// Unwrap returns ErrConfig and the cause, if there is one.
func (e *ConfigError) Unwrap() []error {
	if e.Err == nil {
		return []error{ErrConfig}
	}
	return []error{ErrConfig, e.Err}
}

// OwnerMessageError reports an invalid message of an owner. The connection can still be used.
type OwnerMessageError struct {
	Task   string // the ID that the message names
	Type   ownerjson.Type
	Field  string // name on the wire
	Value  string
	Reason string // what is expected
}

func (e *OwnerMessageError) Error() string {
	return fmt.Sprintf("%s of task %s: field %s: %.40q: %s", e.Type, e.Task, e.Field, e.Value, e.Reason)
}

// WatchEventError reports an invalid event of the control feed.
type WatchEventError struct {
	Sequence uint64 // 0 if it is not known
	Field    string // path within the event; empty if the whole event is invalid
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
