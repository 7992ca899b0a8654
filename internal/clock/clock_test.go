package clock

import (
	"testing"
	"time"
)

func TestNowIsMonotonic(t *testing.T) {
	last := Now()
	for range 1000 {
		now := Now()
		if now < last {
			t.Fatalf("got %v after %v, want a time that is not before it", now, last)
		}
		last = now
	}
}

func TestAtAndWallTimeAreInverse(t *testing.T) {
	for _, elapsed := range []time.Duration{0, time.Nanosecond, time.Hour, -time.Second} {
		t.Run(elapsed.String()+" after the start", func(t *testing.T) {
			reading := start.Add(elapsed)
			if got := At(reading) - At(start); got != elapsed {
				t.Errorf("got %v since the start, want %v", got, elapsed)
			}
			if got := WallTime(At(reading)); !got.Equal(reading) {
				t.Errorf("got %v, want %v", got, reading)
			}
		})
	}
}
