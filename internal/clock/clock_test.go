package clock

import (
	"testing"
	"time"
)

func TestNowNeverGoesBack(t *testing.T) {
	last := Now()
	for range 1000 {
		now := Now()
		if now < last {
			t.Fatalf("%v after %v", now, last)
		}
		last = now
	}
}

// A time of this clock is the wall's time, as long as the wall clock has not stepped.
func TestAtAndWall(t *testing.T) {
	for _, passed := range []time.Duration{0, time.Nanosecond, time.Hour, -time.Second} {
		reading := start.Add(passed)
		if got := At(reading) - At(start); got != passed {
			t.Errorf("%v after the start: %v", passed, got)
		}
		if got := Wall(At(reading)); !got.Equal(reading) {
			t.Errorf("%v after the start: %v, want %v", passed, got, reading)
		}
	}
}
