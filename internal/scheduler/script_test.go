package scheduler

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestScripts runs the scripts of testdata and compares the effects with the transcripts in them. `core` creates a core.
// `step` steps it at the given time, with one input per line. Between two steps the core is stepped at each
// Output.NextStep, unless the second step has the option `stall`. Run with -rewrite to rewrite the transcripts.
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
			data.Fatalf(t, "unknown command %s", data.Cmd)
			return ""
		})
	})
}

type scriptRunner struct {
	core          *Core
	now           Time
	nextStep      Time   // latest time of the next step
	lastRequestID uint64 // of the last input
}

// newCore creates a core. max-pending=N sets Limits.MaxPending, started-at=TIME sets the start of the incarnation, and
// placed-when-running sets PlacedWhenRunning.
func (s *scriptRunner) newCore(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	cfg := testConfig()
	for _, arg := range data.CmdArgs {
		switch arg.Key {
		case "max-pending":
			cfg.Limits.MaxPending = parseInt(t, arg.Vals[0])
		case "started-at":
			cfg.StartedAt = parseTime(t, arg.Vals[0])
		case "placed-when-running":
			cfg.Module.PlacedWhenRunning = true
		}
	}
	s.core, s.nextStep, s.lastRequestID = newTestCore(t, cfg), 0, 0
	s.now = max(s.now, cfg.StartedAt)
	return ""
}

// step steps the core at a time. The option `stall` omits the steps between the last one and this one. The option `all`
// also prints published changes.
func (s *scriptRunner) step(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	var at Time
	stall, printChanges := false, false
	for _, arg := range data.CmdArgs {
		switch arg.Key {
		case "stall":
			stall = true
		case "all":
			printChanges = true
		default:
			at = parseTime(t, arg.Key)
		}
	}
	var b strings.Builder
	for !stall && s.nextStep > 0 && s.nextStep < at && s.core.lastStepAt > 0 {
		s.printEffects(&b, s.nextStep, s.core.Step(s.nextStep, nil), printChanges)
	}
	var inputs []Input
	for _, line := range strings.Split(data.Input, "\n") {
		if line = strings.TrimSpace(line); line != "" {
			s.lastRequestID++
			inputs = append(inputs, parseInput(t, line, s.lastRequestID))
		}
	}
	s.printEffects(&b, at, s.core.Step(at, inputs), printChanges)
	return b.String()
}

// printEffects prints the effects of a step, each with the time of the step.
func (s *scriptRunner) printEffects(b *strings.Builder, at Time, out Output, printChanges bool) {
	s.now, s.nextStep = at, max(out.NextStep, at+time.Millisecond)
	for _, effect := range out.Effects {
		if line := effectText(effect, printChanges); line != "" {
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
