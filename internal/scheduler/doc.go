// Package scheduler owns the life cycle of every job that one scheduler has accepted: queued, offered, accepted,
// running, ended, requeued. It must not do I/O, start goroutines, read a clock or choose a machine.
//
// Core is a deterministic state machine, stepped like the ready loop of a Raft library. Its host does the following, in
// this order, from a single goroutine:
//
//  1. Collect what arrived since the last step as Inputs: submissions, commands, messages of nodes, endpoint lists.
//  2. Call Step with the time and the inputs. Equal configurations, times and inputs give equal outputs.
//  3. Execute Output.Effects in order: messages to nodes and to discovery, answers and changes to clients.
//     An offer that can't be sent is reported as an input (SendFailed).
//  4. Call Step again at Output.NextStep, or earlier if there are inputs. A host must not delay a step: a Core
//     whose step is later than Limits.StallThreshold assumes that the process was stalled, and places nothing until
//     discovery has answered a SyncDiscovery, since drains may have been announced meanwhile.
//
// Every placement is chosen by a Module, which the core steps. The core executes the module's offers, enforces their
// timeouts, and reports to the module how each attempt ended.
//
// Terms: a job has one placement request at a time, which the module knows as a task. A placement request has one or
// more attempts, each an offer to one node, and exactly one Outcome. An incarnation is one process of a scheduler of
// a given name, from its start to its end.
package scheduler
