package flaxshelf

import "github.com/bits-and-blooms/bitset"

// domain is one cell or zone.
type domain struct {
	machines *bitset.BitSet // those listed in it
}

// service is what is kept of one service.
type service struct {
	nameHash uint64

	// This scheduler's active attempts of it.
	machines []int32 // numbers of the machines that have any; void while machines are to be renumbered
	zones    map[*domain]int
	cells    map[*domain]int

	topMachines []int32 // those of the highest affinity, highest first, as of topVersion
	topVersion  int     // fleetVersion at which topMachines was made
}

// residency counts this scheduler's active attempts of one service on one machine.
type residency struct {
	service  *service
	count    int
	position int // in service.machines
}

// maxIdleServices bounds the services that are remembered although they have no active attempt.
const maxIdleServices = 4096

// findOrAddService returns the record of a service.
func (p *Placer) findOrAddService(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{zones: map[*domain]int{}, cells: map[*domain]int{}, nameHash: hash(name)}
		p.services[name] = s
	}
	return s
}

// addMachine adds a machine's number to those that have attempts of the service.
func (s *service) addMachine(r *residency, number int32) {
	r.position = len(s.machines)
	s.machines = append(s.machines, number)
}

// clearDomains forgets where the service's attempts are, before machines are renumbered.
func (s *service) clearDomains() {
	s.machines = s.machines[:0]
	clear(s.zones)
	clear(s.cells)
}

// addResidency counts one more active attempt of a service on m.
func (p *Placer) addResidency(name string, m *machine) {
	r := m.residencies[name]
	if r == nil {
		r = &residency{service: p.findOrAddService(name), position: -1}
		m.residencies[name] = r
		if !p.index.renumber {
			r.service.addMachine(r, int32(m.number))
		}
	}
	r.count++
	addCount(r.service.zones, m.zoneDomain, 1)
	addCount(r.service.cells, m.cellDomain, 1)
}

// removeResidency counts one active attempt of a service on m less.
func (p *Placer) removeResidency(name string, m *machine) {
	r := m.residencies[name]
	if r == nil {
		return
	}
	addCount(r.service.zones, m.zoneDomain, -1)
	addCount(r.service.cells, m.cellDomain, -1)
	if r.count--; r.count > 0 {
		return
	}
	delete(m.residencies, name)
	if p.index.renumber {
		return
	}
	p.removeServiceMachine(name, r)
	if len(r.service.machines) == 0 && len(p.services) > maxIdleServices {
		delete(p.services, name)
	}
}

// removeServiceMachine takes a machine out of its service's list; the last of the list takes its position.
func (p *Placer) removeServiceMachine(name string, r *residency) {
	list := r.service.machines
	last := list[len(list)-1]
	list[r.position] = last
	if moved := p.machinesByID[last].residencies[name]; moved != nil { // nil: the removed one was the last
		moved.position = r.position
	}
	r.service.machines = list[:len(list)-1]
}

// updateDomains records in which zone and cell a machine is listed and counts its attempts there.
func (p *Placer) updateDomains(m *machine) {
	x := &p.index
	if x.renumber {
		return
	}
	var zone, cell *domain
	if m.listed {
		zone = domainOf(x.zones, m.Zone, len(p.machinesByID))
		cell = domainOf(x.cells, m.Cell, len(p.machinesByID))
	}
	if m.zoneDomain != zone {
		for _, r := range m.residencies { // sums, in any order
			addCount(r.service.zones, m.zoneDomain, -r.count)
			addCount(r.service.zones, zone, r.count)
		}
		moveMachine(m.number, m.zoneDomain, zone)
		m.zoneDomain = zone
	}
	if m.cellDomain != cell {
		for _, r := range m.residencies {
			addCount(r.service.cells, m.cellDomain, -r.count)
			addCount(r.service.cells, cell, r.count)
		}
		moveMachine(m.number, m.cellDomain, cell)
		m.cellDomain = cell
	}
}

// moveMachine moves a machine's number between domains, either of which may be nil.
func moveMachine(number int, from, to *domain) {
	if from != nil {
		from.machines.Clear(uint(number))
	}
	if to != nil {
		to.machines.Set(uint(number))
	}
}

// domainOf finds or adds a domain in a fleet of so many machines.
func domainOf[K comparable](domains map[K]*domain, name K, machines int) *domain {
	d := domains[name]
	if d == nil {
		d = &domain{machines: bitset.MustNew(uint(machines))}
		domains[name] = d
	}
	return d
}

// addCount adds to the count of a domain; nothing for nil.
func addCount(counts map[*domain]int, d *domain, count int) {
	if d == nil {
		return
	}
	if counts[d] += count; counts[d] == 0 {
		delete(counts, d)
	}
}
