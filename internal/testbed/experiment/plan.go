// Package experiment compares designs, which are variants of a scripted day, over a set of seeds. It emulates each design with
// each seed, stores the results, and computes statistics and reports from them. The emulation itself is in package emulator.
package experiment

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
	"flaxshelf.example/flaxshelf/internal/testbed/baseline"
	"flaxshelf.example/flaxshelf/internal/testbed/scenario"
)

//go:embed schema.cue
var schema string

// voteModule is the value of Design.Module for the scheduler module of this repository. Any other value is a baseline.Strategy.
const voteModule = "vote"

// Design is a variant of a scripted day; it is the #Design record of the schema.
type Design struct {
	Name       string  `json:"name"`
	Day        string  `json:"day"`        // name of an embedded day, or path of a file
	LostZone   string  `json:"lostZone"`   // zone whose nodes are removed from the fleet; empty means none
	Module     string  `json:"module"`     // module that chooses machines: voteModule or a baseline.Strategy
	LoadFactor float64 `json:"load"`       // factor for the submission rates of the day
	Schedulers int     `json:"schedulers"` // number of schedulers instead of the day's; zero means no change
}

// Plan describes an experiment; it is the #Experiment record of the schema. The first design is the reference that the others
// are compared with.
type Plan struct {
	Description   string   `json:"about"`
	SeedCount     int      `json:"seeds"`         // number of seeds
	FirstSeed     int      `json:"first"`         // first seed; the others follow consecutively
	WarmUpSeconds float64  `json:"warmUpSeconds"` // initial time of each day whose submissions are not measured
	Designs       []Design `json:"designs"`

	days         []*scenario.Day // of each design
	fingerprints []string        // of each design; stored results with another one are outdated
}

// UnknownZoneError is returned if the lost zone of a design is not a zone of the fleet, or is its only zone.
type UnknownZoneError struct{ Zone string }

func (e *UnknownZoneError) Error() string {
	return fmt.Sprintf("lost zone %q: the fleet has no such zone or has no other zone", e.Zone)
}

// Parse parses the text of a CUE file as an experiment and reads the days that it refers to. It returns settings.ConfigErrors,
// which refer to the file by the given name, if the experiment is invalid.
func Parse(name string, text []byte) (*Plan, error) {
	file, err := settings.Parse(name, text, "#Experiment", schema)
	if err != nil {
		return nil, err
	}
	p := &Plan{}
	if err := file.Decode(p); err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for i, d := range p.Designs {
		if seen[d.Name] {
			file.AddErrorf(fmt.Sprintf("designs[%d].name", i), "%q names two designs", d.Name)
		}
		seen[d.Name] = true
		day, err := d.readDay()
		if err != nil {
			file.AddErrorf(fmt.Sprintf("designs[%d].day", i), "%v", err)
			continue
		}
		if p.WarmUpSeconds >= day.LoadSeconds {
			file.AddErrorf("warmUpSeconds", "is %v, expected under the %v s of day %s", p.WarmUpSeconds, day.LoadSeconds, d.Day)
		}
		fingerprint, err := fingerprint(day, p.WarmUpSeconds, d.Module)
		if err != nil {
			return nil, err
		}
		p.days = append(p.days, day)
		p.fingerprints = append(p.fingerprints, fingerprint)
	}
	return p, file.Err()
}

// fingerprint returns a hash of everything that the results of a design depend on, except the seed. Stored results refer to the
// version of a design by it, so it is computed from the day with the names that were in use when results were first stored.
func fingerprint(day *scenario.Day, warmUpSeconds float64, module string) (string, error) {
	text, err := json.Marshal([]any{day.WithStoredIdempotency(), warmUpSeconds, module})
	if err != nil {
		return "", fmt.Errorf("experiment: fingerprint of day %s: %w", day.Name, err)
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(text)), nil
}

// readDay reads the day of the design and applies the design's changes to it. It returns an *UnknownZoneError if the lost zone
// cannot be removed.
func (d *Design) readDay() (*scenario.Day, error) {
	day, err := scenario.Read(d.Day)
	if err != nil {
		return nil, err
	}
	for i := range day.Loads {
		day.Loads[i].PerSecond *= d.LoadFactor
	}
	if d.Schedulers > 0 {
		day.Schedulers = d.Schedulers
	}
	if d.LostZone != "" {
		groups := len(day.Fleet)
		day.Fleet = slices.DeleteFunc(day.Fleet, func(g scenario.NodeGroup) bool { return g.Zone == d.LostZone })
		if len(day.Fleet) == groups || len(day.Fleet) == 0 {
			return nil, &UnknownZoneError{Zone: d.LostZone}
		}
	}
	return day, nil
}

// moduleFactory returns a constructor of the scheduler modules. It returns nil for the module of this repository, which is the
// default of the emulator.
func (d *Design) moduleFactory() func(cfg flaxshelf.Config, seed uint64) (scheduler.Module, error) {
	if d.Module == voteModule {
		return nil
	}
	return func(cfg flaxshelf.Config, seed uint64) (scheduler.Module, error) {
		return baseline.New(baseline.Strategy(d.Module), cfg, seed)
	}
}
