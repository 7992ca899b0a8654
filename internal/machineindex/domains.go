package machineindex

import "github.com/bits-and-blooms/bitset"

// DomainScope selects the domains of a query: zones or cells.
type DomainScope int

// Zones and Cells are the values of DomainScope.
const (
	Zones DomainScope = iota
	Cells
)

// domain is one zone or one cell.
type domain struct {
	machines *bitset.BitSet // machines located in it
}

// machineDomain is the zone or the cell of a machine.
type machineDomain[K comparable] struct {
	name   K
	domain *domain // nil if the machine has no location or is not numbered yet
}

// domainSet has the domains of one scope by name.
type domainSet[K comparable] map[K]*domain

// findOrAdd returns the domain with the given name, and adds it if there is none. machineCount is the number of machines in
// the Index.
func (d domainSet[K]) findOrAdd(name K, machineCount int) *domain {
	found := d[name]
	if found == nil {
		found = &domain{machines: bitset.MustNew(uint(machineCount))}
		d[name] = found
	}
	return found
}

// domainCounts has the number of active attempts of one service by domain. Domains without attempts have no entry.
type domainCounts map[*domain]int

// add adds delta to the count of a domain. It does nothing if d is nil.
func (c domainCounts) add(d *domain, delta int) {
	if d == nil {
		return
	}
	if c[d] += delta; c[d] == 0 {
		delete(c, d)
	}
}

// move moves attempts from one domain to another. Either domain may be nil.
func (c domainCounts) move(from, to *domain, count int) {
	c.add(from, -count)
	c.add(to, count)
}

// moveMachine moves a machine from one domain to another. Either domain may be nil.
func moveMachine(number int, from, to *domain) {
	if from != nil {
		from.machines.Clear(uint(number))
	}
	if to != nil {
		to.machines.Set(uint(number))
	}
}

// SetLocation sets the zone and the cell of a machine.
func (idx *Index) SetLocation(e *Entry, zone string, cell int) {
	e.located, e.zone.name, e.cell.name = true, zone, cell
	if !idx.renumberPending {
		idx.services.updateDomains(e, len(idx.entries))
	}
}

// updateDomains moves a machine and its attempts to the domains of its location.
func (s *serviceTable) updateDomains(e *Entry, machineCount int) {
	if !e.located {
		return
	}
	if zone := s.zones.findOrAdd(e.zone.name, machineCount); e.zone.domain != zone {
		for _, count := range e.attempts { // integer sums do not depend on the order
			count.service.zones.move(e.zone.domain, zone, count.active)
		}
		moveMachine(e.number, e.zone.domain, zone)
		e.zone.domain = zone
	}
	if cell := s.cells.findOrAdd(e.cell.name, machineCount); e.cell.domain != cell {
		for _, count := range e.attempts {
			count.service.cells.move(e.cell.domain, cell, count.active)
		}
		moveMachine(e.number, e.cell.domain, cell)
		e.cell.domain = cell
	}
}
