package countformat

import "testing"

// TestFormat checks the order of the names and the text for none.
func TestFormat(t *testing.T) {
	for _, c := range []struct {
		counts map[string]int
		want   string
	}{
		{nil, "none"},
		{map[string]int{}, "none"},
		{map[string]int{"b": 2, "a": 1, "refused: no cores": 0}, "a 1, b 2, refused: no cores 0"},
	} {
		if got := Format(c.counts); got != c.want {
			t.Errorf("%v: %q, want %q", c.counts, got, c.want)
		}
	}
}
