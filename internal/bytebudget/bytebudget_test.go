package bytebudget

import (
	"math/rand/v2"
	"testing"
)

// One holder gets at most an eighth. Further holders share half of the limit, and each one that comes later still gets its
// guaranteed share.
func TestHoldersGetTheirShares(t *testing.T) {
	const limit, holders = 1600, 10 // guaranteed: 80 for each holder
	b := New[int](limit, holders)
	if !b.Reserve(0, limit/8) || b.Reserve(0, 1) {
		t.Errorf("want an eighth of the limit reserved for one holder, and no byte more")
	}
	for holder := 1; holder < 6; holder++ {
		b.Reserve(holder, limit/8)
	}
	if !b.Reserve(6, 160) {
		t.Errorf("holder 6: got no bytes, want its guaranteed share and the rest of the shared half")
	}
	for holder := 7; holder < holders; holder++ {
		if b.Reserve(holder, 81) {
			t.Errorf("holder %d: got a byte more than its guaranteed share, want the shared half used up", holder)
		}
		if !b.Reserve(holder, 80) {
			t.Errorf("holder %d: got no guaranteed share", holder)
		}
	}
	b.Release(0, limit/8)
	if !b.Reserve(7, 120) {
		t.Errorf("want the shared half available after a release")
	}
}

// After any reservations and releases, the holders hold what the budget counts, never more than the limit, and nothing at the end.
func TestBudgetIsKeptByRandomUse(t *testing.T) {
	const limit, holders = 10000, 20
	rng := rand.New(rand.NewPCG(1, 2))
	b := New[int](limit, holders)
	held := map[int][]int{}
	total := 0
	for range 20000 {
		holder, bytes := rng.IntN(holders), rng.IntN(400)
		if own := held[holder]; len(own) > 0 && rng.IntN(2) == 0 {
			b.Release(holder, own[0])
			total -= own[0]
			held[holder] = own[1:]
		} else if b.Reserve(holder, bytes) {
			held[holder] = append(own, bytes)
			total += bytes
		}
		if b.Used() != total || total > limit {
			t.Fatalf("got %d bytes used, want %d and at most %d", b.Used(), total, limit)
		}
	}
	for holder, own := range held {
		for _, bytes := range own {
			b.Release(holder, bytes)
		}
	}
	if b.Used() != 0 || b.sharedUsed != 0 || len(b.usedByHolder) != 0 {
		t.Errorf("got %+v after all releases, want nothing held", b)
	}
}
