// Command flaxshelf is the scheduler, its clients, its stand-ins and its checkers in one binary.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/drmaa2"
	"flaxshelf.example/flaxshelf/internal/settings"
)

// Exit codes, as --help and docs/operating.md list them.
const (
	exitOK       = 0
	exitFailed   = 1 // what was asked for did not come out: a broken rule, a failed job, an error on the way
	exitUsage    = 2 // a wrong flag, argument or configuration
	exitNotHeard = 3 // the scheduler could not be reached
	exitLater    = 4 // the scheduler asks to try later
	exitTimeout  = 5 // a wait ran out
)

type cli struct {
	Up         upCmd         `cmd:"" help:"Run an inventory, a few stand-in nodes and a scheduler in one process, on loopback."`
	Serve      serveCmd      `cmd:"" help:"Run a scheduler."`
	Platform   platformCmd   `cmd:"" help:"Run a scheduler on the platform, with its protocol and its configuration."`
	Node       nodeCmd       `cmd:"" help:"Run the stand-in nodes of a fleet file."`
	Inventory  inventoryCmd  `cmd:"" help:"Run the stand-in inventory."`
	Job        jobCmd        `cmd:"" help:"Submit and handle jobs, as a DRMAA client."`
	Machines   machinesCmd   `cmd:"" help:"List the nodes as a scheduler sees them."`
	Trial      trialCmd      `cmd:"" help:"Play a scripted day over real sockets and judge the five rules. Exit 1 on a broken rule."`
	Emulate    emulateCmd    `cmd:"" help:"Play a scripted day on a simulated clock."`
	Load       loadCmd       `cmd:"" help:"Send, capture, import and look at loads."`
	Experiment experimentCmd `cmd:"" help:"Compare designs over seeds by emulation, with intervals and a report."`
	Plan       planCmd       `cmd:"" help:"Tell which limit a load meets first, what a goal needs and what losing a part leaves."`
	Verify     verifyCmd     `cmd:"" help:"Judge the recording of a trial again."`
	Replay     replayCmd     `cmd:"" help:"Play a scheduler's recorded steps to the module alone and compare."`
	Config     configCmd     `cmd:"" help:"Check configuration files."`
}

const description = `A scheduler that places long-running jobs on the machines of a cluster.

Exit codes: 0 done; 1 failed or a rule broken; 2 wrong usage or configuration; 3 the scheduler was not reached;
4 the scheduler asks to try later; 5 a wait ran out.`

// env is what commands get of the world.
type env struct {
	ctx      context.Context
	out, err io.Writer
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run is main without the process around it. It returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var c cli
	code := -1
	k, err := kong.New(&c, kong.Name("flaxshelf"), kong.Description(description), kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.Writers(out, errOut),
		kong.Exit(func(n int) { code = n }))
	if err != nil {
		fmt.Fprintln(errOut, "flaxshelf:", err)
		return exitFailed
	}
	kctx, err := k.Parse(args)
	if code >= 0 { // --help
		return code
	}
	if err != nil {
		fmt.Fprintln(errOut, "flaxshelf:", err)
		fmt.Fprintln(errOut, "flaxshelf: see --help")
		return exitUsage
	}
	if err := kctx.Run(&env{ctx, out, errOut}); err != nil {
		fmt.Fprintln(errOut, "flaxshelf:", err)
		return exitCode(err)
	}
	return exitOK
}

// errUsage marks what the caller has to put right.
type errUsage struct{ error }

func (e errUsage) Unwrap() error { return e.error }

func exitCode(err error) int {
	var usage errUsage
	var configErrors settings.ConfigErrors
	switch {
	case errors.As(err, &usage), errors.As(err, &configErrors), errors.Is(err, os.ErrNotExist),
		errors.Is(err, drmaa2.ErrInvalidArgument), errors.Is(err, drmaa2.ErrUnsupportedAttribute):
		return exitUsage
	case errors.Is(err, drmaa2.ErrDrmCommunication):
		return exitNotHeard
	case errors.Is(err, drmaa2.ErrTryLater):
		return exitLater
	case errors.Is(err, drmaa2.ErrTimeout):
		return exitTimeout
	}
	return exitFailed
}

// logger writes structured lines to standard error; debug, info, warn or error.
func logger(w io.Writer, level string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(l).With().Timestamp().Logger()
}
