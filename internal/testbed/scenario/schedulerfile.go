package scenario

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"flaxshelf.example/flaxshelf/internal/settings"
)

// schedulerFile is the configuration file of a scheduler, the record #Scheduler of the settings' schema.
type schedulerFile struct {
	Name           string            `json:"name"`
	Listen         string            `json:"listen"`
	Inventory      string            `json:"inventory"`
	Index          int               `json:"index"`
	Schedulers     int               `json:"schedulers"`
	Cores          int               `json:"cores"`
	Zone           string            `json:"zone"`
	Seed           uint64            `json:"seed"`
	ListsFree      bool              `json:"listsFree"`
	RunsWhenPlaced bool              `json:"runsWhenPlaced"`
	Classes        []settings.Class  `json:"classes"`
	Kinds          []settings.Kind   `json:"kinds"`
	Tenants        []settings.Tenant `json:"tenants,omitempty"`
	Rules          settings.Rules    `json:"rules"`
	Limits         settings.Limits   `json:"limits"`
	Log            string            `json:"log"`
	Recording      string            `json:"moduleRecording"`
}

// SchedulerFile returns the configuration file of scheduler i as JSON, which is valid CUE. inventory is the address of the
// inventory; recording is the file to which the scheduler records the steps of its module, or empty for none.
func (d *Day) SchedulerFile(scheduler int, inventory, recording string, seed uint64) ([]byte, error) {
	fail := func(err error) ([]byte, error) {
		return nil, fmt.Errorf("scenario: configuration of scheduler %s: %w", SchedulerName(scheduler), err)
	}
	text, err := json.Marshal(schedulerFile{
		Name:           SchedulerName(scheduler),
		Listen:         "127.0.0.1:0",
		Inventory:      inventory,
		Index:          scheduler,
		Schedulers:     d.Schedulers,
		Cores:          max(d.Shards, 1),
		Zone:           d.SchedulerZone(scheduler),
		Seed:           seed,
		ListsFree:      d.ListsFree,
		RunsWhenPlaced: d.RunsWhenPlaced,
		Classes:        withCurrentIdempotency(d.Classes),
		Kinds:          d.MachineKinds,
		Tenants:        d.Tenants,
		Rules:          d.Rules,
		Limits:         d.Limits,
		Log:            "info",
		Recording:      recording,
	})
	if err != nil {
		return fail(err)
	}
	var fields any
	if err := json.Unmarshal(text, &fields); err != nil {
		return fail(err)
	}
	return json.MarshalIndent(lowerFieldNames(fields), "", "  ")
}

// withoutDeprecated returns the classes with the current values of deprecated settings, which a day may have.
func withCurrentIdempotency(classes []settings.Class) []settings.Class {
	classes = slices.Clone(classes)
	for i := range classes {
		classes[i].Idempotency = settings.CurrentIdempotency(classes[i].Idempotency)
	}
	return classes
}

// lowerFieldNames makes the first letter of every field name lower case: the JSON names of the settings' records begin with a
// capital letter, those of the schema do not.
func lowerFieldNames(value any) any {
	switch value := value.(type) {
	case map[string]any:
		lowered := make(map[string]any, len(value))
		for name, v := range value {
			lowered[strings.ToLower(name[:1])+name[1:]] = lowerFieldNames(v)
		}
		return lowered
	case []any:
		for i := range value {
			value[i] = lowerFieldNames(value[i])
		}
	}
	return value
}

// SchedulerName returns the name of scheduler i.
func SchedulerName(scheduler int) string { return fmt.Sprintf("s%d", scheduler) }
