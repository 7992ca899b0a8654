// Package scheduler manages the life cycle of every job that one scheduler has accepted: queued, offered, accepted,
// running, ended, requeued. It must not do I/O, start goroutines, read a clock or choose a machine.
//
// Core is a deterministic state machine, like the core of a Raft library. The program that embeds it, its host, does the
// following in this order, from a single goroutine:
//
//  1. Collect what arrived since the last step as Inputs: submissions, commands, messages from nodes, endpoint lists.
//  2. Call Step with the time and the inputs. Equal configurations, times and inputs give equal outputs.
//  3. Execute Output.Effects in order: messages to nodes and to discovery, answers and changes to clients.
//     An offer that can't be sent is reported as an input (SendFailed).
//  4. Call Step again at Output.NextStep, or earlier if there are inputs. A host must not delay a step: if the interval
//     since the last step reaches Limits.StallThreshold, the core assumes that the process was stalled. It then places
//     nothing until it has received all messages sent meanwhile, which may announce drains, or until a timeout.
//
// A Module, which the core steps, chooses the machine of every placement. The core executes the module's offers, enforces
// their timeouts, and reports to the module how each attempt ended.
//
// Terms: a node is the process that runs jobs on a machine. A job has at most one open placement request at a time, which
// the module knows as a task. A placement request has any number of attempts, each an offer to one node, and exactly one
// PlacementOutcome. An incarnation is one process of a scheduler of a given name, from its start to its end.
package scheduler
