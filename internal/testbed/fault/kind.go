package fault

import "fmt"

// Kind is the kind of a fault: what it does.
type Kind int

// The kinds of faults.
const (
	// FailStarts makes the fraction Factor of a class's task starts fail at once.
	FailStarts Kind = iota + 1
	// DropReplies makes nodes send no reply to the offers of a class.
	DropReplies
	// InflateUsage makes the tasks of a class use Factor times the resources that they request.
	InflateUsage
	// OccupyNodes makes another program use the fraction Factor of each node.
	OccupyNodes
	// DropPrograms removes the fraction Factor of the cached programs of nodes, so that starts take longer.
	DropPrograms
	// LoseNodes stops nodes, and starts them again after the duration.
	LoseNodes
	// RestartNodes stops nodes and starts them again at once.
	RestartNodes
	// DrainNodes drains nodes, stops them after the duration and starts them again.
	DrainNodes
	// ShrinkFleet drains nodes and stops them after the duration; they are not started again.
	ShrinkFleet
	// DeployNodes drains and restarts nodes, Factor at a time, all within the duration.
	DeployNodes
	// PauseSchedulers suspends the processes of schedulers for the duration.
	PauseSchedulers
	// KillSchedulers kills schedulers, and starts them again after the duration.
	KillSchedulers
	// TerminateSchedulers shuts schedulers down gracefully, and starts them again after the duration.
	TerminateSchedulers
	// LoadBurst multiplies a class's load by Factor.
	LoadBurst
	// HotService sends the fraction Factor of a class's load to one service.
	HotService
	// BreakLinks closes the connections to nodes.
	BreakLinks
	// BreakReplies closes the connections to nodes in the middle of a reply.
	BreakReplies
	// HalfOpenLinks loses the replies of nodes, then closes their connections.
	HalfOpenLinks
	// DelayLinks delays the connections to nodes by Factor seconds in each direction.
	DelayLinks
	// StallLinks stops all transfer on the connections to nodes; no bytes are lost.
	StallLinks
	// FailInventory makes the inventory respond with errors.
	FailInventory
	// FreezeInventory makes the inventory list stale data.
	FreezeInventory
	// BreakInventoryLinks closes the connections of schedulers to the inventory.
	BreakInventoryLinks
	// BreakClientLinks closes the connections of clients to schedulers.
	BreakClientLinks
	// MisbehavingClients runs Factor clients that break the protocol with each scheduler, for the duration.
	MisbehavingClients
)

// kinds are the kinds by their names in scenarios.
var kindsByName = map[string]Kind{
	"fail-starts":     FailStarts,
	"silent":          DropReplies,
	"swell":           InflateUsage,
	"crowd":           OccupyNodes,
	"drop-programs":   DropPrograms,
	"lose":            LoseNodes,
	"restart":         RestartNodes,
	"drain":           DrainNodes,
	"shrink":          ShrinkFleet,
	"deploy":          DeployNodes,
	"stop-scheduler":  PauseSchedulers,
	"kill-scheduler":  KillSchedulers,
	"term-scheduler":  TerminateSchedulers,
	"burst":           LoadBurst,
	"hot-service":     HotService,
	"cut":             BreakLinks,
	"cut-reply":       BreakReplies,
	"half-open":       HalfOpenLinks,
	"delay":           DelayLinks,
	"stall":           StallLinks,
	"inventory-fails": FailInventory,
	"inventory-stale": FreezeInventory,
	"inventory-cut":   BreakInventoryLinks,
	"client-cut":      BreakClientLinks,
	"rude-clients":    MisbehavingClients,
}

// String returns the name of the kind in scenarios.
func (k Kind) String() string {
	for name, kind := range kindsByName {
		if kind == k {
			return name
		}
	}
	return fmt.Sprintf("Kind(%d)", int(k))
}

// ParseKind returns the kind with the given name in scenarios. The error is an *UnknownKindError.
func ParseKind(name string) (Kind, error) {
	kind, ok := kindsByName[name]
	if !ok {
		return 0, &UnknownKindError{Name: name}
	}
	return kind, nil
}

// UnknownKindError reports a name that no kind has.
type UnknownKindError struct{ Name string }

// Error returns a message with the name.
func (e *UnknownKindError) Error() string { return fmt.Sprintf("unknown kind of fault %q", e.Name) }

// UnsupportedError reports a fault that a cluster does not support.
type UnsupportedError struct{ Kind Kind }

// Error returns a message with the kind.
func (e *UnsupportedError) Error() string {
	return fmt.Sprintf("fault %v needs real connections, which a simulated cluster does not have; "+
		"run the scenario as a trial", e.Kind)
}
