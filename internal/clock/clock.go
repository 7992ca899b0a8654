// Package clock provides a monotonic Unix time, as the nanoseconds since the Unix epoch. Packages that must behave
// deterministically must not import it: their callers pass the time. Its functions are safe for concurrent use.
package clock

import "time"

// start is the only reading of the wall clock. Later times are start plus the time elapsed on the monotonic clock.
var start = time.Now()

// Now returns the Unix time at the start of the process plus the time elapsed since then on the monotonic clock, so that
// steps of the wall clock don't move deadlines.
func Now() time.Duration { return At(time.Now()) }

// At converts t, which must be a result of time.Now, to the time that Now would have returned at the same moment.
func At(t time.Time) time.Duration { return time.Duration(start.UnixNano()) + t.Sub(start) }

// WallTime converts a result of Now to a time.Time in the local time zone.
func WallTime(t time.Duration) time.Time { return time.Unix(0, int64(t)) }
