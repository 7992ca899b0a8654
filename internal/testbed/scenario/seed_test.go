package scenario

import "testing"

func TestSeedsOfIncarnationsStayTheSame(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want uint64
	}{
		{"first incarnation of the first scheduler", SchedulerSeed(7, 0, 1), 7002},
		{"second incarnation of scheduler 2", SchedulerSeed(7, 2, 2), 7203},
		{"first incarnation of the first node", NodeSeed(7, 0, 1), 8},
		{"second incarnation of node 3", NodeSeed(7, 3, 2), 3009},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.got != c.want {
				t.Errorf("got seed %d, want %d", c.got, c.want)
			}
		})
	}
}
