package machineindex

import (
	"math"
	"time"
)

// Invalidate has a machine updated by the next Refresh. It must be called when anything changes that the owner derives the
// machine's sets and columns from.
func (idx *Index) Invalidate(e *Entry) {
	if !e.invalid {
		e.invalid = true
		idx.invalid = append(idx.invalid, e)
	}
}

// SetExpiry has InvalidateExpired invalidate a machine at a time, which replaces the time of the call before; math.MaxInt64
// is never.
func (idx *Index) SetExpiry(e *Entry, at time.Duration) {
	if at < math.MaxInt64 {
		idx.expiries.Set(&e.expiry, at)
	} else {
		idx.expiries.Remove(&e.expiry)
	}
}

// InvalidateExpired invalidates the machines whose expiry is now or before.
func (idx *Index) InvalidateExpired(now time.Duration) {
	for item := idx.expiries.PopDue(now); item != nil; item = idx.expiries.PopDue(now) {
		idx.Invalidate(item.Value)
	}
}

// Refresh brings the Index up to date: it numbers the machines again where some were inserted or removed, and calls update
// with the number of each invalid one, which is valid afterwards. It reports whether any machine was invalid.
func (idx *Index) Refresh(update func(number int)) bool {
	if idx.renumberPending {
		idx.renumber()
	}
	if len(idx.invalid) == 0 {
		return false
	}
	for _, e := range idx.invalid {
		e.invalid = false
		if e.number >= 0 {
			update(e.number)
		}
	}
	idx.invalid = idx.invalid[:0]
	idx.capacity.totalsValid = false
	return true
}
