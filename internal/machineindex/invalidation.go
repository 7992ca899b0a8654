package machineindex

import (
	"math"
	"time"
)

// Invalidate has a machine updated by the next Refresh. It must be called when anything changes that the owner derives the
// machine's sets and columns from.
func (x *Index) Invalidate(e *Entry) {
	if !e.invalid {
		e.invalid = true
		x.invalid = append(x.invalid, e)
	}
}

// SetExpiry has InvalidateExpired invalidate a machine at a time, which replaces the time of the call before; math.MaxInt64
// is never.
func (x *Index) SetExpiry(e *Entry, at time.Duration) {
	if at < math.MaxInt64 {
		x.expiries.Set(&e.expiry, at)
	} else {
		x.expiries.Remove(&e.expiry)
	}
}

// InvalidateExpired invalidates the machines whose expiry is now or before.
func (x *Index) InvalidateExpired(now time.Duration) {
	for item := x.expiries.PopDue(now); item != nil; item = x.expiries.PopDue(now) {
		x.Invalidate(item.Value)
	}
}

// Refresh brings the Index up to date: it numbers the machines again where some were inserted or removed, and calls update
// with the number of each invalid one, which is valid afterwards. It reports whether any machine was invalid.
func (x *Index) Refresh(update func(number int)) bool {
	if x.renumberPending {
		x.renumber()
	}
	if len(x.invalid) == 0 {
		return false
	}
	for _, e := range x.invalid {
		e.invalid = false
		if e.number >= 0 {
			update(e.number)
		}
	}
	x.invalid = x.invalid[:0]
	x.capacity.totalsValid = false
	return true
}
