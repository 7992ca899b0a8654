// Package experiment compares designs over seeds: it emulates days, stores the results, and computes statistics and reports.
// It does not know how a cluster is emulated.
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

// placerModule as Design.Module means the module of this repository. Any other value is a baseline.
const voteModule = "vote"

// Design is a variant of a day, the record #Design of the schema.
type Design struct {
	Name       string  `json:"name"`
	Day        string  `json:"day"`        // name of an embedded day, or a file
	LostZone   string  `json:"lostZone"`   // zone whose nodes are removed from the fleet; empty means none
	Module     string  `json:"module"`     // what chooses machines: "vote", which is flaxshelf itself, or a strategy of baseline
	LoadFactor float64 `json:"load"`       // multiplies the rates of the day's loads
	Schedulers int     `json:"schedulers"` // replaces the day's number of schedulers; zero means no change
}

// Plan is an experiment, the record #Experiment of the schema. The designs are compared with the first one.
type Plan struct {
	Description   string   `json:"about"`
	SeedCount     int      `json:"seeds"` // number of seeds
	FirstSeed     int      `json:"first"`
	WarmUpSeconds float64  `json:"warmUpSeconds"` // time at the start of the day whose submissions are not measured
	Designs       []Design `json:"designs"`

	days         []*scenario.Day // of each design
	fingerprints []string        // of each design: stored runs with another fingerprint are of another version of the design
}

// UnknownZoneError is returned for a design without a zone that the fleet does not have, or without the only one.
type UnknownZoneError struct{ Zone string }

func (e *UnknownZoneError) Error() string {
	return fmt.Sprintf("zone %q: the fleet has no such zone, or no other", e.Zone)
}

// Parse reads an experiment from the text of a CUE file, and the days that it names. It returns settings.Problems if the
// experiment is not valid; name is the file's name in them.
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
		if p.WarmUpSeconds >= day.Seconds {
			file.AddErrorf("warmUpSeconds", "is %v, expected under the %v s of day %s", p.WarmUpSeconds, day.Seconds, d.Day)
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

// fingerprint returns a hash of everything that the results of a design depend on, except the seed. It identifies the design
// in stored results, so the names in the day are those of stored results.
func fingerprint(day *scenario.Day, warmUpSeconds float64, module string) (string, error) {
	text, err := json.Marshal([]any{day.WithStoredNames(), warmUpSeconds, module})
	if err != nil {
		return "", fmt.Errorf("experiment: fingerprint of day %s: %w", day.Name, err)
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(text)), nil
}

// scenario returns the day of the design. It returns an *UnknownZoneError if the lost zone can't be removed.
func (d *Design) readDay() (*scenario.Day, error) {
	day, err := scenario.Read(d.Day)
	if err != nil {
		return nil, err
	}
	for i := range day.Load {
		day.Load[i].PerSecond *= d.LoadFactor
	}
	if d.Schedulers > 0 {
		day.Schedulers = d.Schedulers
	}
	if d.LostZone != "" {
		groups := len(day.Fleet)
		day.Fleet = slices.DeleteFunc(day.Fleet, func(g scenario.Group) bool { return g.Zone == d.LostZone })
		if len(day.Fleet) == groups || len(day.Fleet) == 0 {
			return nil, &UnknownZoneError{Zone: d.LostZone}
		}
	}
	return day, nil
}

// moduleFactory returns the constructor of the schedulers' modules; nil means the module of this repository.
func (d *Design) moduleFactory() func(cfg flaxshelf.Config, seed uint64) (scheduler.Module, error) {
	if d.Module == voteModule {
		return nil
	}
	return func(cfg flaxshelf.Config, seed uint64) (scheduler.Module, error) {
		return baseline.New(baseline.Strategy(d.Module), cfg, seed)
	}
}
