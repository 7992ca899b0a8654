// Package drmaa2 is the Go client of flaxshelf: version 2 of the Distributed Resource Management Application
// API of the Open Grid Forum (GFD.194), with its names and meanings.
//
// The specification defines an API and no wire protocol. A Client carries the calls as JSON over HTTP/1.1 to a
// scheduler's daemon, and waits by server-sent events; docs/drmaa.md describes the protocol. The package imports
// nothing of the daemon.
//
//	client := drmaa2.NewClient("http://127.0.0.1:7171")
//	defer client.Close()
//	session, err := client.CreateJobSession(ctx, "billing")
//	job, err := session.RunJob(ctx, drmaa2.JobTemplate{RemoteCommand: "forecast", JobCategory: "batch"})
//	info, err := job.WaitTerminated(ctx, drmaa2.InfiniteTime)
//
// Every call takes a context and ends with the context's error when it is canceled. Every other error is an *Error
// with a code of the specification; the Err values (ErrTryLater and so on) match it with errors.Is. A call that does
// not reach the scheduler is ErrDrmCommunication.
//
// A Client, its sessions, jobs and arrays may be used by several goroutines. The caller owns the Client and closes it;
// sessions, jobs and arrays need no closing. Values that a call returns belong to the caller.
package drmaa2
