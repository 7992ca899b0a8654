package nodemodel

// everyClass as DropRepliesClass means all classes.
const allClasses = "*"

// Fault is the faults of a node. The zero value means none.
type Fault struct {
	StartFailureFraction float64 // fraction of starts that fail at once
	StartFailureClass    string  // the class whose starts fail; empty means all
	DropRepliesClass     string  // the class whose offers get no reply; "*" means all, empty none
	UsageFactor          float64 // multiplies what tasks use; zero means no change
	UsageClass           string  // the class whose tasks use more; empty means all
	OccupiedFraction     float64 // fraction of the machine that another program uses
}

// dropsReplies reports whether offers of a class get no reply.
func (f *Fault) dropsReplies(class string) bool {
	return f.DropRepliesClass == allClasses || f.DropRepliesClass == class && class != ""
}

// failsStart reports whether the start of a task of a class fails; draw is a number drawn from [0, 1).
func (f *Fault) failsStart(class string, draw float64) bool {
	return (f.StartFailureClass == "" || f.StartFailureClass == class) && draw < f.StartFailureFraction
}

// usageFactor returns the factor of what tasks of a class use.
func (f *Fault) usageFactor(class string) float64 {
	if f.UsageFactor > 0 && (f.UsageClass == "" || f.UsageClass == class) {
		return f.UsageFactor
	}
	return 1
}

// SetFault replaces the faults of the node.
func (n *Node) SetFault(now Time, f Fault) []Envelope {
	n.outgoing = nil
	n.advance(now)
	f.OccupiedFraction = min(max(f.OccupiedFraction, 0), 1)
	n.fault = f
	return n.outgoing
}
