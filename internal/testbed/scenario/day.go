// Package scenario reads scripted days from CUE files. A scripted day consists of a fleet of nodes, loads, and faults at given
// times. The package also generates the random parts of a day from a seed: its submissions and the nodes that a fault affects.
// It does not run days: a trial runs them on sockets, the emulator on a simulated clock.
package scenario

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/settings"
)

// The JSON names and the order of the fields below must not change: experiments identify their stored results by a hash of the
// day's JSON. Fields that are times of type float64 are in seconds since the start of the day.

// NodeGroup is a number of identical nodes in one zone, as defined by #Group in the schema.
type NodeGroup struct {
	Name        string `json:"Name"` // prefix of the names of its nodes, followed by a number from 0
	MachineKind string `json:"Kind"`
	Zone        string `json:"Zone"`
	Count       int    `json:"Count"`
	Cell        int    `json:"Cell"`
	Warm        bool   `json:"Warm"` // whether the nodes start without a slow start
}

// Load is an open-loop stream of submissions of one class, as defined by #Load in the schema.
type Load struct {
	Class     string  `json:"Class"`
	Tenant    string  `json:"Tenant"`
	PerSecond float64 `json:"PerSecond"` // mean rate of submissions
	From      float64 `json:"From"`
	To        float64 `json:"To"`
	// Cores and Memory are the requested resources of a task. Zero means those of its class.
	Cores  float64 `json:"Cores"`
	Memory float64 `json:"Memory"`
	// TerminateFraction and HoldFraction are the fractions of jobs that clients terminate, or hold and release, soon after the
	// submission.
	TerminateFraction float64              `json:"Terminate"`
	HoldFraction      float64              `json:"Hold"`
	Services          int                  `json:"Services"` // number of services that the submissions are distributed over
	RuntimeBounds     [2]settings.Duration `json:"Life"`     // minimum and maximum runtime; uniformly distributed
	Rerunnable        bool                 `json:"Rerunnable"`
	// RetryDelay is the mean time before a client resubmits a job that was rejected or failed. The client stops retrying when
	// RetryTimeout has passed since the first submission. Zero means no retries. Only the emulator's clients retry.
	RetryDelay   settings.Duration `json:"Retry"`
	RetryTimeout settings.Duration `json:"Patience"`
}

// Fault is a fault at a given time, as defined by #Trouble in the schema.
type Fault struct {
	At         float64 `json:"At"`
	Duration   float64 `json:"For"`        // in seconds
	Kind       string  `json:"Do"`         // kind of the fault, one of those in the schema
	Zone       string  `json:"Zone"`       // zone of the affected nodes; empty means all zones
	Class      string  `json:"Class"`      // affected class; its meaning depends on Kind
	Fraction   float64 `json:"Share"`      // fraction of the zone's nodes that are affected
	Factor     float64 `json:"Factor"`     // strength of the fault; its unit depends on Kind
	Schedulers []int   `json:"Schedulers"` // indices of the affected schedulers
}

// Day is a scripted day, as defined by #Trial in the schema.
type Day struct {
	Name         string             `json:"-"` // name of the embedded day, or of the file without its extension
	Description  string             `json:"About"`
	LoadSeconds  float64            `json:"Seconds"` // length of the loads
	WaitSeconds  float64            `json:"After"`   // time after the loads to wait for unfinished tasks
	Schedulers   int                `json:"Schedulers"`
	Shards       int                `json:"Cores"` // core shards of each scheduler
	MachineKinds []settings.Kind    `json:"Kinds"`
	Classes      []settings.Class   `json:"Classes"`
	Tenants      []settings.Tenant  `json:"Tenants"`
	Rules        settings.Rules     `json:"Rules"`
	Limits       settings.Limits    `json:"Limits"`
	Behaviour    settings.Behaviour `json:"Behaviour"`
	CPU          CPU                `json:"cpu"`
	// DiscoveryDelay is the time until the inventory publishes a change. RemovalDelay is the time until it removes a node whose
	// connection was lost.
	DiscoveryDelay settings.Duration `json:"Late"`
	RemovalDelay   settings.Duration `json:"GoneAfter"`
	ListsFree      bool              `json:"ListsFree"`      // the inventory lists the free resources of nodes
	RunsWhenPlaced bool              `json:"RunsWhenPlaced"` // a task counts as placed when it runs, not when a node accepts it
	Fleet          []NodeGroup       `json:"Fleet"`
	Loads          []Load            `json:"Load"`
	Faults         []Fault           `json:"Troubles"`
}

// CPU is the simulated processing time of a step of a scheduler's core in the emulator.
type CPU struct {
	Step  settings.Duration `json:"Step"`  // for each step
	Input settings.Duration `json:"Input"` // in addition, for each input of a step
}

// StepTime returns the processing time of a step with the given number of inputs.
func (c *CPU) StepTime(inputs int) time.Duration {
	return c.Step.Duration() + time.Duration(inputs)*c.Input.Duration()
}

// Class returns the class with the given name, or nil if there is none.
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
