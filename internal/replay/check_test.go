package replay

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"flaxshelf.example/flaxshelf"
)

// recordSteps returns a recording of 20 steps of a module. If change is not nil, step 11 is recorded with the actions that change
// returns for the actions of the module.
func recordSteps(t testing.TB, change func(actions []flaxshelf.Action) []flaxshelf.Action) []byte {
	t.Helper()
	cfg := flaxshelf.Config{Kinds: []flaxshelf.MachineKind{{Name: "k", Cores: 8, Memory: 8}},
		Classes: []flaxshelf.TaskClass{{Name: "c", LatencyObjective: time.Second, Kind: -1}}}
	p, err := flaxshelf.New(cfg, 3)
	if err != nil {
		t.Fatal(err)
	}
	var steps []step
	for i := range 20 {
		now := time.Duration(i+1) * time.Second
		events := []flaxshelf.Event{flaxshelf.TaskSubmitted{Task: flaxshelf.Task{ID: string(rune('a' + i)), Cores: 1, Memory: 1,
			Deadline: now + time.Second}}}
		if i == 0 {
			events = append([]flaxshelf.Event{flaxshelf.MachinesUpdated{Complete: true, Machines: []flaxshelf.Machine{{ID: "m1"},
				{ID: "m2"}, {ID: "m3"}, {ID: "m4"}}}}, events...)
		}
		actions := p.Step(now, events)
		if change != nil && i == 10 {
			actions = change(actions)
		}
		steps = append(steps, step{now, events, actions})
	}
	return writeAll(t, cfg, 3, steps)
}

func TestCheckConfirmsTheModulesOwnSteps(t *testing.T) {
	good := recordSteps(t, nil)
	res, err := Check(bytes.NewReader(good))
	if err != nil || res.Steps != 20 || res.Actions == 0 {
		t.Errorf("got %+v, error %v, want 20 steps with actions", res, err)
	}
}

func TestCheckEndsAtTheLastCompleteStep(t *testing.T) {
	good := recordSteps(t, nil)
	if res, err := Check(bytes.NewReader(good[:len(good)-5])); err != nil || res.Steps != 19 {
		t.Errorf("got %+v, error %v, want 19 steps", res, err)
	}
}

func TestCheckNamesTheFirstDifference(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(actions []flaxshelf.Action) []flaxshelf.Action
		action int // want this DivergenceError.ActionIndex
	}{
		{"another machine", func(actions []flaxshelf.Action) []flaxshelf.Action {
			for i := range actions {
				if offer, ok := actions[i].(flaxshelf.Offer); ok {
					offer.Machine += "x"
					actions[i] = offer
				}
			}
			return actions
		}, 1},
		{"one more", func(actions []flaxshelf.Action) []flaxshelf.Action {
			return append(actions, flaxshelf.Reject{Task: "z"})
		}, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Check(bytes.NewReader(recordSteps(t, c.change)))
			var divergence *DivergenceError
			if !errors.As(err, &divergence) {
				t.Fatalf("got %v, want a DivergenceError", err)
			}
			if divergence.Step != 11 || divergence.ActionIndex != c.action || !strings.Contains(err.Error(), "step 11") {
				t.Errorf("got step %d, action %d (%v), want step 11, action %d", divergence.Step, divergence.ActionIndex, err, c.action)
			}
		})
	}
}

func TestCheckRejectsOtherFiles(t *testing.T) {
	if _, err := Check(strings.NewReader("nonsense")); err == nil {
		t.Error("got no error for a file that is no recording, want one")
	}
}

// Check must not panic, whatever the file has.
func FuzzCheck(f *testing.F) {
	f.Add(recordSteps(f, nil))
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, in []byte) {
		if len(in) < 1<<14 {
			_, _ = Check(bytes.NewReader(in))
		}
	})
}
