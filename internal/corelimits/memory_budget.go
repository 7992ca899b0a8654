package corelimits

// MemoryBudget divides the memory limit of the process among what it holds for its peers. Garbage that the runtime has not
// collected yet, the module and the connections themselves need the rest.
type MemoryBudget struct {
	PendingRequests int // bytes of requests without a response
	OwnerMessages   int // bytes received from owners and not handled yet
	NodeMessages    int // bytes received from nodes and not handled yet
	PartialMessages int // bytes of owners' partial messages
	QueuedWrites    int // bytes queued for writing, on all connections together
}

// Divisors of the memory limit.
const (
	pendingRequestsFraction = 8
	ownerMessagesFraction   = 16
	nodeMessagesFraction    = 32
	partialMessagesFraction = 32
	queuedWritesFraction    = 16
)

const bytesPerMB = 1 << 20

// DivideMemory divides a memory limit in megabytes.
func DivideMemory(limitMB int) MemoryBudget {
	limit := limitMB * bytesPerMB
	return MemoryBudget{
		PendingRequests: limit / pendingRequestsFraction,
		OwnerMessages:   limit / ownerMessagesFraction,
		NodeMessages:    limit / nodeMessagesFraction,
		PartialMessages: limit / partialMessagesFraction,
		QueuedWrites:    limit / queuedWritesFraction,
	}
}
