package machineindex

import "github.com/bits-and-blooms/bitset"

// DomainScope selects the domains of a query.
type DomainScope int

// The scopes.
const (
	Zones DomainScope = iota
	Cells
)

// domain is one zone or one cell.
type domain struct {
	machines *bitset.BitSet // those located in it
}

// domainMember is where a machine is located among the domains of one scope.
type domainMember[K comparable] struct {
	name   K
	domain *domain // nil: not located, or to be renumbered
}

// domainSet is the domains of one scope.
type domainSet[K comparable] map[K]*domain

// find returns the domain of a name, which it adds where there is none.
func (d domainSet[K]) find(name K, machines int) *domain {
	found := d[name]
	if found == nil {
		found = &domain{machines: bitset.MustNew(uint(machines))}
		d[name] = found
	}
	return found
}

// domainCounts counts attempts by domain. Domains without any are left out.
type domainCounts map[*domain]int

// add changes the count of a domain; nothing for nil.
func (c domainCounts) add(d *domain, count int) {
	if d == nil {
		return
	}
	if c[d] += count; c[d] == 0 {
		delete(c, d)
	}
}

// move transfers attempts from one domain to another, either of which may be nil.
func (c domainCounts) move(from, to *domain, count int) {
	c.add(from, -count)
	c.add(to, count)
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

// SetLocation writes in which zone and cell a machine is.
func (idx *Index) SetLocation(e *Entry, zone string, cell int) {
	e.located, e.zone.name, e.cell.name = true, zone, cell
	if !idx.renumberPending {
		idx.services.joinDomains(e, len(idx.entries))
	}
}

// joinDomains records a machine and its attempts in the domains in which it is located.
func (s *servicePlacements) joinDomains(e *Entry, machines int) {
	if !e.located {
		return
	}
	if zone := s.zones.find(e.zone.name, machines); e.zone.domain != zone {
		for _, count := range e.attempts { // sums of integers, so their order doesn't matter
			count.service.zones.move(e.zone.domain, zone, count.active)
		}
		moveMachine(e.number, e.zone.domain, zone)
		e.zone.domain = zone
	}
	if cell := s.cells.find(e.cell.name, machines); e.cell.domain != cell {
		for _, count := range e.attempts {
			count.service.cells.move(e.cell.domain, cell, count.active)
		}
		moveMachine(e.number, e.cell.domain, cell)
		e.cell.domain = cell
	}
}
