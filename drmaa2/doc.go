// Package drmaa2 is the Go client of flaxshelf: version 2 of the Distributed Resource Management Application
// API of the Open Grid Forum (GFD.194), with its names and meanings.
//
// The specification defines an API and no wire protocol. A Client carries the calls as JSON over HTTP/1.1 to a
// scheduler's daemon, and waits with server-sent events; docs/drmaa.md describes the protocol. The package does not
// depend on the daemon.
//
//	client := drmaa2.NewClient("http://127.0.0.1:7171")
//	defer client.Close()
//	session, err := client.CreateJobSession(ctx, "billing")
//	job, err := session.RunJob(ctx, drmaa2.JobTemplate{RemoteCommand: "forecast", JobCategory: "batch"})
//	info, err := job.WaitTerminated(ctx, drmaa2.InfiniteTime)
//
// Every call takes a context and returns the context's error if that is canceled. Every other error is an *Error with a
// code of the specification, which matches an Err value such as ErrTryLater with errors.Is. A call that does not reach the
// scheduler returns ErrDrmCommunication.
//
// A Client, its sessions, jobs and arrays are safe for concurrent use. The caller owns the Client and must close it;
// sessions, jobs and arrays need not be closed. The caller owns the values that a call returns.
package drmaa2
