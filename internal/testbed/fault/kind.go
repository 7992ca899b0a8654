package fault

import "fmt"

// Kind is what a fault does.
type Kind int

// The kinds of faults.
const (
	// FailStarts has the share Factor of a class's task starts fail at once.
	FailStarts Kind = iota + 1
	// DropReplies has nodes send no reply to the offers of a class.
	DropReplies
	// InflateUsage has tasks of a class use Factor times the resources that they request.
	InflateUsage
	// OccupyNodes has another program use the share Factor of each node.
	OccupyNodes
	// DropPrograms has nodes lose the share Factor of their cached programs, so that starts take longer.
	DropPrograms
	// LoseNodes stops nodes, and starts them again after the duration.
	LoseNodes
	// RestartNodes stops nodes and starts them again at once.
	RestartNodes
	// DrainNodes drains nodes, stops them after the duration and starts them again.
	DrainNodes
	// ShrinkFleet drains nodes and stops them after the duration for good.
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
	// HotService sends the share Factor of a class's load to one service.
	HotService
	// BreakLinks closes the connections to nodes.
	BreakLinks
	// BreakReplies closes the connections to nodes in the middle of a reply.
	BreakReplies
	// HalfOpenLinks loses the replies of nodes, then closes their connections.
	HalfOpenLinks
	// DelayLinks delays the connections to nodes by Factor seconds each way.
	DelayLinks
	// StallLinks has the connections to nodes transfer nothing.
	StallLinks
	// FailInventory has the inventory answer with errors.
	FailInventory
	// FreezeInventory has the inventory see no change.
	FreezeInventory
	// BreakInventoryLinks closes the connections of schedulers to the inventory.
	BreakInventoryLinks
	// BreakClientLinks closes the connections of clients to schedulers.
	BreakClientLinks
	// MisbehavingClients has Factor clients break the protocol with each scheduler, for the duration.
	MisbehavingClients
)

// kinds has the kinds by the names that scenarios give them.
var kinds = map[string]Kind{
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

// String is the kind's name in scenarios.
func (k Kind) String() string {
	for name, kind := range kinds {
		if kind == k {
			return name
		}
	}
	return fmt.Sprintf("Kind(%d)", int(k))
}

// ParseKind finds a kind by its name in scenarios. The error is an *UnknownKindError.
func ParseKind(name string) (Kind, error) {
	kind, ok := kinds[name]
	if !ok {
		return 0, &UnknownKindError{Name: name}
	}
	return kind, nil
}

// UnknownKindError is a name that no kind has.
type UnknownKindError struct{ Name string }

// Error gives the name.
func (e *UnknownKindError) Error() string { return fmt.Sprintf("there is no fault %q", e.Name) }

// UnsupportedError is a fault that a cluster cannot have.
type UnsupportedError struct{ Kind Kind }

// Error gives the kind.
func (e *UnsupportedError) Error() string {
	return fmt.Sprintf("%v is of connections or processes, which a simulated cluster does not have; "+
		"play it over sockets with a trial", e.Kind)
}
