package shard_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/shard"
	"flaxshelf.example/flaxshelf/internal/testbed/chart"
)

const (
	loadNodes       = 130
	loadStep        = 2 * time.Millisecond // of the simulated clock
	loadSubmissions = 10                   // in each step
	loadRuntime     = time.Second          // of each job, by the simulated clock
)

// loadedCore is one core of a scheduler whose nodes accept every offer immediately.
type loadedCore struct {
	core      *scheduler.Core
	now       scheduler.Time
	submitted int
	running   []runningJob // ordered by end
	inputs    []scheduler.Input
	stepTimes []time.Duration
}

type runningJob struct {
	endsAt scheduler.Time
	end    scheduler.AttemptEnded
}

func loadConfig() scheduler.Config {
	return scheduler.Config{
		Name:      "s",
		Seed:      1,
		StartedAt: time.Second,
		Module: flaxshelf.Config{
			Schedulers:            1,
			MaxAttempts:           3,
			CoreOvercommit:        2,
			MemoryOvercommit:      2,
			Tick:                  2 * time.Millisecond,
			ConnectTimeout:        time.Second,
			AnswerSlack:           100 * time.Millisecond,
			DrainGrace:            2 * time.Second,
			DiscoveryPollDeadline: 10 * time.Second,
			Kinds:                 []flaxshelf.MachineKind{{Name: "k", Cores: 64, Memory: 256}},
			Classes:               []flaxshelf.TaskClass{{Name: "c", LatencyObjective: time.Second, Kind: -1}},
		},
		Limits: scheduler.Limits{
			MaxPending:        1 << 20,
			MaxRunning:        1 << 20,
			MaxFinished:       1000,
			MaxSessions:       1,
			Retention:         time.Second,
			SettleTime:        time.Second,
			StallThreshold:    time.Hour,
			PlacementTimeouts: []time.Duration{10 * time.Second},
		},
	}
}

func newLoadedCore(t testing.TB, index, cores int) *loadedCore {
	t.Helper()
	core, err := scheduler.New(shard.ConfigForCore(loadConfig(), index, cores))
	if err != nil {
		t.Fatal(err)
	}
	list := scheduler.NodesUpdated{Complete: true}
	var connected []scheduler.Input
	for i := range loadNodes {
		name := fmt.Sprintf("n%d", i)
		list.Machines = append(list.Machines, flaxshelf.Machine{ID: name, Zone: fmt.Sprint("z", i%3), Cell: i / 8})
		connected = append(connected, scheduler.NodeConnected{Node: name})
	}
	loaded := &loadedCore{core: core, now: time.Second}
	loaded.core.Step(loaded.now, append([]scheduler.Input{list}, connected...))
	return loaded
}

// step submits jobs, passes them and the messages of the nodes to the core, and returns the number of offers that it makes.
func (l *loadedCore) step() (placed int) {
	l.now += loadStep
	l.submit()
	l.endJobs()
	began := time.Now()
	out := l.core.Step(l.now, l.inputs)
	l.stepTimes = append(l.stepTimes, time.Since(began))
	l.inputs = l.inputs[:0]
	for _, effect := range out.Effects {
		if offer, ok := effect.(scheduler.SendOffer); ok {
			placed++
			l.run(offer)
		}
	}
	return placed
}

func (l *loadedCore) submit() {
	for range loadSubmissions {
		l.submitted++
		service := fmt.Sprint("v", l.submitted%200)
		l.inputs = append(l.inputs,
			scheduler.Submit{Spec: scheduler.JobSpec{Tenant: -1, Service: service, Cores: 0.25, Memory: 0.5}})
	}
}

func (l *loadedCore) endJobs() {
	done := 0
	for done < len(l.running) && l.running[done].endsAt <= l.now {
		l.inputs = append(l.inputs, l.running[done].end)
		done++
	}
	l.running = l.running[done:]
}

func (l *loadedCore) run(offer scheduler.SendOffer) {
	l.inputs = append(l.inputs,
		scheduler.AttemptAccepted{Node: offer.Node, Attempt: offer.Attempt},
		scheduler.AttemptStarted{Node: offer.Node, Attempt: offer.Attempt})
	l.running = append(l.running, runningJob{
		endsAt: l.now + loadRuntime,
		end:    scheduler.AttemptEnded{Node: offer.Node, Attempt: offer.Attempt},
	})
}

// TestCoresFigure runs 1 to 8 cores concurrently, without sockets, and draws the placements per second and the 99th
// percentile of the duration of a step:
//
//	FLAXSHELF_FIGURES=$PWD/docs/figures go test -v -run CoresFigure ./internal/shard
func TestCoresFigure(t *testing.T) {
	dir := os.Getenv("FLAXSHELF_FIGURES")
	if dir == "" {
		t.Skip("set FLAXSHELF_FIGURES to the folder for the figure")
	}
	rate := chart.Line{Name: "thousand placements a second"}
	tail := chart.Line{Name: "p99 of a step that takes ten, microseconds"}
	for _, cores := range []int{1, 2, 4, 8} {
		perSecond, p99 := measureCores(t, cores)
		t.Logf("%d cores: %.0f placements a second, p99 of a step %v", cores, perSecond, p99)
		rate.X, rate.Y = append(rate.X, float64(cores)), append(rate.Y, perSecond/1000)
		tail.X, tail.Y = append(tail.X, float64(cores)), append(tail.Y, p99.Seconds()*1e6)
	}
	figure := chart.Chart{Title: "cores that decide at once, 130 nodes, 4 CPUs", XLabel: "cores", Lines: []chart.Line{rate, tail}}
	if err := figure.Write(filepath.Join(dir, "cores.svg")); err != nil {
		t.Fatal(err)
	}
}

// measureCores runs the given number of cores concurrently for three seconds of real time, and returns the placements per
// second of all cores and the 99th percentile of the duration of a step.
func measureCores(t *testing.T, count int) (placedPerSecond float64, stepP99 time.Duration) {
	t.Helper()
	const measureFor = 3 * time.Second
	cores, placed := make([]*loadedCore, count), make([]int, count)
	for i := range count {
		cores[i] = newLoadedCore(t, i, count)
	}
	var running sync.WaitGroup
	began := time.Now()
	for i, core := range cores {
		running.Go(func() {
			for time.Since(began) < measureFor {
				placed[i] += core.step()
			}
		})
	}
	running.Wait()
	took := time.Since(began).Seconds()
	sum, stepTimes := 0, []time.Duration(nil)
	for i, core := range cores {
		sum += placed[i]
		stepTimes = append(stepTimes, core.stepTimes...)
	}
	slices.Sort(stepTimes)
	return float64(sum) / took, stepTimes[len(stepTimes)*99/100]
}
