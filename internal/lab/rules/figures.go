// Package rules owns the proof: it reads a recording of the traffic and judges the five rules from it alone. It
// must not ask the scheduler, nor import its core or the module.
package rules

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Figures are what the rules of a deployment are measured by. Durations are in nanoseconds in JSON.
type Figures struct {
	Classes     []Class       `json:"Classes"`
	DrainGrace  time.Duration `json:"DrainGrace"`
	AnswerSlack time.Duration `json:"AnswerSlack"`
	Settle      time.Duration `json:"Settle"`
	Cold        Cold          `json:"Cold"`
	// Skew is allowed between the recorder's times and the parties': the time that bytes spend on the way to the
	// recorder on a busy machine.
	Skew time.Duration `json:"Skew"`
}

// Class is what the rules say of one class.
type Class struct {
	Name   string        `json:"Name"`
	Effect string        `json:"Effect"` // safe, keyed, unsafe
	Group  string        `json:"Group"`  // keyed: machine, cell, zone, everywhere
	Window time.Duration `json:"Window"`
	GiveUp time.Duration `json:"GiveUp"`
	Spread string        `json:"Spread"` // "", machine, cell, zone
	Most   int           `json:"Most"`
}

// Cold is what a node bears that has just come up.
type Cold struct {
	For             time.Duration `json:"For"`
	Window          time.Duration `json:"Window"`
	From            float64       `json:"From"` // pace when fresh, of 1
	Multiple        float64       `json:"Multiple"`
	Always          float64       `json:"Always"`          // offers within Window that it always bears
	StartsPerSecond float64       `json:"StartsPerSecond"` // at full pace
}

// bears is how many offers within Window a node of this age takes.
func (c *Cold) bears(age time.Duration) float64 {
	pace := c.From + (1-c.From)*float64(age)/float64(max(c.For, 1))
	return max(c.Always, c.Multiple*c.StartsPerSecond*min(pace, 1)*c.Window.Seconds())
}

// The five rules.
const (
	OneAnswer = iota
	NoSecondStart
	DrainsKept
	ColdKept
	SpreadKept
	count
)

// Names are the rules' names, in their order.
var Names = [count]string{
	"one final answer in time for each task",
	"no second start its class forbids",
	"no new work after word of a drain",
	"no cold node pushed over",
	"spread kept",
}

// Finding is one breach.
type Finding struct {
	At   time.Duration // since the start of the recording
	Text string
}

// Rule is the verdict on one rule.
type Rule struct {
	Checked int // how many things were looked at; a rule that had nothing to look at is not proven
	Broken  []Finding
}

// Verdict is what a recording shows.
type Verdict struct {
	Rules     [count]Rule
	Length    time.Duration
	Unread    []string // connections whose bytes could not be read on, with the reason
	Submitted int      // submissions seen
	Taken     int      // jobs that a scheduler took
	Turned    map[string]int
	Outcomes  map[string]int
	States    map[string]int // last seen, of the jobs taken
	Orphaned  int            // taken by a life of a scheduler that was killed, and not found by a later one
	FellOver  int            // nodes that died of too many starts while cold
	Offers    int
	Replies   map[string]int
}

// OK tells whether no rule is broken.
func (v *Verdict) OK() bool {
	for i := range v.Rules {
		if len(v.Rules[i].Broken) > 0 {
			return false
		}
	}
	return len(v.Unread) == 0
}

// mostShown bounds the breaches of a rule that are printed.
const mostShown = 10

// String is the verdict in words.
func (v *Verdict) String() string {
	var b strings.Builder
	for i, r := range v.Rules {
		word := "kept"
		switch {
		case len(r.Broken) > 0:
			word = fmt.Sprintf("BROKEN %d times", len(r.Broken))
		case r.Checked == 0:
			word = "had nothing to judge"
		}
		fmt.Fprintf(&b, "rule %d  %-40s %s (%d checked)\n", i+1, Names[i], word, r.Checked)
		for j, f := range r.Broken {
			if j == mostShown {
				fmt.Fprintf(&b, "        and %d more\n", len(r.Broken)-j)
				break
			}
			fmt.Fprintf(&b, "        at %8.3f s: %s\n", f.At.Seconds(), f.Text)
		}
	}
	fmt.Fprintf(&b, "%d submissions in %.1f s: %d jobs taken, turned away %s\n", v.Submitted,
		v.Length.Seconds(), v.Taken,
		counts(v.Turned))
	fmt.Fprintf(&b, "outcomes %s; jobs at the end %s; %d were held by a scheduler that was killed\n",
		counts(v.Outcomes),
		counts(v.States), v.Orphaned)
	fmt.Fprintf(&b, "%d offers to nodes, answered %s; %d nodes fell over\n", v.Offers, counts(v.Replies), v.FellOver)
	for _, u := range v.Unread {
		fmt.Fprintf(&b, "unread: %s\n", u)
	}
	return b.String()
}

func counts(m map[string]int) string {
	if len(m) == 0 {
		return "none"
	}
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	for i, n := range names {
		names[i] = fmt.Sprintf("%s %d", n, m[n])
	}
	return strings.Join(names, ", ")
}
