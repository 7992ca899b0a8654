// Package plancheck checks the predictions of package planner by emulation. It converts a scripted day or a captured trace to the
// planner's input, and searches by emulation for the multiple of the load at which a service goal is missed. The capacity limits
// themselves are computed only by package planner. The functions of this package are safe for concurrent use.
package plancheck
