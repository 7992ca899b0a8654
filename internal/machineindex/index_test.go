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
			t.Errorf("%s has number %d before Refresh, want -1", id, e.Number())
		}
	}
	removed := f.remove(1) // m000
	if removed.Number() != -1 {
		t.Errorf("removed machine has number %d, want -1", removed.Number())
	}
	if got, want := f.refresh(), []int{0, 1, 2, 3, 4}; !slices.Equal(got, want) {
		t.Errorf("Refresh updated %v, want %v", got, want)
	}
	for number, e := range f.entries {
		if e.Number() != number || e.IDHash() != Hash(f.ids[number]) {
			t.Errorf("%s has number %d, want %d, or the hash of another machine", f.ids[number], e.Number(), number)
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
		t.Error("a Refresh without a new machine changed a set or a column")
	}
	f.insert("x")
	f.refresh()
	if got, want := set.Len(), uint(71); got != want {
		t.Errorf("set has room for %d machines, want %d", got, want)
	}
	if set.Any() || column.At(69) != 0 || f.index.Kind(69) != 0 && f.index.Kind(69) != -1 {
		t.Errorf("after renumbering: set %v, column %v", members(set), column.At(69))
	}
}

func TestRefreshUpdatesInvalidMachinesOnce(t *testing.T) {
	f := newFleet(t, 5)
	if got := f.refresh(); got != nil {
		t.Errorf("nothing changed, but Refresh updated %v", got)
	}
	f.index.Invalidate(f.entries[3])
	f.index.Invalidate(f.entries[1])
	f.index.Invalidate(f.entries[3])
	if got, want := f.refresh(), []int{1, 3}; !slices.Equal(got, want) {
		t.Errorf("Refresh updated %v, want %v", got, want)
	}
	if f.index.Refresh(func(int) {}) {
		t.Error("Refresh reports invalid machines, though none was")
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
		t.Errorf("the expiry of a removed machine had %v updated", got)
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
				t.Errorf("updated %v, want %v", got, c.updated)
			}
			f.index.InvalidateExpired(c.now)
			if got := f.refresh(); got != nil {
				t.Errorf("updated %v a second time", got)
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
		t.Errorf("visited %v, want %v", got, want)
	}
	if got, want := members(a), []int{0, 63}; !slices.Equal(got, want) {
		t.Errorf("left %v, want %v", got, want)
	}
}
