// Package machineindex keeps sets and columns of machines by machine number, so that a choice among machines reads one
// word for 64 of them instead of a record for each. It also keeps the placements that a scheduler has made on them.
//
// The package decides nothing. Its owner writes the sets and columns and determines from when a placement counts as assumed,
// how machines rank as hosts of a service and when a placement is dropped. The package stores that and answers queries.
// docs/scale.md compares its structures with plain scans.
//
// # Numbers
//
// An Index has one Entry for each machine, in the order of the machines' IDs; the position of an Entry is the number of its
// machine. After Insert or Remove, all numbers, and the sets, columns, rankings and counts by number, are void until Refresh,
// which numbers the machines again and invalidates each of them. Numbers must not be stored across Refresh.
//
// # Ownership and concurrency
//
// An Index, its entries, sets, columns and placements belong to one owner, a Placer. None of them is safe for concurrent
// use. Results that are documented as valid until the next call share the Index's memory.
//
// # Determinism
//
// Equal sequences of calls give equal results. Sums of cores and memory are added in a fixed order, so that they are equal
// to the last bit.
package machineindex
