// Package clock has the time that is given to the deterministic parts of the module: Unix time in nanoseconds that never
// steps. What makes decisions must not import it, but be given the time. Its functions may be called from several
// goroutines.
package clock

import "time"

// start is the one reading of the wall clock; all later times are counted from it by the monotonic clock.
var start = time.Now()

// Now returns Unix time in nanoseconds as the wall clock had it at the start of the process, counted on by the monotonic
// clock, so that a step of the wall clock moves no deadline.
func Now() time.Duration { return At(time.Now()) }

// At returns what Now would have returned at a reading of time.Now.
func At(t time.Time) time.Duration { return time.Duration(start.UnixNano()) + t.Sub(start) }

// Wall returns a time of Now as a time.Time in the local time zone.
func Wall(t time.Duration) time.Time { return time.Unix(0, int64(t)) }
