// Package scenario owns scripted days: fleets, loads and troubles at given times, as CUE records, and what is drawn from
// them by a seed. It must not run them; trials do so over sockets, the emulator on a simulated clock.
package scenario

import (
	"embed"
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"path"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"flaxshelf.example/flaxshelf/internal/lab/rules"
	"flaxshelf.example/flaxshelf/internal/settings"
)

//go:embed schema.cue
var schema string

//go:embed days/*.cue
var days embed.FS

// Group is the record #Group.
type Group struct {
	Name  string `json:"Name"`
	Kind  string `json:"Kind"`
	Zone  string `json:"Zone"`
	Count int    `json:"Count"`
	Cell  int    `json:"Cell"`
	Warm  bool   `json:"Warm"`
}

// Load is the record #Load.
type Load struct {
	Class      string               `json:"Class"`
	Tenant     string               `json:"Tenant"`
	PerSecond  float64              `json:"PerSecond"`
	From       float64              `json:"From"`
	To         float64              `json:"To"`
	Cores      float64              `json:"Cores"`
	Memory     float64              `json:"Memory"`
	Terminate  float64              `json:"Terminate"`
	Hold       float64              `json:"Hold"`
	Services   int                  `json:"Services"`
	Life       [2]settings.Duration `json:"Life"`
	Rerunnable bool                 `json:"Rerunnable"`
	Retry      settings.Duration    `json:"Retry"`
	Patience   settings.Duration    `json:"Patience"`
}

// Trouble is the record #Trouble.
type Trouble struct {
	At         float64 `json:"At"`
	For        float64 `json:"For"`
	Do         string  `json:"Do"`
	Zone       string  `json:"Zone"`
	Class      string  `json:"Class"`
	Share      float64 `json:"Share"`
	Factor     float64 `json:"Factor"`
	Schedulers []int   `json:"Schedulers"`
}

// Day is the record #Trial.
type Day struct {
	Name           string             `json:"-"`
	About          string             `json:"About"`
	Seconds        float64            `json:"Seconds"`
	After          float64            `json:"After"`
	Schedulers     int                `json:"Schedulers"`
	Cores          int                `json:"Cores"`
	Kinds          []settings.Kind    `json:"Kinds"`
	Classes        []settings.Class   `json:"Classes"`
	Tenants        []settings.Tenant  `json:"Tenants"`
	Rules          settings.Rules     `json:"Rules"`
	Limits         settings.Limits    `json:"Limits"`
	Behaviour      settings.Behaviour `json:"Behaviour"`
	CPU            CPU                `json:"cpu"`
	DiscoveryDelay settings.Duration  `json:"Late"`
	RemovalDelay   settings.Duration  `json:"GoneAfter"`
	ListsFree      bool               `json:"ListsFree"`
	RunsWhenPlaced bool               `json:"RunsWhenPlaced"`
	Fleet          []Group            `json:"Fleet"`
	Load           []Load             `json:"Load"`
	Troubles       []Trouble          `json:"Troubles"`
}

// CPU is the record of what a core's steps cost: a step, and each input of it.
type CPU struct {
	Step  settings.Duration `json:"Step"`
	Input settings.Duration `json:"Input"`
}

// Of is the time that a step with so many inputs takes.
func (c *CPU) Of(inputs int) time.Duration {
	return c.Step.Duration() + time.Duration(inputs)*c.Input.Duration()
}

// Names lists the days that ship with the program.
func Names() []string {
	entries, _ := days.ReadDir("days") // the folder is part of the binary
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".cue"))
	}
	sort.Strings(names)
	return names
}

// Read reads a day by its name, or from a file.
func Read(name string) (*Day, error) {
	if text, err := days.ReadFile(path.Join("days", name+".cue")); err == nil {
		return Parse(name, text)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("no day of that name (there are %s) and no such file: %w", strings.Join(Names(),
			", "), err)
	}
	return Parse(name, text)
}

// Parse reads a day from text.
func Parse(name string, text []byte) (*Day, error) {
	f, err := settings.Read(name, text, "#Trial", schema)
	if err != nil {
		return nil, err
	}
	d := &Day{Name: strings.TrimSuffix(filepath.Base(name), ".cue")}
	if err := f.Decode(d); err != nil {
		return nil, err
	}
	for i := range d.Load {
		if d.Load[i].To == 0 {
			d.Load[i].To = d.Seconds
		}
	}
	return d, d.check(f)
}

