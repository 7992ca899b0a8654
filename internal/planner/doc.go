// Package planner owns the arithmetic of capacity: which limit a load meets first on a fleet, at what multiple of the load,
// what more nodes or fewer would change, and why. It must not do I/O or run anything; internal/testbed/plancheck checks its
// predictions by emulation. docs/planner.md describes the method.
//
// All functions are pure: they change none of their arguments and may be called by several goroutines.
package planner
