package corelimits

// DescriptorBudget divides the process's file descriptors among owners and nodes in advance, so that connections from owners
// can never use up the descriptors for nodes or for the control feed.
type DescriptorBudget struct {
	OwnerConnections         int // maximum number of accepted connections from owners
	RetainedOwnerConnections int // number of these beyond which admission control closes one for each new one
	NodeLinks                int // maximum number of connections to nodes
}

const (
	// reservedDescriptors is the number of descriptors for the process itself: three standard files, the epoll and event
	// descriptors of the Go runtime and of the event loop, the listener, the current and the previous stream of the control
	// feed with up to maxWatchRequests connections each, a configuration file and a recording.
	reservedDescriptors = 16
	// minSharedDescriptors is the number of descriptors divided among owners and nodes if the limit leaves fewer than that.
	minSharedDescriptors = 16
)

// DivideDescriptors divides the process's limit on descriptors. Owners get two fifths of what is not reserved, slightly more
// than the third that the protocol lets them hold.
func DivideDescriptors(limit int) DescriptorBudget {
	shared := max(limit-reservedDescriptors, minSharedDescriptors)
	owners := shared * 2 / 5
	return DescriptorBudget{
		OwnerConnections:         owners,
		RetainedOwnerConnections: owners - max(owners/16, 1),
		NodeLinks:                shared - owners,
	}
}
