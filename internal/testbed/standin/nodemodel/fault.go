package nodemodel

// everyClass as SilentClass stands for all classes.
const everyClass = "*"

// Fault is what goes wrong on a node. The zero value is a node without faults.
type Fault struct {
	FailShare   float64 // share of starts that fail at once
	FailClass   string  // the class whose starts fail; empty: all
	SilentClass string  // the class whose offers are never answered; "*": all, empty: none
	SwellFactor float64 // multiplies what tasks use; 0: no change
	SwellClass  string  // the class whose tasks use more; empty: all
	Crowd       float64 // share of the machine that another program uses
}

// silences reports whether offers of a class are not answered.
func (f *Fault) silences(class string) bool {
	return f.SilentClass == everyClass || f.SilentClass == class && class != ""
}

// failsStart reports whether the start of a task of a class fails; draw is a number drawn from [0, 1).
func (f *Fault) failsStart(class string, draw float64) bool {
	return (f.FailClass == "" || f.FailClass == class) && draw < f.FailShare
}

// usageFactor multiplies what tasks of a class use.
func (f *Fault) usageFactor(class string) float64 {
	if f.SwellFactor > 0 && (f.SwellClass == "" || f.SwellClass == class) {
		return f.SwellFactor
	}
	return 1
}

// SetFault replaces the faults of the node.
func (n *Node) SetFault(now Time, f Fault) []Send {
	n.out = nil
	n.advance(now)
	f.Crowd = min(max(f.Crowd, 0), 1)
	n.fault = f
	return n.out
}
