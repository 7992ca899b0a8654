package scenario

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"flaxshelf.example/flaxshelf/internal/settings"
)

// schedulerFile is the configuration file of a scheduler, as defined by #Scheduler in the schema of package settings.
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

// SchedulerFile returns the configuration file of the scheduler with the given index as JSON, which is valid CUE. inventory is
// the address of the inventory. recording is the path of the file to which the scheduler records the steps of its placement
// module; if it is empty, the scheduler records none.
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

// withCurrentIdempotency returns a copy of the classes in which deprecated names of the idempotency, which a day may have, are
// replaced by the current ones.
func withCurrentIdempotency(classes []settings.Class) []settings.Class {
	classes = slices.Clone(classes)
	for i := range classes {
		classes[i].Idempotency = settings.CurrentIdempotency(classes[i].Idempotency)
	}
	return classes
}

// lowerFieldNames changes the first letter of every field name in decoded JSON to lower case. The JSON names of the types in
// package settings begin with a capital letter, whereas the names in the schema do not.
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

// SchedulerName returns the name of the scheduler with the given index.
func SchedulerName(scheduler int) string { return fmt.Sprintf("s%d", scheduler) }
