// Package clock has a monotonic Unix time in nanoseconds, for the deterministic parts of the program. Packages that make
// decisions must not import it: their callers pass the time. Its functions are safe for concurrent use.
package clock

import "time"

// start is the only reading of the wall clock. All later times are its sum with the time elapsed on the monotonic clock.
var start = time.Now()

// Now returns the Unix time of the start of the process plus the time elapsed since on the monotonic clock. A step of the wall
// clock moves no deadline.
func Now() time.Duration { return At(time.Now()) }

// At returns the result of Now at the instant t, which must be a result of time.Now.
func At(t time.Time) time.Duration { return time.Duration(start.UnixNano()) + t.Sub(start) }

// Wall converts a result of Now to a time.Time in the local time zone.
func Wall(t time.Duration) time.Time { return time.Unix(0, int64(t)) }
