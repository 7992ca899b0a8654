// Package scenario defines scripted days as CUE records: a fleet, loads, and faults at given times; and what a seed draws
// from them. It does not run days: a trial runs them on sockets, the emulator on a simulated clock.
package scenario

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/settings"
)

// The JSON names of the records below must not change: experiments know their stored results by a hash of the day's JSON.
// Times that are numbers are seconds since the start of the day.

// Group is a number of identical nodes in one zone, the record #Group of the schema.
type NodeGroup struct {
	Name        string `json:"Name"` // prefix of the names of its nodes, which are numbered from 0
	MachineKind string `json:"Kind"`
	Zone        string `json:"Zone"`
	Count       int    `json:"Count"`
	Cell        int    `json:"Cell"`
	Warm        bool   `json:"Warm"` // the nodes need no slow start
}

// Load is an open-loop stream of submissions of one class, the record #Load of the schema.
type Load struct {
	Class     string  `json:"Class"`
	Tenant    string  `json:"Tenant"`
	PerSecond float64 `json:"PerSecond"` // mean rate of submissions
	From      float64 `json:"From"`
	To        float64 `json:"To"`
	// Cores and Memory are the requested resources of a task; zero means those of its class.
	Cores  float64 `json:"Cores"`
	Memory float64 `json:"Memory"`
	// Terminate and Hold are the fractions of jobs that their clients terminate, or hold and release, soon after submission.
	TerminateFraction float64              `json:"Terminate"`
	HoldFraction      float64              `json:"Hold"`
	Services          int                  `json:"Services"` // number of services that the submissions are spread over
	RuntimeBounds     [2]settings.Duration `json:"Life"`     // bounds of the runtime, drawn evenly
	Rerunnable        bool                 `json:"Rerunnable"`
	// Retry is the pause before a client resubmits a job that was rejected or failed; the client stops retrying after
	// Patience. Zero means no retry. Only the emulator's clients retry.
	RetryDelay   settings.Duration `json:"Retry"`
	RetryTimeout settings.Duration `json:"Patience"`
}

// Fault is a fault at a given time, the record #Trouble of the schema.
type Fault struct {
	At         float64 `json:"At"`
	Duration   float64 `json:"For"`        // duration in seconds
	Kind       string  `json:"Do"`         // kind of fault, one of the names of the schema
	Zone       string  `json:"Zone"`       // zone of the nodes that it affects; empty: all
	Class      string  `json:"Class"`      // class that it affects, depending on Do
	Fraction   float64 `json:"Share"`      // fraction of the zone's nodes that it affects
	Factor     float64 `json:"Factor"`     // its strength, depending on Do
	Schedulers []int   `json:"Schedulers"` // indexes of the schedulers that it affects
}

// Day is a scripted day, the record #Trial of the schema.
type Day struct {
	Name         string             `json:"-"` // name of the shipped day, or of the file without its extension
	Description  string             `json:"About"`
	LoadSeconds  float64            `json:"Seconds"` // length of the load
	WaitSeconds  float64            `json:"After"`   // seconds of waiting, after the last submission, for open tasks
	Schedulers   int                `json:"Schedulers"`
	Shards       int                `json:"Cores"` // shards of each scheduler
	MachineKinds []settings.Kind    `json:"Kinds"`
	Classes      []settings.Class   `json:"Classes"`
	Tenants      []settings.Tenant  `json:"Tenants"`
	Rules        settings.Rules     `json:"Rules"`
	Limits       settings.Limits    `json:"Limits"`
	Behaviour    settings.Behaviour `json:"Behaviour"`
	CPU          CPU                `json:"cpu"`
	// DiscoveryDelay and RemovalDelay are those of the inventory.
	DiscoveryDelay settings.Duration `json:"Late"`
	RemovalDelay   settings.Duration `json:"GoneAfter"`
	ListsFree      bool              `json:"ListsFree"`      // the inventory lists free resources
	RunsWhenPlaced bool              `json:"RunsWhenPlaced"` // a task counts as placed when it runs, not when a node accepts it
	Fleet          []NodeGroup       `json:"Fleet"`
	Loads          []Load            `json:"Load"`
	Faults         []Fault           `json:"Troubles"`
}

// CPU is what a step of a scheduler's core costs in the emulator.
type CPU struct {
	Step  settings.Duration `json:"Step"`  // of each step
	Input settings.Duration `json:"Input"` // of each input of a step
}

// StepTime returns the time that a step with the given number of inputs takes.
func (c *CPU) StepTime(inputs int) time.Duration {
	return c.Step.Duration() + time.Duration(inputs)*c.Input.Duration()
}

// Class returns the class with the given name, or nil if the day has none.
func (d *Day) Class(name string) *settings.Class {
	for i := range d.Classes {
		if d.Classes[i].Name == name {
			return &d.Classes[i]
		}
	}
	return nil
}

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
