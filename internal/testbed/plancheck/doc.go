// Package plancheck checks the planner's predictions by emulation: it converts a scripted day, or a captured load, into the
// planner's fleet and load, and searches for the multiple of the load at which a service goal is missed. It must not decide
// what the limits are. Its functions are safe for concurrent use.
package plancheck
