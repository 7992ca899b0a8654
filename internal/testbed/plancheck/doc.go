// Package plancheck checks a planner's predictions by emulation: it turns a scripted day, or a captured load, into the
// planner's fleet and load, and searches for the multiple of the load at which a service goal breaks. It must not decide
// what the limits are. Its functions may be called by several goroutines.
package plancheck
