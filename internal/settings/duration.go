package settings

import "time"

// Duration is a length of time that files write as a Go duration, such as 250ms or 1m30s.
type Duration time.Duration

// UnmarshalText reads a Go duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// MarshalText writes a Go duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Duration is d as a time.Duration.
func (d Duration) Duration() time.Duration { return time.Duration(d) }
