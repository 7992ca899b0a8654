package settings

import "time"

// Duration is a time.Duration that is written in Go's syntax in configuration files, such as 250ms or 1m30s.
type Duration time.Duration

// UnmarshalText parses a duration as time.ParseDuration does. It implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// MarshalText returns the duration in Go's syntax. It implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Duration returns d as a time.Duration.
func (d Duration) Duration() time.Duration { return time.Duration(d) }
