package machineindex

import (
	"math"
	"slices"
	"testing"
	"time"
)

func TestRefreshNumbersMachinesInOrderOfIDs(t *testing.T) {
	f := newFleet(t, 3)
	for _, id := range []string{"z", "a", "m001x"} {
		if e := f.insert(id); e.Number() != -1 {
			t.Errorf("got number %d of %s before Refresh, want -1", e.Number(), id)
		}
	}
	removed := f.remove(1) // m000
	if removed.Number() != -1 {
		t.Errorf("got number %d of a removed machine, want -1", removed.Number())
	}
	if got, want := f.refresh(), []int{0, 1, 2, 3, 4}; !slices.Equal(got, want) {
		t.Errorf("Refresh updated %v, want %v", got, want)
	}
	for number, e := range f.entries {
		if e.Number() != number || e.IDHash() != Hash(f.ids[number]) {
			t.Errorf("%s: got number %d and hash %#x, want %d and %#x",
				f.ids[number], e.Number(), e.IDHash(), number, Hash(f.ids[number]))
		}
	}
}

func TestRenumberingEmptiesSetsAndColumns(t *testing.T) {
	f := newFleet(t, 70)
	set, column := f.index.NewSet(), f.index.NewColumn()
	set.Set(69)
	column.Set(69, 1.5)
	f.refresh()
	if !set.Test(69) || column.At(69) != 1.5 {
		t.Error("got a set or column changed by a Refresh without a new machine, want both unchanged")
	}
	f.insert("x")
	f.refresh()
	if got, want := set.Len(), uint(71); got != want {
		t.Errorf("got a set of length %d, want %d", got, want)
	}
	if set.Any() || column.At(69) != 0 || f.index.Kind(69) != 0 && f.index.Kind(69) != -1 {
		t.Errorf("after renumbering: got set %v, value %v and kind %d of machine 69, want an empty set, 0, and kind 0 or -1",
			members(set), column.At(69), f.index.Kind(69))
	}
}

func TestRefreshUpdatesInvalidMachinesOnce(t *testing.T) {
	f := newFleet(t, 5)
	if got := f.refresh(); got != nil {
		t.Errorf("got machines %v updated without a change, want none", got)
	}
	f.index.Invalidate(f.entries[3])
	f.index.Invalidate(f.entries[1])
	f.index.Invalidate(f.entries[3])
	if got, want := f.refresh(), []int{1, 3}; !slices.Equal(got, want) {
		t.Errorf("Refresh updated %v, want %v", got, want)
	}
	if f.index.Refresh(func(int) {}) {
		t.Error("got true from Refresh without invalid machines, want false")
	}
}

func TestInvalidRemovedMachineIsNotUpdated(t *testing.T) {
	f := newFleet(t, 2)
	f.index.Invalidate(f.entries[0])
	f.index.SetExpiry(f.entries[0], time.Second)
	f.remove(0)
	if got, want := f.refresh(), []int{0}; !slices.Equal(got, want) {
		t.Errorf("Refresh updated %v, want %v", got, want)
	}
	f.index.InvalidateExpired(time.Minute)
	if got := f.refresh(); got != nil {
		t.Errorf("got machines %v updated by the expiry of a removed machine, want none", got)
	}
}

func TestExpiryInvalidatesMachine(t *testing.T) {
	for _, c := range []struct {
		name    string
		expiry  time.Duration
		now     time.Duration
		updated []int
	}{
		{"before its time", 3 * time.Second, 3*time.Second - 1, nil},
		{"at its time", 3 * time.Second, 3 * time.Second, []int{1}},
		{"after its time", 3 * time.Second, time.Minute, []int{1}},
		{"never", math.MaxInt64, time.Hour, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 3)
			f.index.SetExpiry(f.entries[1], time.Second)
			f.index.SetExpiry(f.entries[1], c.expiry) // replaces the one before
			f.index.InvalidateExpired(c.now)
			if got := f.refresh(); !slices.Equal(got, c.updated) {
				t.Errorf("got machines %v updated, want %v", got, c.updated)
			}
			f.index.InvalidateExpired(c.now)
			if got := f.refresh(); got != nil {
				t.Errorf("got machines %v updated a second time, want none", got)
			}
		})
	}
}

func TestForEachCommonVisitsIntersectionInOrder(t *testing.T) {
	f := newFleet(t, 200)
	a, b := f.setOf(0, 5, 63, 64, 130, 199), f.setOf(5, 6, 64, 130, 131, 199)
	var got []int
	ForEachCommon(a, b, func(number int) {
		got = append(got, number)
		a.Clear(uint(number))
	})
	if want := []int{5, 64, 130, 199}; !slices.Equal(got, want) {
		t.Errorf("got calls for %v, want %v", got, want)
	}
	if got, want := members(a), []int{0, 63}; !slices.Equal(got, want) {
		t.Errorf("got %v left in the first set, want %v", got, want)
	}
}
