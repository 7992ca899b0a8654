package machineindex

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// runningAttempt is an attempt that a test has added and not removed.
type runningAttempt struct {
	service string
	entry   *Entry
}

// serviceScan computes the expected counts from a list of all attempts.
type serviceScan struct {
	f        *fleet
	attempts []runningAttempt
	zoneOf   map[*Entry]string
	cellOf   map[*Entry]int
}

// fullMachines returns the machines in a domain with at least limit attempts of the service.
func (s *serviceScan) fullMachines(service string, limit int, sameDomain func(a, b *Entry) bool) (full []int) {
	for number, e := range s.f.entries {
		count := 0
		for _, a := range s.attempts {
			if a.service == service && sameDomain(a.entry, e) {
				count++
			}
		}
		if count >= limit {
			full = append(full, number)
		}
	}
	return full
}

// check compares the counts of the index with those of the scan.
func (s *serviceScan) check(service string, limit int) {
	s.f.t.Helper()
	record := s.f.index.FindOrAddService(service)
	located := func(a, b *Entry) bool { return s.zoneOf[a] != "" && s.zoneOf[b] != "" }
	sameZone := func(a, b *Entry) bool { return located(a, b) && s.zoneOf[a] == s.zoneOf[b] }
	sameCell := func(a, b *Entry) bool { return located(a, b) && s.cellOf[a] == s.cellOf[b] }
	sameMachine := func(a, b *Entry) bool { return a == b }

	for _, c := range []struct {
		scope DomainScope
		want  []int
	}{
		{Zones, s.fullMachines(service, limit, sameZone)},
		{Cells, s.fullMachines(service, limit, sameCell)},
	} {
		left := s.f.all()
		record.ExcludeFullDomains(left, c.scope, limit)
		if got := members(s.f.all().Difference(left)); !slices.Equal(got, c.want) {
			s.f.t.Fatalf("scope %d, %s, limit %d: got machines %v in full domains, want %v", c.scope, service, limit, got, c.want)
		}
	}
	var full, occupied []int
	for number := range s.f.entries {
		if s.f.index.AttemptsOf(service, number) >= limit {
			full = append(full, number)
		}
	}
	if want := s.fullMachines(service, limit, sameMachine); !slices.Equal(full, want) {
		s.f.t.Fatalf("%s, limit %d: got full machines %v, want %v", service, limit, full, want)
	}
	for _, number := range record.Machines() {
		occupied = append(occupied, int(number))
	}
	slices.Sort(occupied)
	if want := s.fullMachines(service, 1, sameMachine); !slices.Equal(occupied, want) {
		s.f.t.Fatalf("%s: got attempts on machines %v, want %v", service, occupied, want)
	}
}

// change adds or removes an attempt, changes the location of a machine, or inserts a machine.
func (s *serviceScan) change(random *rand.Rand, round int) {
	e := s.f.entries[random.IntN(len(s.f.entries))]
	switch action := random.IntN(20); {
	case action == 0:
		s.f.insert(fmt.Sprintf("m%03d-%d", random.IntN(20), round))
	case action < 5:
		s.zoneOf[e], s.cellOf[e] = fmt.Sprint("z", random.IntN(3)), random.IntN(5)
		s.f.index.SetLocation(e, s.zoneOf[e], s.cellOf[e])
	case action < 10 && len(s.attempts) > 0:
		i := random.IntN(len(s.attempts))
		s.f.index.RemoveAttempt(s.attempts[i].service, s.attempts[i].entry)
		s.attempts = slices.Delete(s.attempts, i, i+1)
	default:
		a := runningAttempt{fmt.Sprint("s", random.IntN(3)), e}
		s.f.index.AddAttempt(a.service, a.entry)
		s.attempts = append(s.attempts, a)
	}
}

func TestServiceCountsAgreeWithScan(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	s := &serviceScan{f: newFleet(t, 20), zoneOf: map[*Entry]string{}, cellOf: map[*Entry]int{}}
	for round := range 1500 {
		s.change(random, round)
		if random.IntN(3) > 0 { // otherwise a renumbering may be pending at the next change
			s.f.refresh()
			s.check(fmt.Sprint("s", random.IntN(3)), 1+random.IntN(4))
		}
	}
}

func TestRemoveAttemptIgnoresUnknownService(t *testing.T) {
	f := newFleet(t, 1)
	f.index.RemoveAttempt("s", f.entries[0])
	if f.entries[0].HasAttempts() || f.index.AttemptsOf("s", 0) != 0 {
		t.Errorf("got %d attempts, HasAttempts %v, want none", f.index.AttemptsOf("s", 0), f.entries[0].HasAttempts())
	}
}

func TestIdleServicesAreBounded(t *testing.T) {
	f := newFleet(t, 1)
	for i := range 10 {
		f.index.AddAttempt(fmt.Sprint("s", i), f.entries[0])
	}
	for i := range 10 {
		f.index.RemoveAttempt(fmt.Sprint("s", i), f.entries[0])
	}
	if got, want := len(f.index.services.byName), f.index.services.removalThreshold; got != want {
		t.Errorf("got %d idle services, want %d", got, want)
	}
	if f.index.FindService("s0") != nil || f.index.FindService("s9") == nil {
		t.Error("got s0 present or s9 missing, want the services that became idle first removed")
	}
}
