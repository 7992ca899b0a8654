package corelimits

// MemoryBudget divides the memory limit of the process among what it holds for its peers. Garbage that the runtime has not
// collected yet, the module and the connections themselves need the rest.
type MemoryBudget struct {
	PendingRequests  int // bytes of requests without a response
	ReceivedMessages int // bytes received and not handled yet, from owners and from nodes each
	QueuedWrites     int // bytes queued for writing, on all connections together
}

// Divisors of the memory limit.
const (
	pendingRequestsFraction  = 8
	receivedMessagesFraction = 32
	queuedWritesFraction     = 16
)

const bytesPerMB = 1 << 20

// DivideMemory divides a memory limit in megabytes.
func DivideMemory(limitMB int) MemoryBudget {
	limit := limitMB * bytesPerMB
	return MemoryBudget{
		PendingRequests:  limit / pendingRequestsFraction,
		ReceivedMessages: limit / receivedMessagesFraction,
		QueuedWrites:     limit / queuedWritesFraction,
	}
}
