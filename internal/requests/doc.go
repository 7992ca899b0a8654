// Package requests is the core of one scheduler on the users' platform: a deterministic state machine that turns messages
// of owners, nodes and the discovery service into events of the placement module, and the module's actions into messages.
//
// It manages the lifecycle of each request, from its submission to its single response, and of the task that runs from then
// on until its owner releases it. It also manages the links to nodes: when one is opened, replaced or closed, and when the
// tasks of a node count as lost. The module makes the placement decisions.
//
// The package does no I/O, reads no clock and starts no goroutine. It does not manage jobs: on the platform, owners retry
// after a loss, deduplicate requests by key and queue them (package scheduler does so for DRMAA). See docs/platform.md.
package requests
