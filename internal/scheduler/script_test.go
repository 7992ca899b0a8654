package scheduler

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestScripts plays the scripts of testdata. Each begins with `core`; `step` gives the core its inputs at a time, one a
// line, and prints the effects. Between two steps the core is woken as it asked, unless the script says stall. Run
// with -rewrite to write the transcripts anew.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		runner := &scriptRunner{}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			switch data.Cmd {
			case "core":
				return runner.newCore(t, data)
			case "step":
				return runner.step(t, data)
			}
			data.Fatalf(t, "no command %s", data.Cmd)
			return ""
		})
	})
}

type scriptRunner struct {
	core *Core
	now  Time
	wake Time
	req  uint64 // of the last input; each input counts
}

// newCore makes a new core: open=N changes the limit of pending jobs, boot=TIME begins a later incarnation, and with
// runs-when-placed a job counts as placed when it runs.
func (s *scriptRunner) newCore(t *testing.T, data *datadriven.TestData) string {
	cfg := testConfig()
	for _, arg := range data.CmdArgs {
		switch arg.Key {
		case "open":
			cfg.Limits.MaxPending = parseInt(t, arg.Vals[0])
		case "boot":
			cfg.StartedAt = parseTime(t, arg.Vals[0])
		case "runs-when-placed":
			cfg.Module.PlacedWhenRunning = true
		}
	}
	core, err := New(cfg)
	if err != nil {
		return err.Error()
	}
	s.core, s.wake, s.req = core, 0, 0
	s.now = max(s.now, cfg.StartedAt)
	return ""
}

// step steps the core at a time: with stall it is not woken before, with all the published changes are printed too.
func (s *scriptRunner) step(t *testing.T, data *datadriven.TestData) string {
	var at Time
	stall, all := false, false
	for _, arg := range data.CmdArgs {
		switch arg.Key {
		case "stall":
			stall = true
		case "all":
			all = true
		default:
			at = parseTime(t, arg.Key)
		}
	}
	var b strings.Builder
	for !stall && s.wake > 0 && s.wake < at && s.core.lastStepAt > 0 {
		s.print(&b, s.wake, s.core.Step(s.wake, nil), all)
	}
	var inputs []Input
	for _, line := range strings.Split(data.Input, "\n") {
		if line = strings.TrimSpace(line); line != "" {
			s.req++
			inputs = append(inputs, parseInput(t, line, s.req))
		}
	}
	s.print(&b, at, s.core.Step(at, inputs), all)
	return b.String()
}

// print prints the effects of a step with its time.
func (s *scriptRunner) print(b *strings.Builder, at Time, out Output, all bool) {
	s.now, s.wake = at, max(out.NextStep, at+time.Millisecond)
	for _, effect := range out.Effects {
		if line := effectText(effect, all); line != "" {
			fmt.Fprintf(b, "%v %s\n", at, line)
		}
	}
}

func parseTime(t *testing.T, s string) Time {
	t.Helper()
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatalf("%q: %v", s, err)
	}
	return d
}

func parseInt(t *testing.T, s string) int {
	t.Helper()
	n, err := strconv.Atoi(s)
	if err != nil {
		t.Fatalf("%q: %v", s, err)
	}
	return n
}
