package nodemodel

import "slices"

// Fault is a trouble put upon a node. The zero value of a field leaves that trouble as it is off.
type Fault struct {
	FailShare   float64 // share of starts that fail at once
	FailClass   string  // of this class only; empty: all
	SilentClass string  // asks of this class are never answered; "*": of all
	SwellFactor float64 // tasks use so many times more
	SwellClass  string  // of this class only
	Crowd       float64 // share of the machine that another program takes
}

type faults struct {
	Fault
	crowd float64
}

func (f *faults) silent(class string) bool {
	return f.SilentClass == "*" || f.SilentClass == class && class != ""
}

func (f *faults) failsStart(class string, draw float64) bool {
	return (f.FailClass == "" || f.FailClass == class) && draw < f.FailShare
}

func (f *faults) swell(class string) float64 {
	if f.SwellFactor > 0 && (f.SwellClass == "" || f.SwellClass == class) {
		return f.SwellFactor
	}
	return 1
}

// SetFault replaces the troubles of the node.
func (n *Node) SetFault(now Time, f Fault) []Send {
	n.out = nil
	n.advance(now)
	n.faults = faults{f, min(max(f.Crowd, 0), 1)}
	return n.out
}

// DropPrograms forgets a share of the kept programs.
func (n *Node) DropPrograms(share float64) {
	n.kept = slices.DeleteFunc(n.kept, func(string) bool { return n.rng.Float64() < share })
}

// Drain has the node take nothing new from now on.
func (n *Node) Drain(now Time) []Send {
	n.out = nil
	n.advance(now)
	n.draining, n.nextAway = true, n.now+n.cfg.DrainSendsAway
	return n.out
}

// Die ends this life of the node with all that it holds.
func (n *Node) Die() {
	n.dead = true
	for _, t := range n.order {
		n.room.Free(t.spec.Key, n.cfg.Name)
	}
	n.held, n.order, n.waiting, n.starting = map[string]*task{}, nil, nil, 0
}
