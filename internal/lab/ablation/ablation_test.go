package ablation

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/lab/rules"
	"flaxshelf.example/flaxshelf/internal/scheduler"
)

// Each hard bar breaks its rule in the day that is named for it, and no day is broken with it in place. Where the core
// guards the same rule again, either of the two is enough by itself.
func TestHardRows(t *testing.T) {
	for _, h := range HardRows {
		t.Run(h.Bar.String(), func(t *testing.T) {
			t.Parallel()
			play := func(guards scheduler.Guards, out ...flaxshelf.Constraint) []bool {
				broken, _, err := Broken(context.Background(), h.Day, Options(5, guards, out...))
				if err != nil {
					t.Fatal(err)
				}
				return broken
			}
			if !play(h.Guards, h.Bar)[h.Rule] {
				t.Errorf("%s does not break rule %d without the bar: it proves nothing", h.Day, h.Rule+1)
			}
			for i, b := range play(h.Guards) {
				if b {
					t.Errorf("%s breaks rule %d with the bar in place and the core's guard out", h.Day, i+1)
				}
			}
			if h.Guards != (scheduler.Guards{}) {
				if play(scheduler.Guards{}, h.Bar)[h.Rule] {
					t.Errorf("%s breaks rule %d though the core guards it", h.Day, h.Rule+1)
				}
			}
		})
	}
}

// TestMatrix plays every bar out against every day, and prints the tables of docs/ablation.md. It takes minutes and is for
// a person to run:
//
//	FLAXSHELF_MATRIX=20 go test -v -run Matrix -timeout 30m ./internal/lab/ablation
//
// FLAXSHELF_DAYS names some days only.
func TestMatrix(t *testing.T) {
	seeds := 0
	if _, err := fmt.Sscan(os.Getenv("FLAXSHELF_MATRIX"), &seeds); err != nil {
		t.Skip("set FLAXSHELF_MATRIX to a number of seeds to play it")
	}
	ctx, days := context.Background(), Days()
	if some := os.Getenv("FLAXSHELF_DAYS"); some != "" {
		days = strings.Fields(some)
	}
	var hard, soft strings.Builder
	for _, h := range HardRows {
		fmt.Fprintf(&hard, "| %s |", h.Bar)
		for _, day := range days {
			broken, rep, err := Broken(ctx, day, Options(5, h.Guards, h.Bar))
			if err != nil {
				t.Fatal(err)
			}
			cell := ""
			for i, b := range broken {
				if b {
					cell += fmt.Sprintf(" %d", i+1)
				}
			}
			if rep.FellOver > 0 && h.Rule == rules.ColdKept {
				cell += fmt.Sprintf(" (%d fell)", rep.FellOver)
			}
			fmt.Fprintf(&hard, "%s |", cell)
		}
		hard.WriteString("\n")
	}
	with := map[string][]Measure{}
	for _, day := range days {
		m, err := Play(ctx, day, seeds)
		if err != nil {
			t.Fatal(err)
		}
		with[day] = m
	}
	for _, b := range flaxshelf.Constraints() {
		if b.IsHard() {
			continue
		}
		var costs, harms []string
		for _, day := range days {
			without, err := Play(ctx, day, seeds, b)
			if err != nil {
				t.Fatal(err)
			}
			l := Compare(with[day], without)
			if l.Seen() {
				costs = append(costs, day+": "+l.String())
			}
			if l.Hurts() {
				harms = append(harms, day+": "+l.String())
			}
		}
		fmt.Fprintf(&soft, "| %s | %s | %s |\n", b, strings.Join(costs, "; "), strings.Join(harms, "; "))
		t.Logf("%s done", b)
	}
	t.Logf("hard, days %s\n%s\nsoft\n%s", strings.Join(days, " | "), hard.String(), soft.String())
}
