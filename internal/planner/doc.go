// Package planner estimates the capacity of a fleet analytically: which limit a growing load reaches first, at which multiple of
// the present load, and how additional or removed nodes change that. internal/testbed/plancheck compares its predictions with
// emulations. docs/planner.md describes the method.
//
// All functions are pure: they do no I/O, do not change their arguments and are safe for concurrent use.
package planner
