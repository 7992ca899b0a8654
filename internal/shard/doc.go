// Package shard divides the work of one scheduler among several cores: it determines which core is responsible for a job, a
// key or an attempt, splits the reports of nodes, and merges the answers of the cores. It must not do I/O or choose machines.
//
// Each core is a scheduler.Core with its own module, which treats the other cores as further schedulers that share the
// machines. To clients and nodes, all cores are one scheduler, with one name, one connection to each node, and one namespace
// of IDs, keys and sessions.
package shard
