package nodemodel

// everyClass as DropRepliesClass stands for all classes.
const everyClass = "*"

// Fault is what goes wrong on a node. The zero value is a node without faults.
type Fault struct {
	StartFailureFraction float64 // share of starts that fail at once
	StartFailureClass    string  // the class whose starts fail; empty: all
	DropRepliesClass     string  // the class whose offers are never answered; "*": all, empty: none
	UsageFactor          float64 // multiplies what tasks use; 0: no change
	UsageClass           string  // the class whose tasks use more; empty: all
	OccupiedFraction     float64 // share of the machine that another program uses
}

// dropsReplies reports whether offers of a class are not answered.
func (f *Fault) dropsReplies(class string) bool {
	return f.DropRepliesClass == everyClass || f.DropRepliesClass == class && class != ""
}

// failsStart reports whether the start of a task of a class fails; draw is a number drawn from [0, 1).
func (f *Fault) failsStart(class string, draw float64) bool {
	return (f.StartFailureClass == "" || f.StartFailureClass == class) && draw < f.StartFailureFraction
}

// usageFactor multiplies what tasks of a class use.
func (f *Fault) usageFactor(class string) float64 {
	if f.UsageFactor > 0 && (f.UsageClass == "" || f.UsageClass == class) {
		return f.UsageFactor
	}
	return 1
}

// SetFault replaces the faults of the node.
func (n *Node) SetFault(now Time, f Fault) []Send {
	n.out = nil
	n.advance(now)
	f.OccupiedFraction = min(max(f.OccupiedFraction, 0), 1)
	n.fault = f
	return n.out
}
