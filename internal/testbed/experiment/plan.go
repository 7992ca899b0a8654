// Package experiment compares designs over seeds: it runs emulated days, stores what came of each, and computes statistics and
// reports. It does not know how a cluster is emulated.
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

// placerModule as Design.Module stands for the module itself; any other is a baseline.
const placerModule = "vote"

// Design is one way to run a day, the record #Design of the schema.
type Design struct {
	Name       string  `json:"name"`
	Day        string  `json:"day"`        // name of a day that ships with the program, or a file
	LostZone   string  `json:"lose"`       // zone whose nodes the fleet does not have; empty: none
	Module     string  `json:"module"`     // what chooses machines: "vote" or a strategy of baseline
	Load       float64 `json:"load"`       // multiplies the rates of the day's loads
	Schedulers int     `json:"schedulers"` // replaces the day's number of schedulers; 0: as the day has it
}

// Plan is an experiment, the record #Experiment of the schema. The designs are compared with the first of them.
type Plan struct {
	About         string   `json:"about"`
	Seeds         int      `json:"seeds"` // number of seeds
	FirstSeed     int      `json:"first"`
	WarmUpSeconds float64  `json:"warm"` // submissions of this time at the start of the day are not measured
	Designs       []Design `json:"designs"`

	days         []*scenario.Day // of each design
	fingerprints []string        // of each design: stored runs with another one are of another design
}

// UnknownZoneError says that a design loses a zone that the fleet does not have, or the only one.
type UnknownZoneError struct{ Zone string }

func (e *UnknownZoneError) Error() string {
	return fmt.Sprintf("zone %q: the fleet has no such zone, or no other", e.Zone)
}

// Parse reads an experiment from the text of a CUE file, and the days that it names. It returns settings.Problems if the
// experiment is not valid; name is the file's name in them.
func Parse(name string, text []byte) (*Plan, error) {
	file, err := settings.Read(name, text, "#Experiment", schema)
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
			file.Fail(fmt.Sprintf("designs[%d].name", i), "%q names two designs", d.Name)
		}
		seen[d.Name] = true
		day, err := d.scenario()
		if err != nil {
			file.Fail(fmt.Sprintf("designs[%d].day", i), "%v", err)
			continue
		}
		if p.WarmUpSeconds >= day.Seconds {
			file.Fail("warm", "is %v, expected under the %v s of day %s", p.WarmUpSeconds, day.Seconds, d.Day)
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

// fingerprint hashes all that the results of a design depend on, save for the seed. Stored results are known by it.
func fingerprint(day *scenario.Day, warmUpSeconds float64, module string) (string, error) {
	text, err := json.Marshal([]any{day, warmUpSeconds, module})
	if err != nil {
		return "", fmt.Errorf("experiment: fingerprint of day %s: %w", day.Name, err)
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(text)), nil
}

// scenario returns the day with the design's changes.
func (d *Design) scenario() (*scenario.Day, error) {
	day, err := scenario.Read(d.Day)
	if err != nil {
		return nil, err
	}
	for i := range day.Load {
		day.Load[i].PerSecond *= d.Load
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

// moduleFactory returns what makes the schedulers' modules; nil stands for the module itself.
func (d *Design) moduleFactory() func(cfg flaxshelf.Config, seed uint64) (scheduler.Module, error) {
	if d.Module == placerModule {
		return nil
	}
	return func(cfg flaxshelf.Config, seed uint64) (scheduler.Module, error) {
		return baseline.New(baseline.Strategy(d.Module), cfg, seed)
	}
}
