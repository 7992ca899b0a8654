package platform

// descriptorBudget divides the process's descriptors in advance, so that owners can never take those of nodes or of the
// control feed.
type descriptorBudget struct {
	ownerConnections         int // owners' connections that may be accepted
	retainedOwnerConnections int // of these, how many admission control keeps open
	nodeLinks                int // connections to nodes
}

const (
	// reservedDescriptors are for the process itself: three standard files, epoll and event descriptors of the runtime and of
	// the event loop, the listener, the control feed's current and previous stream, a configuration file, a recording.
	reservedDescriptors = 16
	// minSharedDescriptors is the least number of descriptors that are divided among owners and nodes.
	minSharedDescriptors = 16
)

// divideDescriptors divides a limit on descriptors. Owners get two fifths, a little more than the third that they hold at
// most by the protocol.
func divideDescriptors(limit int) descriptorBudget {
	shared := max(limit-reservedDescriptors, minSharedDescriptors)
	owners := shared * 2 / 5
	return descriptorBudget{
		ownerConnections:         owners,
		retainedOwnerConnections: owners - max(owners/16, 1),
		nodeLinks:                shared - owners,
	}
}
