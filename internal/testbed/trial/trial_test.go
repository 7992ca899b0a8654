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
	// serverHook is the environment variable that makes a process of this test binary a scheduler; its value is the name of a
	// hook.
	serverHook = "FLAXSHELF_TEST_SERVER"
	// profilePath is the environment variable with the file for a CPU profile of such a process; empty means none.
	profilePath = "FLAXSHELF_TEST_PROFILE"
	// runAllDays is the environment variable that makes TestDaysRespectTheRules run all days, which takes minutes.
	runAllDays = "FLAXSHELF_SOCKETS"
)

func TestMain(m *testing.M) {
	if hook, ok := os.LookupEnv(serverHook); ok {
		os.Exit(serve(os.Args[len(os.Args)-1], hook))
	}
	os.Exit(m.Run())
}

// serve runs `flaxshelf serve --config path` with a hook and returns the exit code.
func serve(path, hook string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	set, err := settings.ReadScheduler(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	level, err := zerolog.ParseLevel(set.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	d, err := daemon.StartHooked(set, zerolog.New(os.Stderr).Level(level), hooks[hook])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	fmt.Printf("scheduler %s http://%s\n", set.Name, d.Addr())
	if path := os.Getenv(profilePath); path != "" {
		if f, err := os.Create(path); err == nil && pprof.StartCPUProfile(f) == nil {
			defer pprof.StopCPUProfile()
		}
	}
	<-ctx.Done()
	if err := d.Shutdown(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func command(hook string) func(args ...string) *exec.Cmd {
	return func(args ...string) *exec.Cmd {
		cmd := exec.Command(os.Args[0], args...)
		cmd.Env = append(os.Environ(), serverHook+"="+hook)
		return cmd
	}
}

// running limits the days that run at the same time: with more, a machine of two cores is too busy for the times of the
// recorder.
var running = make(chan struct{}, 3)

// runDay runs a day with a hook in the schedulers, and replays their steps to a module by itself.
func runDay(t *testing.T, d *scenario.Day, seed uint64, hook string) *Result {
	t.Helper()
	running <- struct{}{}
	defer func() { <-running }()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	result, err := Run(ctx, d, Options{Seed: seed, Replay: true, Command: command(hook), Directory: t.TempDir()})
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

// Every submission must be accounted for, and a replayed module must return the same actions as the schedulers' modules.
// With FLAXSHELF_SOCKETS set all days are run, which takes minutes.
func TestDaysRespectTheRules(t *testing.T) {
	names := []string{"calm", "bad-day", "schedulers", "links", "mass-restart"}
	if os.Getenv(runAllDays) != "" {
		names = scenario.Names()
	}
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, err := scenario.Read(name)
			if err != nil {
				t.Fatal(err)
			}
			result := runDay(t, d, 7, "")
			if !result.OK() {
				t.Errorf("%s", result)
			}
			if result.Tally.Submitted == 0 || result.Verdict.Admitted == 0 || len(result.Replays) == 0 {
				t.Errorf("got nothing submitted, admitted or replayed, want some of each: %s", result)
			}
			for i, rule := range result.Verdict.Rules {
				if rule.Checked == 0 && (i != rules.SlowStartRespected || name == "bad-day" || name == "mass-restart") {
					t.Errorf("rule %d was not exercised", i+1)
				}
			}
		})
	}
}

// The schedulers of the worst day have four cores each, which makes sixteen recordings of steps. The day runs by itself: with
// a dozen cores besides other days a small machine is too busy for the times of the recorder.
func TestSchedulersOfFourCoresRespectTheRules(t *testing.T) {
	d, err := scenario.Read("bad-day")
	if err != nil {
		t.Fatal(err)
	}
	d.Shards = 4
	if result := runDay(t, d, 20, ""); !result.OK() || len(result.Replays) != 16 {
		t.Errorf("got %d recordings of steps, want 16 and all rules respected\n%s", len(result.Replays), result)
	}
}

// Each run has a scheduler that violates one rule.
func TestOnlyTheViolatedRuleIsReported(t *testing.T) {
	for i, c := range []struct{ hook, troubles, wantText string }{
		{"two outcomes", "", "then failed"},
		{"duplicate start", "", "is in flight"},
		{"draining node", `[{at: 0.5, for: 6, do: "shrink", zone: "room-a", share: 0.1}]`, "after it was notified that the node is draining"},
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
			if c.troubles != "" {
				text += "troubles: " + c.troubles
			}
			d, err := scenario.Parse("erring", []byte(text))
			if err != nil {
				t.Fatal(err)
			}
			verdict := runDay(t, d, 3, c.hook).Verdict
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
