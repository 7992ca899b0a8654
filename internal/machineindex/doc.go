// Package machineindex indexes the machines of a scheduler by number. It has bit sets of machines and columns of values by
// machine, so that a choice of a machine reads one word for 64 machines instead of one record for each. It also has the
// history of the placements that the scheduler made on them.
//
// The package makes no decisions. Its caller sets the contents of sets and columns, and determines how machines rank as
// hosts of a service, which placements are assumed to use capacity, and when placements are removed from the history.
// docs/scale.md compares the data structures with plain scans.
//
// # Machine numbers
//
// An Index has one Entry for each machine. The number of a machine is the position of its Entry in the order of machine IDs.
// After Insert or Remove, the numbers, and all sets, columns, rankings and counts by number, must not be used until Refresh,
// which renumbers the machines and invalidates each of them. Numbers must not be stored across calls of Refresh.
//
// # Ownership and concurrency
//
// An Index, its entries, sets, columns and placements belong to one Placer. None of them is safe for concurrent use. Results
// that are documented as valid until another call share memory with the Index.
//
// # Determinism
//
// Equal sequences of calls give equal results. Cores and memory are summed in a fixed order, so that floating-point sums are
// equal to the last bit.
package machineindex
