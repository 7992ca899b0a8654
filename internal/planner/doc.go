// Package planner computes the capacity of a fleet: which limit a load meets first, at what multiple of the load, and what
// adding or removing nodes changes. It does no I/O and does not emulate anything; internal/testbed/plancheck checks its
// predictions by emulation. docs/planner.md describes the method.
//
// All functions are pure: they do not change their arguments and are safe for concurrent use.
package planner
