// Package corelimits derives what a scheduler on the platform may hold from the limits in its configuration: connections,
// requests, and tasks that no node has confirmed. It does no I/O. Package platform uses it, and so do simulations of the
// platform.
package corelimits

import (
	"time"

	"flaxshelf.example/flaxshelf/internal/admission"
	"flaxshelf.example/flaxshelf/internal/front/platformfront"
	"flaxshelf.example/flaxshelf/internal/requests"
)

const (
	// OwnerIdleTimeout is how long an owner's connection may stay unused after it was opened, and how long a message on it may
	// stay incomplete. The protocol expects that the connection of a misbehaving client is closed within 3 s.
	OwnerIdleTimeout = 2300 * time.Millisecond
	// recentUseGrace is how long after its last use a connection is exempt from eviction. An owner whose message crosses the
	// close of its connection resends it only once, within 50 ms.
	recentUseGrace = 200 * time.Millisecond
	// maxPendingRequests is the maximum number of requests without a response, on all connections together.
	maxPendingRequests = 2048
	// maxPendingPerConnection is the maximum number of requests without a response on one connection.
	maxPendingPerConnection = maxPendingRequests / 8
	// maxUnconfirmedPerMB is how many adopted tasks that no node has confirmed are kept for each megabyte of the memory limit.
	// They take up to an eighth of it.
	maxUnconfirmedPerMB = 32
	// maxProtocolErrors is how many invalid messages are tolerated on a connection since its last use. One more closes it.
	maxProtocolErrors = 3
)

// CoreConfig returns the configuration of the core of a scheduler.
func CoreConfig(config *platformfront.Config) requests.Config {
	budget := DivideDescriptors(config.Limits.Sockets)
	return requests.Config{
		Placer:                  config.Placer,
		Seed:                    config.Seed,
		NodeUnreachableTimeout:  requests.DefaultNodeUnreachableTimeout,
		NodeIdleTimeout:         config.NodeIdleTimeout,
		MaxPending:              maxPendingRequests,
		MaxPendingBytes:         DivideMemory(config.Limits.MemoryMB).PendingRequests,
		MaxLinks:                budget.NodeLinks,
		MaxUnconfirmedAdoptions: maxUnconfirmedPerMB * config.Limits.MemoryMB,
		Admission: admission.Limits{
			MaxConnections:          budget.RetainedOwnerConnections,
			IdleTimeout:             OwnerIdleTimeout,
			RecentUseGrace:          recentUseGrace,
			MaxProtocolErrors:       maxProtocolErrors,
			MaxPendingPerConnection: maxPendingPerConnection,
		},
	}
}
