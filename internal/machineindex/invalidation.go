package machineindex

import (
	"math"
	"time"
)

// Invalidate marks a machine to be updated by the next Refresh. It must be called whenever a value changes from which the
// update function of Refresh derives sets and columns.
func (idx *Index) Invalidate(e *Entry) {
	if !e.invalid {
		e.invalid = true
		idx.invalid = append(idx.invalid, e)
	}
}

// SetExpiry sets the time from which on InvalidateExpired invalidates a machine, and replaces the time set before.
// math.MaxInt64 means never.
func (idx *Index) SetExpiry(e *Entry, at time.Duration) {
	if at < math.MaxInt64 {
		idx.expiries.Set(&e.expiry, at)
	} else {
		idx.expiries.Remove(&e.expiry)
	}
}

// InvalidateExpired invalidates the machines whose expiry is at or before now.
func (idx *Index) InvalidateExpired(now time.Duration) {
	for item := idx.expiries.PopDue(now); item != nil; item = idx.expiries.PopDue(now) {
		idx.Invalidate(item.Value)
	}
}

// Refresh updates the Index. It renumbers the machines if any were inserted or removed, and calls update with the number of
// each invalid machine, which is valid afterwards. It reports whether any machine was invalid.
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
