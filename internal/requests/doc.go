// Package requests implements one scheduler of the platform, which docs/platform.md describes, as a deterministic state
// machine. It turns messages of owners, nodes and the discovery service into events for a flaxshelf.Placer, and the placer's
// actions into messages and connection changes.
//
// It manages the lifecycle of each request, from its submission to its single response, and of the task that runs from then
// on until its owner releases it. It also manages the links to nodes: when one is opened, replaced or closed, and when the
// tasks of a node count as lost. The placer decides which node a task is offered to, and which running tasks migrate.
//
// The package does no I/O, reads no clock and starts no goroutine. It does not manage jobs: on the platform, owners retry
// after a loss, deduplicate requests by key and queue them. For DRMAA clients, package scheduler does so.
package requests
