package machineindex

import "testing"

// Schedulers of different versions run side by side and must agree on the hashes, so the values must not change.
func TestHashIsStable(t *testing.T) {
	for s, want := range map[string]uint64{
		"":            0xefd01f60ba992926,
		"m0":          0xa0101642ff63ec54,
		"service/web": 0x1e6dfa710c549345,
	} {
		if got := Hash(s); got != want {
			t.Errorf("Hash(%q) is %#x, want %#x", s, got, want)
		}
	}
}