func (d *Day) check(f *settings.File) error {
	classes, kinds := map[string]bool{}, map[string]bool{}
	for _, c := range d.Classes {
		classes[c.Name] = true
	}
	for _, k := range d.Kinds {
		kinds[k.Name] = true
	}
	for i, g := range d.Fleet {
		if !kinds[g.Kind] {
			f.Fail(fmt.Sprintf("fleet[%d].kind", i), "no kind %q, expected one of kinds", g.Kind)
		}
	}
	for i, l := range d.Load {
		if !classes[l.Class] {
			f.Fail(fmt.Sprintf("load[%d].class", i), "no class %q, expected one of classes", l.Class)
		}
		if l.Life[1] < l.Life[0] {
			f.Fail(fmt.Sprintf("load[%d].life", i), "is %v, expected two rising durations", l.Life)
		}
	}
	for i, t := range d.Troubles {
		if t.Class != "" && t.Class != "*" && !classes[t.Class] {
			f.Fail(fmt.Sprintf("troubles[%d].class", i), "no class %q, expected one of classes", t.Class)
		}
		for j, s := range t.Schedulers {
			if s >= d.Schedulers {
				f.Fail(fmt.Sprintf("troubles[%d].schedulers[%d]", i, j), "no scheduler %d, there are %d", s,
					d.Schedulers)
			}
		}
	}
	return f.Err()
}

// Figures are what the checker of the rules is told of this day.
func (d *Day) Figures() rules.Figures {
	b := &d.Behaviour
	f := rules.Figures{DrainGrace: d.Rules.DrainGrace.Duration(), AnswerSlack: d.Rules.AnswerSlack.Duration(),
		Settle: d.Rules.SettleTime.Duration(), Skew: 150 * time.Millisecond,
		Cold: rules.Cold{For: d.Rules.SlowStartDuration.Duration(), Window: d.Rules.OverloadWindow.Duration(),
			From: b.SlowStartInitialRate, Multiple: b.OverloadMultiple, Always: d.Rules.SlowStartBudget,
			StartsPerSecond: float64(b.StartSlots) / (b.CachedStartTime.Duration().Seconds() * max(b.UncachedStartFactor, 1))}}
	for _, c := range d.Classes {
		f.Classes = append(f.Classes, rules.Class{Name: c.Name, Effect: c.Idempotency, Group: c.KeyDomain,
			Window: c.KeyTTL.Duration(), GiveUp: c.PlacementTimeout.Duration(), Spread: c.SpreadDomain, Most: c.MaxPerDomain})
	}
	return f
}

// SchedulerFile is the configuration of scheduler i. JSON is CUE as well.
func (d *Day) SchedulerFile(i int, inventory, tap string, seed uint64) ([]byte, error) {
	s := map[string]any{"name": SchedulerName(i), "listen": "127.0.0.1:0", "inventory": inventory, "index": i,
		"schedulers": d.Schedulers, "cores": max(d.Cores, 1), "zone": d.Zone(i), "seed": seed,
		"listsFree": d.ListsFree, "runsWhenPlaced": d.RunsWhenPlaced,
		"classes": d.Classes,
		"kinds":   d.Kinds, "tenants": d.Tenants, "rules": d.Rules, "limits": d.Limits, "log": "info", "tap": tap}
	if len(d.Tenants) == 0 {
		delete(s, "tenants")
	}
	b, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("trial: configuration of %s: %w", SchedulerName(i), err)
	}
	var v any
	if err := json.Unmarshal(b, &v); err != nil {
		return nil, fmt.Errorf("trial: configuration of %s: %w", SchedulerName(i), err)
	}
	return json.MarshalIndent(fieldNames(v), "", "  ")
}

// fieldNames turns the names of Go's fields into the schema's, which begin with a small letter.
func fieldNames(v any) any {
	switch v := v.(type) {
	case map[string]any:
		out := make(map[string]any, len(v))
		for k, x := range v {
			out[strings.ToLower(k[:1])+k[1:]] = fieldNames(x)
		}
		return out
	case []any:
		for i := range v {
			v[i] = fieldNames(v[i])
		}
	}
	return v
}

// SchedulerName is the name of scheduler i.
func SchedulerName(i int) string { return fmt.Sprintf("s%d", i) }

// Zone is the room of scheduler i: schedulers are spread over them.
func (d *Day) Zone(i int) string {
	var zones []string
	seen := map[string]bool{}
	for _, g := range d.Fleet {
		if !seen[g.Zone] {
			seen[g.Zone] = true
			zones = append(zones, g.Zone)
		}
	}
	return zones[i%len(zones)]
}
