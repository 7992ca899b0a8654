package emulator

import (
	"math/rand/v2"
	"time"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/testbed/fault"
)

// message is a message between entities. Its body is of one of the types below, or an inventorymodel.Fault.
type message struct {
	at       Time // when it is delivered
	from, to int32
	body     any
}

// The messages between schedulers, nodes and the inventory.
type (
	// connect requests a connection, with the hello of the scheduler that dials.
	connectRequest struct {
		scheduler   string
		incarnation int64
	}
	// disconnected reports that a connection has broken or could not be opened.
	disconnected struct{}
	// frame is a frame on a connection.
	frame struct{ *nodepb.Frame }
)

// The messages from clients to schedulers.
type (
	submission struct{ spec scheduler.JobSpec }
	jobCommand struct {
		verb scheduler.Verb
		job  string
	}
)

// The messages from schedulers to clients.
type (
	// answer is the response to a submission: a job or an error code.
	submissionAnswer struct {
		key, job, errorCode string
		scheduler           int
	}
	// outcomeNotice reports an event of a job.
	jobEvent struct {
		info scheduler.JobInfo
		at   Time
	}
	// schedulerKilled reports that the connections to a scheduler have broken.
	schedulerKilled struct{ scheduler int }
)

// unreachableCode is the error code of the answer to a submission to a scheduler that does not run.
const errorCodeUnreachable = "unreachable"

// The messages from the fault injector to nodes.
type (
	stopNode        struct{}
	startNode       struct{}
	restartNode     struct{}
	drainNode       struct{}
	changeNodeFault struct{ change fault.NodeFaultChange }
	dropPrograms    struct{ fraction float64 }
)

// The messages from the fault injector to schedulers.
type (
	startScheduler     struct{}
	killScheduler      struct{}
	terminateScheduler struct{}
	pauseScheduler     struct{ until Time }
)

// The messages from the fault injector to the clients.
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

// latencyModel draws the delivery times of the messages of one sender: a minimum latency with jitter. Messages to one
// entity keep their order.
type latencyModel struct {
	random       *rand.Rand
	minimum      time.Duration
	jitter       time.Duration
	lastDelivery map[int32]Time
}

// latencyStream separates the random numbers of latencies from the others of a seed.
const latencyStream = 0xfeed << 20

func newLatencyModel(seed uint64, sender int32) *latencyModel {
	return &latencyModel{random: rand.New(rand.NewPCG(seed, latencyStream|uint64(sender))), minimum: window, jitter: window,
		lastDelivery: map[int32]Time{}}
}

// deliveryTime returns when a message that is sent now is delivered to an entity.
func (l *latencyModel) deliveryTime(now Time, to int32) Time {
	at := max(now+l.minimum+time.Duration(l.random.Int64N(int64(l.jitter))), l.lastDelivery[to])
	l.lastDelivery[to] = at
	return at
}
