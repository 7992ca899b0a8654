package planrun

import (
	"context"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf/internal/settings"
)

// Owners who ask again after a second or two keep a surge alive: with long patience and slow asks, a load that held
// while it rose does not hold after one. Without asking again both edges are within a fifth.
func TestBothEdges(t *testing.T) {
	for _, c := range []struct {
		name  string
		retry time.Duration
		lower bool
	}{{"nobody asks again", 0, false}, {"owners ask again", 1500 * time.Millisecond, true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := planned(t, "$LOOK", "200ms", "$CORES", "0.05", "$MEMORY", "0.1")
			d.Seconds, d.After, d.Load[0].To = 60, 5, 60
			d.Load[0].Retry, d.Load[0].Patience = settings.Duration(c.retry), settings.Duration(30*time.Second)
			rising, falling, err := Both(context.Background(), d, Goal{Placed: 0.98, Warm: 40}, 6, 8, 1, 3.5, 0.08, 1)
			t.Logf("rising %.2f to %.2f, falling %.2f to %.2f, %v", rising.Low, rising.High, falling.Low, falling.High, err)
			if err != nil {
				t.Fatal(err)
			}
			if c.lower != (falling.High < 0.8*rising.Low) {
				t.Errorf("the falling edge is lower by a fifth: %v, wanted %v", !c.lower, c.lower)
			}
		})
	}
}
