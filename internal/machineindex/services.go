package machineindex

import "github.com/bits-and-blooms/bitset"

// Service records on which machines and in which domains attempts of one service are active, and which machines have the
// highest affinity to it.
type Service struct {
	nameHash uint64

	machines []int32 // numbers of the machines with active attempts; outdated while a renumbering is pending
	zones    domainCounts
	cells    domainCounts

	topMachines     []int32 // numbers of the few machines with the highest affinity, highest first
	topFleetVersion int     // Index.fleetVersion for which topMachines was determined
}

// attemptCount counts the active attempts of one service on one machine.
type attemptCount struct {
	service  *Service
	active   int
	position int // index of the machine in service.machines
}

// serviceTable has the services of an Index, and the domains in which their attempts are counted.
type serviceTable struct {
	byName           map[string]*Service
	removalThreshold int // Options.ServiceRemovalThreshold
	zones            domainSet[string]
	cells            domainSet[int]
}

func newServiceTable(removalThreshold int) serviceTable {
	return serviceTable{
		byName:           map[string]*Service{},
		removalThreshold: removalThreshold,
		zones:            domainSet[string]{},
		cells:            domainSet[int]{},
	}
}

// clearNumbers discards everything that depends on machine numbers.
func (s *serviceTable) clearNumbers() {
	clear(s.zones)
	clear(s.cells)
	for _, service := range s.byName {
		service.machines = service.machines[:0]
		clear(service.zones)
		clear(service.cells)
	}
}

// FindOrAddService returns the record of a service, and adds it if there is none.
func (idx *Index) FindOrAddService(name string) *Service {
	s := idx.services.byName[name]
	if s == nil {
		s = &Service{nameHash: Hash(name), zones: domainCounts{}, cells: domainCounts{}}
		idx.services.byName[name] = s
	}
	return s
}

// FindService returns the record of a service, or nil if there is none. A service without a record has no active attempts.
func (idx *Index) FindService(name string) *Service { return idx.services.byName[name] }

// AddAttempt records that an attempt of a service became active on a machine.
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

// RemoveAttempt records that an attempt of a service is no longer active on a machine. It does nothing if the service has
// no active attempt there.
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
	if len(count.service.machines) == 0 && len(idx.services.byName) > idx.services.removalThreshold {
		delete(idx.services.byName, service)
	}
}

// HasAttempts reports whether any attempt is active on the machine.
func (e *Entry) HasAttempts() bool { return len(e.attempts) > 0 }

// AttemptsOf returns the number of active attempts of a service on a machine.
func (idx *Index) AttemptsOf(service string, number int) int {
	if count := idx.entries[number].attempts[service]; count != nil {
		return count.active
	}
	return 0
}

// Machines returns the numbers of the machines on which attempts of the service are active, in no particular order. The
// caller must not change the result, which is valid until the next attempt is added or removed.
func (s *Service) Machines() []int32 { return s.machines }

// ExcludeFullDomains removes from machines those in a domain with at least limit active attempts of the service.
func (s *Service) ExcludeFullDomains(machines *bitset.BitSet, scope DomainScope, limit int) {
	counts := s.zones
	if scope == Cells {
		counts = s.cells
	}
	for d, count := range counts { // the order doesn't matter: domains don't overlap
		if count >= limit {
			machines.InPlaceDifference(d.machines)
		}
	}
}

// addMachine adds a machine to those with active attempts of the service.
func (s *Service) addMachine(count *attemptCount, number int32) {
	count.position = len(s.machines)
	s.machines = append(s.machines, number)
}

// removeMachine removes a machine from the list of the service. The last machine of the list takes its position.
func (idx *Index) removeMachine(service string, count *attemptCount) {
	list := count.service.machines
	last := list[len(list)-1]
	list[count.position] = last
	if moved := idx.entries[last].attempts[service]; moved != nil { // nil if the removed machine is the last
		moved.position = count.position
	}
	count.service.machines = list[:len(list)-1]
}
