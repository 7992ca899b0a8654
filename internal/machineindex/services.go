package machineindex

import "github.com/bits-and-blooms/bitset"

// Service is where the active attempts of one service are, and the machines of the highest affinity to it.
type Service struct {
	nameHash uint64

	machines []int32 // numbers of the machines with active attempts; void while a renumbering is pending
	zones    domainCounts
	cells    domainCounts

	topMachines []int32 // those of the highest affinity, highest first, as of topVersion
	topVersion  int     // Index.fleetVersion at which topMachines was made
}

// attemptCount counts the active attempts of one service on one machine.
type attemptCount struct {
	service  *Service
	active   int
	position int // in service.machines
}

// servicePlacements is the services and the domains of the fleet.
type servicePlacements struct {
	byName  map[string]*Service
	maxIdle int
	zones   domainSet[string]
	cells   domainSet[int]
}

func newServicePlacements(maxIdle int) servicePlacements {
	return servicePlacements{
		byName:  map[string]*Service{},
		maxIdle: maxIdle,
		zones:   domainSet[string]{},
		cells:   domainSet[int]{},
	}
}

// clearNumbers drops everything that depends on the numbers of machines.
func (s *servicePlacements) clearNumbers() {
	clear(s.zones)
	clear(s.cells)
	for _, service := range s.byName {
		service.machines = service.machines[:0]
		clear(service.zones)
		clear(service.cells)
	}
}

// FindOrAddService returns the record of a service, which it adds where there is none.
func (idx *Index) FindOrAddService(name string) *Service {
	s := idx.services.byName[name]
	if s == nil {
		s = &Service{nameHash: Hash(name), zones: domainCounts{}, cells: domainCounts{}}
		idx.services.byName[name] = s
	}
	return s
}

// FindService returns the record of a service; nil where there is none, so that no attempt of it is active.
func (idx *Index) FindService(name string) *Service { return idx.services.byName[name] }

// AddAttempt counts one more active attempt of a service on a machine.
func (idx *Index) AddAttempt(service string, e *Entry) {
	count := e.attempts[service]
	if count == nil {
		count = &attemptCount{service: idx.FindOrAddService(service), position: -1}
		e.attempts[service] = count
		if !idx.renumberPending {
			count.service.addMachine(count, int32(e.number))
		}
	}
	count.active++
	count.service.zones.add(e.zone.domain, 1)
	count.service.cells.add(e.cell.domain, 1)
}

// RemoveAttempt counts one active attempt of a service on a machine less. It does nothing where there is none.
func (idx *Index) RemoveAttempt(service string, e *Entry) {
	count := e.attempts[service]
	if count == nil {
		return
	}
	count.service.zones.add(e.zone.domain, -1)
	count.service.cells.add(e.cell.domain, -1)
	if count.active--; count.active > 0 {
		return
	}
	delete(e.attempts, service)
	if idx.renumberPending {
		return
	}
	idx.removeMachine(service, count)
	if len(count.service.machines) == 0 && len(idx.services.byName) > idx.services.maxIdle {
		delete(idx.services.byName, service)
	}
}

// HasAttempts reports whether any attempt is active on the machine.
func (e *Entry) HasAttempts() bool { return len(e.attempts) > 0 }

// AttemptsOf returns how many attempts of a service are active on a machine.
func (idx *Index) AttemptsOf(service string, number int) int {
	if count := idx.entries[number].attempts[service]; count != nil {
		return count.active
	}
	return 0
}

// Machines returns the numbers of the machines on which attempts of the service are active, in no particular order. The
// caller must not change the result, which is valid until the next attempt is added or removed.
func (s *Service) Machines() []int32 { return s.machines }

// ExcludeFullDomains removes from machines those that are in a domain with limit active attempts of the service or more.
func (s *Service) ExcludeFullDomains(machines *bitset.BitSet, scope DomainScope, limit int) {
	counts := s.zones
	if scope == Cells {
		counts = s.cells
	}
	for d, count := range counts { // in any order: each takes away its own machines
		if count >= limit {
			machines.InPlaceDifference(d.machines)
		}
	}
}

// addMachine adds a machine's number to those that have attempts of the service.
func (s *Service) addMachine(count *attemptCount, number int32) {
	count.position = len(s.machines)
	s.machines = append(s.machines, number)
}

// removeMachine takes a machine out of its service's list; the last of the list takes its position.
func (idx *Index) removeMachine(service string, count *attemptCount) {
	list := count.service.machines
	last := list[len(list)-1]
	list[count.position] = last
	if moved := idx.entries[last].attempts[service]; moved != nil { // nil: the removed one was the last
		moved.position = count.position
	}
	count.service.machines = list[:len(list)-1]
}
