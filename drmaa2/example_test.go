package drmaa2_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"flaxshelf.example/flaxshelf/drmaa2"
)

// Submits a job to the scheduler that `flaxshelf up` runs, and waits until the job has ended.
func Example() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	client := drmaa2.NewClient("http://127.0.0.1:7171")
	defer client.Close()
	session, err := client.CreateJobSession(ctx, "billing")
	if errors.Is(err, drmaa2.ErrInvalidArgument) { // the session exists already
		session, err = client.OpenJobSession(ctx, "billing")
	}
	if err != nil {
		fmt.Println(err)
		return
	}
	job, err := session.RunJob(ctx, drmaa2.JobTemplate{RemoteCommand: "forecast", JobCategory: "batch",
		ImplementationSpecific: map[string]string{drmaa2.AttrService: "forecast", drmaa2.AttrExpectedRuntime: "5s"}})
	var failure *drmaa2.Error
	if errors.As(err, &failure) && failure.Code == drmaa2.TryLater {
		fmt.Println("retry in", failure.RetryAfter)
		return
	}
	if err != nil {
		fmt.Println(err)
		return
	}
	info, err := job.WaitTerminated(ctx, drmaa2.InfiniteTime)
	fmt.Println(info, err)
}
