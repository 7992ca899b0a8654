package platformsim

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Day describes a simulated day completely, so that it can be stored and played again.
type Day struct {
	Seed    uint64        `json:"seed"` // of all random numbers
	Length  time.Duration `json:"length_ns"`
	Nodes   int           `json:"nodes"`
	Rate    float64       `json:"rate_per_s"` // requests of owners
	Keyed   float64       `json:"keyed"`      // fraction of the requests that are idempotent by key
	Unsafe  float64       `json:"unsafe"`     // fraction of the requests that are not idempotent
	GiveUps float64       `json:"give_ups"`   // fraction of the requests that their owner takes back soon
	Standby int           `json:"standby"`    // tasks that run before the scheduler starts, and are handed over to it
	Faults  []Fault       `json:"faults"`
}

// Fault is one fault of a day.
type Fault struct {
	Kind  FaultKind     `json:"kind"`
	At    time.Duration `json:"at_ns"`    // since the start of the day
	For   time.Duration `json:"for_ns"`   // how long it lasts; 0 if it is a single event
	Node  int           `json:"node"`     // index of the node concerned, or of a node of the room concerned
	Count int           `json:"count"`    // how often it occurs, or how many clients it has
	Phase Phase         `json:"on_phase"` // if not empty, the fault waits until an attempt at the node is in this phase
}

// LimitError reports a value of a day that the platform does not allow.
type LimitError struct {
	Fault  int    // index in Day.Faults, or -1 if the day itself is concerned
	Field  string // JSON name of the field
	Value  any
	Reason string // what is allowed, and the page that says so
}

// Error implements error.
func (e *LimitError) Error() string {
	where := "day"
	if e.Fault >= 0 {
		where = fmt.Sprintf("fault %d", e.Fault)
	}
	return fmt.Sprintf("platformsim: %s: %s is %v: %s", where, e.Field, e.Value, e.Reason)
}

// Limits of a day.
const (
	minNodes  = 3
	maxNodes  = 1000
	maxLength = time.Hour
	maxRate   = 1000
)

// ParseDay decodes a stored day. The error is a *LimitError if a value is out of range.
func ParseDay(text []byte) (*Day, error) {
	day := &Day{}
	if err := json.Unmarshal(text, day); err != nil {
		return nil, fmt.Errorf("platformsim: day is no valid JSON: %w", err)
	}
	return day, day.Validate()
}

// Validate returns a *LimitError if the day has a value that the platform does not allow.
func (d *Day) Validate() error {
	for _, check := range []struct {
		field  string
		value  any
		valid  bool
		reason string
	}{
		{"nodes", d.Nodes, d.Nodes >= minNodes && d.Nodes <= maxNodes, "must be 3 to 1000"},
		{"length_ns", d.Length, d.Length > 0 && d.Length <= maxLength, "must be up to an hour"},
		{"rate_per_s", d.Rate, d.Rate >= 0 && d.Rate <= maxRate, "must be 0 to 1000"},
		{"keyed", d.Keyed, d.Keyed >= 0 && d.Keyed+d.Unsafe <= 1, "fractions must be 0 to 1 together"},
		{"unsafe", d.Unsafe, d.Unsafe >= 0, "must not be below 0"},
		{"give_ups", d.GiveUps, d.GiveUps >= 0 && d.GiveUps <= 1, "must be 0 to 1"},
		{"standby", d.Standby, d.Standby >= 0 && d.Standby <= maxStandby, "must be 0 to 500"},
	} {
		if !check.valid {
			return &LimitError{Fault: -1, Field: check.field, Value: check.value, Reason: check.reason}
		}
	}
	for i := range d.Faults {
		if err := d.Faults[i].validate(i, d); err != nil {
			return err
		}
	}
	return nil
}

// maxStandby is the maximum number of tasks that are handed over at the start.
const maxStandby = 500

func (f *Fault) validate(index int, d *Day) error {
	entry, known := Catalogue[f.Kind]
	switch {
	case !known:
		return &LimitError{index, "kind", f.Kind, "must be a kind of the catalogue"}
	case f.At < 0 || f.At > d.Length:
		return &LimitError{index, "at_ns", f.At, "must be within the day"}
	case f.For < 0 || f.For > entry.MaxLength:
		return &LimitError{index, "for_ns", f.For, fmt.Sprintf("at most %v: %s", entry.MaxLength, entry.Source)}
	case f.Count < 0 || f.Count > entry.MaxCount:
		return &LimitError{index, "count", f.Count, fmt.Sprintf("at most %d: %s", entry.MaxCount, entry.Source)}
	case f.Node < 0 || f.Node >= d.Nodes:
		return &LimitError{index, "node", f.Node, "must be the index of a node"}
	case f.Phase != "" && !slices.Contains(Phases, f.Phase):
		return &LimitError{index, "on_phase", f.Phase, "must be a phase"}
	}
	return nil
}
