// Package shard owns how the work of one scheduler is divided among several cores: which core has a job, a key or an
// attempt, which part of a node's report concerns each core, and how the answers of all cores become one. It must not
// do I/O, and it chooses no machine.
//
// Each core is a scheduler.Core with a module of its own, for which the cores are schedulers that share the machines.
// To clients and nodes they are one scheduler: one name, one connection to each node, one space of IDs, keys and
// sessions.
package shard
