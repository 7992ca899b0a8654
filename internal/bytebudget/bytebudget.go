// Package bytebudget limits the bytes that are held for the peers of a process. It does no I/O and reads no clock.
package bytebudget

const (
	// guaranteedFraction is the divisor for the part of a budget that is divided evenly among the holders.
	guaranteedFraction = 2
	// maxHolderFraction is the divisor for the part of a budget that one holder can have at most.
	maxHolderFraction = 8
)

// Budget limits the bytes that holders, such as connections, hold together. Half of the limit is divided evenly among as many
// holders as there can be, so that each holder gets that share whatever the others hold. The other half is shared, first come,
// first served; of that, Reserve gives no holder more than an eighth of the limit. A Budget is not safe for concurrent use.
type Budget[K comparable] struct {
	shared       int // bytes beyond the guaranteed shares that all holders may hold together
	guaranteed   int // bytes that each holder may hold in any case
	maxHolder    int // bytes that one holder may hold at most, as far as Reserve is concerned
	sharedUsed   int // bytes held beyond the guaranteed shares
	used         int // bytes held by all holders
	usedByHolder map[K]int
}

// New returns an empty budget with a limit in bytes for at most maxHolders holders.
func New[K comparable](limit, maxHolders int) *Budget[K] {
	guaranteed := limit / guaranteedFraction / max(maxHolders, 1)
	return &Budget[K]{
		shared:       limit - limit/guaranteedFraction,
		guaranteed:   guaranteed,
		maxHolder:    max(limit/maxHolderFraction, guaranteed),
		usedByHolder: map[K]int{},
	}
}

// Reserve reserves bytes for a holder. It returns false and reserves nothing if the budget does not allow them.
func (b *Budget[K]) Reserve(holder K, bytes int) bool {
	return b.usedByHolder[holder]+bytes <= b.maxHolder && b.ReserveBeyondMaximum(holder, bytes)
}

// ReserveBeyondMaximum is like Reserve, but one holder may get all of what is shared.
func (b *Budget[K]) ReserveBeyondMaximum(holder K, bytes int) bool {
	held := b.usedByHolder[holder]
	beyond := b.beyondGuarantee(held+bytes) - b.beyondGuarantee(held)
	if beyond > 0 && b.sharedUsed+beyond > b.shared {
		return false
	}
	b.sharedUsed += beyond
	b.used += bytes
	b.usedByHolder[holder] = held + bytes
	return true
}

// Release releases bytes that were reserved for a holder.
func (b *Budget[K]) Release(holder K, bytes int) {
	held := b.usedByHolder[holder]
	left := held - bytes
	b.sharedUsed -= b.beyondGuarantee(held) - b.beyondGuarantee(left)
	b.used -= bytes
	if left == 0 {
		delete(b.usedByHolder, holder)
		return
	}
	b.usedByHolder[holder] = left
}

// Used returns the bytes that all holders hold together.
func (b *Budget[K]) Used() int { return b.used }

// beyondGuarantee returns how many of the bytes that a holder holds exceed its guaranteed share.
func (b *Budget[K]) beyondGuarantee(held int) int { return max(held-b.guaranteed, 0) }
