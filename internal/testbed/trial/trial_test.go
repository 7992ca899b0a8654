package trial

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"runtime/pprof"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/internal/daemon"
	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/testbed/rules"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

const (
	// serverHookEnv is the environment variable that makes a process of this test binary a scheduler; its value is the name of a
	// hook.
	serverHookEnv = "FLAXSHELF_TEST_SERVER"
	// profilePathEnv is the environment variable with the file for a CPU profile of such a process; empty means none.
	profilePathEnv = "FLAXSHELF_TEST_PROFILE"
	// runAllDaysEnv is the environment variable that makes TestDaysRespectTheRules run all days, which takes minutes, and
	// enables TestPlanOnSocketsRespectsTheRules.
	runAllDaysEnv = "FLAXSHELF_SOCKETS"
)

func TestMain(m *testing.M) {
	if hook, ok := os.LookupEnv(serverHookEnv); ok {
		os.Exit(serve(os.Args[len(os.Args)-1], hook))
	}
	os.Exit(m.Run())
}

// serve runs `flaxshelf serve --config path` with a hook and returns the exit code.
func serve(path, hook string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	config, err := settings.ReadScheduler(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	level, err := zerolog.ParseLevel(config.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	schedulerDaemon, err := daemon.StartWithHook(config, zerolog.New(os.Stderr).Level(level), hooks[hook])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	fmt.Printf("scheduler %s http://%s\n", config.Name, schedulerDaemon.Addr())
	if path := os.Getenv(profilePathEnv); path != "" {
		if f, err := os.Create(path); err == nil && pprof.StartCPUProfile(f) == nil {
			defer pprof.StopCPUProfile()
		}
	}
	<-ctx.Done()
	if err := schedulerDaemon.Shutdown(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// schedulerCommand returns a function for Options.Command: it runs this test binary as a scheduler with the hook.
func schedulerCommand(hook string) func(args ...string) *exec.Cmd {
	return func(args ...string) *exec.Cmd {
		cmd := exec.Command(os.Args[0], args...)
		cmd.Env = append(os.Environ(), serverHookEnv+"="+hook)
		return cmd
	}
}

// daySlots limits the days that run at the same time. With more than three, a machine of two cores is too busy for accurate times
// in the recordings.
var daySlots = make(chan struct{}, 3)

// runDay runs a day with a hook in the schedulers, and replays their steps.
func runDay(t *testing.T, day *scenario.Day, seed uint64, hook string) *Result {
	t.Helper()
	daySlots <- struct{}{}
	defer func() { <-daySlots }()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	result, err := Run(ctx, day, Options{Seed: seed, Replay: true, Command: schedulerCommand(hook), Directory: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func TestShippedDaysAreValid(t *testing.T) {
	for _, name := range scenario.Names() {
		t.Run(name, func(t *testing.T) {
			if _, err := scenario.Read(name); err != nil {
				t.Errorf("got error %v, want none", err)
			}
		})
	}
}

// On each day the rules must hold, every submission must be accounted for, and a replayed module must return the same actions as
// the schedulers' modules. With FLAXSHELF_SOCKETS set, all shipped days are run, which takes minutes.
func TestDaysRespectTheRules(t *testing.T) {
	names := []string{"calm", "bad-day", "schedulers", "links", "mass-restart"}
	if os.Getenv(runAllDaysEnv) != "" {
		names = scenario.Names()
	}
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			day, err := scenario.Read(name)
			if err != nil {
				t.Fatal(err)
			}
			result := runDay(t, day, 7, "")
			if !result.OK() {
				t.Errorf("%s", result)
			}
			if result.ClientStats.Submitted == 0 || result.Verdict.Admitted == 0 || len(result.ReplaySummaries) == 0 {
				t.Errorf("got nothing submitted, admitted or replayed, want some of each: %s", result)
			}
			for i, rule := range result.Verdict.Rules {
				if rule.Checked == 0 && (i != rules.SlowStartRespected || name == "bad-day" || name == "mass-restart") {
					t.Errorf("got rule %d never checked, want it checked at least once", i+1)
				}
			}
		})
	}
}

// Runs bad-day with four cores in each scheduler, which makes sixteen step recordings. The test is not parallel: with a dozen
// scheduler cores and other days at the same time, a small machine is too busy for accurate times in the recording.
func TestSchedulersOfFourCoresRespectTheRules(t *testing.T) {
	day, err := scenario.Read("bad-day")
	if err != nil {
		t.Fatal(err)
	}
	day.Shards = 4
	if result := runDay(t, day, 20, ""); !result.OK() || len(result.ReplaySummaries) != 16 {
		t.Errorf("got %d recordings of steps, want 16 and all rules respected\n%s", len(result.ReplaySummaries), result)
	}
}

// In each run, a hook makes the scheduler violate one rule. The checker must report that rule and no other.
func TestOnlyTheViolatedRuleIsReported(t *testing.T) {
	for i, c := range []struct{ hook, faults, wantText string }{
		{"two outcomes", "", "then failed"},
		{"duplicate start", "", "is in flight"},
		{"draining node", `[{at: 0.5, for: 6, do: "shrink", zone: "room-a", share: 0.1}]`,
			"after it was notified that the node is draining"},
		{"node in slow start", `[{at: 1, do: "restart", zone: "room-a", share: 0.1}]`, "offers within"},
		{"one zone", `[{at: 0, for: 4, do: "hot-service", class: "sensor", factor: 0.9}]`, "in one zone"},
	} {
		t.Run(c.hook, func(t *testing.T) {
			t.Parallel()
			text := `#Town
about: "a scheduler that violates a rule"
seconds: 4
after: 3
schedulers: 1
rules: preempts: false
`
			if c.faults != "" {
				text += "troubles: " + c.faults
			}
			day, err := scenario.Parse("erring", []byte(text))
			if err != nil {
				t.Fatal(err)
			}
			verdict := runDay(t, day, 3, c.hook).Verdict
			for j, rule := range verdict.Rules {
				if (j == i) != (len(rule.Violations) > 0) {
					t.Errorf("rule %d: got %d violations, want some of rule %d only\n%s", j+1, len(rule.Violations), i+1, verdict)
				}
			}
			if !strings.Contains(verdict.String(), c.wantText) {
				t.Errorf("got %s, want it to contain %q", verdict, c.wantText)
			}
		})
	}
}
