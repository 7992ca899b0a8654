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

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/daemon"
	"flaxshelf.example/flaxshelf/internal/lab/reference"
	"flaxshelf.example/flaxshelf/internal/lab/rules"
	"flaxshelf.example/flaxshelf/internal/lab/scenario"
	"flaxshelf.example/flaxshelf/internal/replay"
	"flaxshelf.example/flaxshelf/internal/settings"
)

// asServer makes a process of this test binary a scheduler; its value names the hook by which its host errs.
const asServer = "FLAXSHELF_TEST_SERVER"

func TestMain(m *testing.M) {
	if hook, ok := os.LookupEnv(asServer); ok {
		os.Exit(serve(os.Args[len(os.Args)-1], hook))
	}
	os.Exit(m.Run())
}

// serve is `flaxshelf serve --config path`, with a hook.
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
	if path := os.Getenv("FLAXSHELF_TEST_PROFILE"); path != "" {
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
		cmd.Env = append(os.Environ(), asServer+"="+hook)
		return cmd
	}
}

// gate lets three days run at a time: more, and a machine of two cores is too busy for the recorder's times.
var gate = make(chan struct{}, 3)

func play(t *testing.T, d *scenario.Day, seed uint64, hook string) *Result {
	t.Helper()
	gate <- struct{}{}
	defer func() { <-gate }()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	also := func(c flaxshelf.Config, seed uint64) (replay.Module, error) { return reference.New(c, seed) }
	res, err := Run(ctx, d, Options{Seed: seed, Replay: true, Also: also, Command: command(hook), Keep: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	return res
}

// The days that ship with the program can be read.
func TestDaysAreGood(t *testing.T) {
	for _, name := range scenario.Names() {
		if _, err := scenario.Read(name); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Short days keep every rule, each submission is accounted for, and both the module alone and its former text answer as
// it did. With FLAXSHELF_SOCKETS set all days are played, which takes minutes.
func TestDaysKeepTheRules(t *testing.T) {
	names := []string{"calm", "bad-day", "schedulers", "links", "mass-restart"}
	if os.Getenv("FLAXSHELF_SOCKETS") != "" {
		names = scenario.Names()
	}
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, err := scenario.Read(name)
			if err != nil {
				t.Fatal(err)
			}
			res := play(t, d, 7, "")
			if !res.OK() {
				t.Errorf("%s", res)
			}
			if res.Tally.Submitted == 0 || res.Verdict.Admitted == 0 || len(res.Replays) == 0 {
				t.Errorf("nothing was played: %s", res)
			}
			for i, r := range res.Verdict.Rules {
				if r.Checked == 0 && (i != rules.ColdKept || name == "bad-day" || name == "mass-restart") {
					t.Errorf("rule %d had nothing to judge", i+1)
				}
			}
		})
	}
}

// The worst day with schedulers of four cores each, whose modules alone answer the same, sixteen lives of them. It runs
// by itself: a dozen cores beside other days keep a small machine too busy for the recorder's times.
func TestFourCoresKeepTheRules(t *testing.T) {
	d, err := scenario.Read("bad-day")
	if err != nil {
		t.Fatal(err)
	}
	d.Cores = 4
	if res := play(t, d, 20, ""); !res.OK() || len(res.Replays) != 16 {
		t.Errorf("%d recorded lives\n%s", len(res.Replays), res)
	}
}

// Each check fails on a run whose host breaks just that rule.
func TestBrokenRulesAreSeen(t *testing.T) {
	for i, c := range []struct{ hook, troubles, say string }{
		{"two answers", "", "then failed"},
		{"second start", "", "is in flight"},
		{"drained node", `[{at: 0.5, for: 6, do: "shrink", zone: "room-a", share: 0.1}]`, "after word that it is draining"},
		{"cold node", `[{at: 1, do: "restart", zone: "room-a", share: 0.1}]`, "and bears"},
		{"one room", `[{at: 0, for: 4, do: "hot-service", class: "sensor", factor: 0.9}]`, "in one zone"},
	} {
		t.Run(c.hook, func(t *testing.T) {
			t.Parallel()
			text := `#Town
about: "a host that errs"
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
			v := play(t, d, 3, c.hook).Verdict
			for j, r := range v.Rules {
				if (j == i) != (len(r.Broken) > 0) {
					t.Errorf("rule %d: broken %d times, wanted only rule %d\n%s", j+1, len(r.Broken), i+1, v)
				}
			}
			if !strings.Contains(v.String(), c.say) {
				t.Errorf("the verdict does not say %q:\n%s", c.say, v)
			}
		})
	}
}
