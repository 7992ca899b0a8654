package emulator

import (
	"math/rand/v2"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/testbed/fault"
)

// message is a message between entities. Its body is a value of one of the types below or an inventorymodel.Fault.
type message struct {
	deliverAt Time
	from, to  int32
	body      any
}

// Messages between schedulers, nodes and the inventory.
type (
	// connectRequest opens a connection from a scheduler to a node. It has the contents of the scheduler's Hello frame.
	connectRequest struct {
		scheduler   string
		incarnation int64
	}
	// disconnected reports that the sender has closed or refused the connection.
	disconnected struct{}
	// frame is a protocol frame on an open connection.
	frame struct{ *nodepb.Frame }
)

// Messages from clients to schedulers.
type (
	submission struct{ spec scheduler.JobSpec }
	jobCommand struct {
		verb  scheduler.Verb
		jobID string
	}
)

// Messages from schedulers to clients.
type (
	// submissionAnswer is the response to a submission. It has either the ID of the job or an error code.
	submissionAnswer struct {
		key, jobID, errorCode string
		scheduler             int
	}
	// jobEvent reports the outcome of a placement request of a job, or the end of the job.
	jobEvent struct {
		info scheduler.JobInfo
		at   Time
	}
	// schedulerKilled reports that a scheduler was killed, which breaks its connections to clients.
	schedulerKilled struct{ scheduler int }
)

// errorCodeUnreachable is the error code with which the emulator answers a submission to a stopped scheduler.
const errorCodeUnreachable = "unreachable"

// Messages from the fault injector to nodes.
type (
	stopNode        struct{}
	startNode       struct{}
	restartNode     struct{}
	drainNode       struct{}
	changeNodeFault struct{ change fault.NodeFaultChange }
	dropPrograms    struct{ fraction float64 }
)

// Messages from the fault injector to schedulers.
type (
	startScheduler     struct{}
	killScheduler      struct{}
	terminateScheduler struct{}
	pauseScheduler     struct{ until Time }
)

// Messages from the fault injector to the clients.
type (
	loadFactor struct {
		class  string
		factor float64
	}
	hotServiceFraction struct {
		class    string
		fraction float64
	}
)

// latencyModel draws the delivery times of the messages of one sender. The latency is the minimum plus a uniform random
// jitter. Messages to the same receiver are delivered in the order in which they were sent.
type latencyModel struct {
	random       *rand.Rand
	minimum      time.Duration
	jitter       time.Duration
	lastDelivery map[int32]Time // by receiver
}

// latencyStream selects the random number streams of latencies among those of a seed. Its low bits are set to the sender's
// ID.
const latencyStream = 0xfeed << 20

func newLatencyModel(seed uint64, sender int32) *latencyModel {
	return &latencyModel{random: rand.New(rand.NewPCG(seed, latencyStream|uint64(sender))), minimum: window, jitter: window,
		lastDelivery: map[int32]Time{}}
}

// deliveryTime draws the delivery time of a message that is sent now to the given entity.
func (l *latencyModel) deliveryTime(now Time, to int32) Time {
	at := max(now+l.minimum+time.Duration(l.random.Int64N(int64(l.jitter))), l.lastDelivery[to])
	l.lastDelivery[to] = at
	return at
}
