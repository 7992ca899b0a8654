package countformat

import "testing"

func TestFormatOrdersNames(t *testing.T) {
	for _, c := range []struct {
		name   string
		counts map[string]int
		want   string
	}{
		{"no map", nil, "none"},
		{"no counts", map[string]int{}, "none"},
		{"several names", map[string]int{"b": 2, "a": 1, "refused: no cores": 0}, "a 1, b 2, refused: no cores 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Format(c.counts); got != c.want {
				t.Errorf("Format(%v): got %q, want %q", c.counts, got, c.want)
			}
		})
	}
}

func TestFormatOutcomesReplacesNamesOnTheWire(t *testing.T) {
	for _, c := range []struct {
		name   string
		counts map[string]int
		want   string
	}{
		{"no counts", nil, "none"},
		{"outcomes", map[string]int{"placed": 4, "refused": 3, "failed": 2, "withdrawn": 1},
			"canceled 1, failed 2, placed 4, rejected 3"},
		{"sub-states", map[string]int{"unreached": 1, "pushed-out": 2, "sent-away": 3, "broke": 4, "exited": 5},
			"drained away 3, exited 5, preempted 2, start failed 4, unreachable 1"},
		{"name on the wire and its term", map[string]int{"refused": 1, "rejected": 2}, "rejected 3"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := FormatOutcomes(c.counts); got != c.want {
				t.Errorf("FormatOutcomes(%v): got %q, want %q", c.counts, got, c.want)
			}
		})
	}
}

func TestOutcomeTermReplacesNamesOnTheWire(t *testing.T) {
	for _, c := range []struct{ name, want string }{
		{"placed", "placed"},
		{"failed", "failed"},
		{"refused", "rejected"},
		{"withdrawn", "canceled"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := OutcomeTerm(c.name); got != c.want {
				t.Errorf("OutcomeTerm(%q): got %q, want %q", c.name, got, c.want)
			}
		})
	}
}
