// Package drmaa2 is the Go client of flaxshelf: version 2 of the Distributed Resource Management Application
// API of the Open Grid Forum (GFD.194), with its names and meanings.
//
// The specification defines an API, but no wire protocol. A Client sends calls as JSON over HTTP/1.1 to the daemon of a
// scheduler, and receives changes of jobs as server-sent events; docs/drmaa.md describes the protocol. The package does not
// import packages of the daemon.
//
//	client := drmaa2.NewClient("http://127.0.0.1:7171")
//	defer client.Close()
//	session, err := client.CreateJobSession(ctx, "billing")
//	job, err := session.RunJob(ctx, drmaa2.JobTemplate{RemoteCommand: "forecast", JobCategory: "batch"})
//	info, err := job.WaitTerminated(ctx, drmaa2.InfiniteTime)
//
// Every call takes a context, and returns the error of the context if that has ended. Every other error is an *Error with an
// error code of the specification. errors.Is matches it with the Err variable of that code, such as ErrTryLater. A call that
// does not reach the scheduler returns ErrDrmCommunication.
//
// A Client, its sessions, jobs and arrays are safe for concurrent use. The caller owns the Client and must close it;
// sessions, jobs and arrays need not be closed. The caller owns the values that a call returns.
package drmaa2
