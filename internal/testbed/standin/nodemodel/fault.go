package nodemodel

// allClasses is the value of DropRepliesClass that means all classes.
const allClasses = "*"

// Fault describes the injected faults of a node. The zero value means none.
type Fault struct {
	StartFailureFraction float64 // fraction of otherwise acceptable offers whose start fails
	StartFailureClass    string  // class of the tasks whose starts fail; empty means all
	DropRepliesClass     string  // class of the tasks whose offers get no reply; "*" means all, empty means none
	UsageFactor          float64 // multiplies the resources that tasks use; zero means no change
	UsageClass           string  // class of the tasks that UsageFactor applies to; empty means all
	OccupiedFraction     float64 // fraction of the machine that processes other than tasks use
}

// dropsReplies reports whether offers of tasks of a class get no reply.
func (f *Fault) dropsReplies(class string) bool {
	return f.DropRepliesClass == allClasses || f.DropRepliesClass == class && class != ""
}

// failsStart reports whether the start of a task of a class fails; draw is a random number in [0, 1).
func (f *Fault) failsStart(class string, draw float64) bool {
	return (f.StartFailureClass == "" || f.StartFailureClass == class) && draw < f.StartFailureFraction
}

// usageFactor returns the factor that the resource usage of tasks of a class is multiplied by.
func (f *Fault) usageFactor(class string) float64 {
	if f.UsageFactor > 0 && (f.UsageClass == "" || f.UsageClass == class) {
		return f.UsageFactor
	}
	return 1
}

// SetFault replaces the injected faults of the node. OccupiedFraction is clamped to [0, 1].
func (n *Node) SetFault(now Time, f Fault) []Envelope {
	n.outgoing = nil
	n.advance(now)
	f.OccupiedFraction = min(max(f.OccupiedFraction, 0), 1)
	n.fault = f
	return n.outgoing
}
