// Package requests is the core of one scheduler on the users' platform: a deterministic state machine that turns messages
// of owners, nodes and the discovery service into events of the placement module, and the module's actions into messages.
//
// It owns the life of each request, from its submission to its single response, and of the task that runs from then on
// until its owner releases it. It also owns the health of links to nodes: when one is opened, replaced or closed, and when
// tasks behind it count as lost. Placement decisions belong to the module.
//
// The package does no I/O, reads no clock and starts no goroutine. It keeps no jobs: retrying after a loss, joining requests
// by key and queueing belong to the owner on the platform (package scheduler does them for DRMAA). See docs/platform.md.
package requests
