package fault

import "fmt"

// Kind determines the effect of a fault.
type Kind int

// The kinds of faults.
const (
	// FailStarts makes the fraction Factor of the task starts of a class fail immediately.
	FailStarts Kind = iota + 1
	// DropReplies makes nodes send no reply to the offers of a class.
	DropReplies
	// InflateUsage makes the tasks of a class use Factor times their requested resources.
	InflateUsage
	// OccupyNodes makes the fraction Factor of each node's resources occupied by another program.
	OccupyNodes
	// DropPrograms removes the fraction Factor of the cached programs of nodes, so that task starts take longer.
	DropPrograms
	// LoseNodes stops nodes without a drain and starts them again after the duration.
	LoseNodes
	// RestartNodes stops nodes and immediately starts them again.
	RestartNodes
	// DrainNodes drains nodes, stops them after the duration and starts them again.
	DrainNodes
	// ShrinkFleet drains nodes and stops them after the duration; they are not started again.
	ShrinkFleet
	// DeployNodes drains and restarts nodes in groups of Factor nodes. All groups together take the duration.
	DeployNodes
	// PauseSchedulers suspends the processes of schedulers for the duration.
	PauseSchedulers
	// KillSchedulers kills schedulers and starts them again after the duration.
	KillSchedulers
	// TerminateSchedulers shuts schedulers down gracefully and starts them again after the duration.
	TerminateSchedulers
	// LoadBurst multiplies the load of a class by Factor.
	LoadBurst
	// HotService sends the fraction Factor of a class's load to a single service.
	HotService
	// BreakLinks closes the connections to nodes.
	BreakLinks
	// BreakReplies closes the connections to nodes in the middle of a reply.
	BreakReplies
	// HalfOpenLinks drops the replies of nodes for the duration, then closes their connections.
	HalfOpenLinks
	// DelayLinks delays the connections to nodes by Factor seconds in each direction.
	DelayLinks
	// StallLinks stops the transfer on the connections to nodes for the duration. No bytes are lost.
	StallLinks
	// FailInventory makes the inventory respond with errors for the duration.
	FailInventory
	// FreezeInventory makes the inventory return stale data for the duration.
	FreezeInventory
	// BreakInventoryLinks closes the connections of schedulers to the inventory.
	BreakInventoryLinks
	// BreakClientLinks closes the connections of clients to schedulers.
	BreakClientLinks
	// MisbehavingClients runs Factor clients that violate the protocol against each scheduler, for the duration.
	MisbehavingClients
)

// kindsByName are the kinds by their names in scripted days.
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

// String returns the name of the kind in scripted days.
func (k Kind) String() string {
	for name, kind := range kindsByName {
		if kind == k {
			return name
		}
	}
	return fmt.Sprintf("Kind(%d)", int(k))
}

// ParseKind returns the kind with the given name in scripted days. The error is an *UnknownKindError.
func ParseKind(name string) (Kind, error) {
	kind, ok := kindsByName[name]
	if !ok {
		return 0, &UnknownKindError{Name: name}
	}
	return kind, nil
}

// UnknownKindError is returned for a name that no kind of fault has.
type UnknownKindError struct{ Name string }

// Error returns a message with the unknown name.
func (e *UnknownKindError) Error() string { return fmt.Sprintf("unknown kind of fault %q", e.Name) }

// UnsupportedError is returned for a fault that needs a Network if the cluster does not implement it.
type UnsupportedError struct{ Kind Kind }

// Error returns a message with the unsupported kind.
func (e *UnsupportedError) Error() string {
	return fmt.Sprintf("fault %v needs real connections, which a simulated cluster does not have; "+
		"run the scenario as a trial", e.Kind)
}
