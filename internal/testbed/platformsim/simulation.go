package platformsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"flaxshelf.example/flaxshelf/internal/requests"
	"flaxshelf.example/flaxshelf/internal/timerqueue"
)

// Time is simulated time, as nanoseconds since the Unix epoch.
type Time = requests.Time

// epoch is the simulated time at which each day begins.
const epoch = Time(1_800_000_000) * time.Second

// settleTime is how long a day goes on after its length, so that what is owed at its end can arrive.
const settleTime = 20 * time.Second

// simulation is the state of one played day.
type simulation struct {
	day       *Day
	now       Time
	rng       *rand.Rand
	timers    timerqueue.Timers
	network   network
	rooms     [][]*node // nodes by room
	nodes     []*node   // by index of the day; a replaced node's slot has its successor
	feed      *feed
	scheduler *schedulerHost
	owner     *owner
	judge     *judge
	coverage  Coverage
	trace     []string
	tracing   bool
}

// Result is the verdict on a played day.
type Result struct {
	Violations []Violation
	Requests   int // that owners submitted
	Placed     int
	Coverage   Coverage
	Trace      []string // messages and faults in their order, if Options.Trace is set
}

// Options has the options of Play.
type Options struct {
	Trace bool // whether to record the trace
	// ConfigureCore, if not nil, may change the configuration of the scheduler's core.
	ConfigureCore func(*requests.Config)
}

// Play plays a day and judges it. The error is a *LimitError for a day that the platform does not allow, or the error of the
// scheduler's configuration.
func Play(day *Day, options Options) (*Result, error) {
	if err := day.Validate(); err != nil {
		return nil, err
	}
	s := &simulation{day: day, now: epoch, rng: rand.New(rand.NewPCG(day.Seed, 1)), coverage: Coverage{}, tracing: options.Trace}
	s.network.sim = s
	s.judge = newJudge(s)
	s.feed = &feed{sim: s}
	s.addNodes()
	s.scheduler = &schedulerHost{sim: s, configureCore: options.ConfigureCore}
	s.owner = newOwner(s)
	s.owner.prepareStandby()
	if err := s.scheduler.start(); err != nil {
		return nil, err
	}
	s.owner.start()
	for i := range day.Faults {
		fault := &day.Faults[i]
		s.after(fault.At, func() { s.injectFault(fault) })
	}
	s.run(epoch + day.Length + settleTime)
	if s.scheduler.err != nil {
		return nil, s.scheduler.err
	}
	return &Result{Violations: s.judge.violations, Requests: s.owner.submitted, Placed: s.owner.placed, Coverage: s.coverage,
		Trace: s.trace}, nil
}

// run runs all events up to a time.
func (s *simulation) run(end Time) {
	for {
		at, ok := s.timers.Next()
		if !ok || at > end || s.scheduler.err != nil {
			return
		}
		s.now = max(at, s.now)
		s.timers.RunDue(s.now)
	}
}

// after schedules a call.
func (s *simulation) after(delay time.Duration, callback func()) *timerqueue.Timer {
	return s.timers.Schedule(s.now+delay, callback)
}

// sinceStart returns the time since the start of the day.
func (s *simulation) sinceStart() time.Duration { return s.now - epoch }

// between returns a random duration.
func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// logf adds a line to the trace.
func (s *simulation) logf(format string, args ...any) {
	if s.tracing {
		s.trace = append(s.trace, fmt.Sprintf("%9.3f ", s.sinceStart().Seconds())+fmt.Sprintf(format, args...))
	}
}

// roomCount is the number of rooms; the nodes are divided among them in turn.
const roomCount = 3

func roomName(i int) string { return fmt.Sprintf("room-%d", i%roomCount) }

func (s *simulation) addNodes() {
	s.rooms = make([][]*node, roomCount)
	var entries []string
	for i := range s.day.Nodes {
		n := newNode(s, fmt.Sprintf("n-%d", i), fmt.Sprintf("10.0.%d.%d:1", i/250, i%250+1), i%roomCount)
		s.nodes = append(s.nodes, n)
		s.rooms[n.room] = append(s.rooms[n.room], n)
		entries = append(entries, n.entry("active"))
	}
	s.feed.publish(true, entries...)
}
