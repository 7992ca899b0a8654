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
	exitOK          = 0
	exitFailed      = 1 // the command failed: a broken rule, a failed job, any other error
	exitUsage       = 2 // a wrong flag, argument or configuration
	exitUnreachable = 3 // the scheduler could not be reached
	exitTryLater    = 4 // the scheduler asks to try later
	exitTimeout     = 5 // a wait timed out
)

type commandLine struct {
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
	Plan       planCmd       `cmd:"" help:"Show which limit a load meets first, what a goal needs and what losing a part leaves."`
	Verify     verifyCmd     `cmd:"" help:"Judge the recording of a trial again."`
	Replay     replayCmd     `cmd:"" help:"Play a scheduler's recorded steps to the module alone and compare."`
	Config     configCmd     `cmd:"" help:"Check configuration files."`
}

const description = `A scheduler that places long-running jobs on the machines of a cluster.

Exit codes: 0 done; 1 failed or a rule broken; 2 wrong usage or configuration; 3 the scheduler was not reached;
4 the scheduler asks to try later; 5 a wait ran out.`

// streams are the outputs of a command.
type streams struct {
	out *printer // results
	err *printer // progress and errors
	// log is standard error for the logger, without a printer: a log goes on after a write that failed.
	log io.Writer
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run is main without the process around it. It returns the exit code. Long-running commands end when ctx does.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	std := &streams{out: newPrinter(out), err: newPrinter(errOut), log: errOut}
	var commands commandLine
	const notExited = -1
	parserExit := notExited
	parser, err := kong.New(&commands, kong.Name("flaxshelf"), kong.Description(description), kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.Writers(std.out, std.err),
		kong.Exit(func(code int) { parserExit = code }), kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(std))
	if err != nil {
		std.reportError(err)
		return exitFailed
	}
	command, err := parser.Parse(args)
	if parserExit != notExited { // --help
		return parserExit
	}
	if err != nil {
		std.reportError(err)
		std.err.println("flaxshelf: see --help")
		return exitUsage
	}
	err = command.Run()
	if err == nil {
		err = std.outputError()
	}
	if err != nil {
		std.reportError(err)
	}
	return exitCode(err)
}

func (s *streams) reportError(err error) { s.err.println("flaxshelf:", err) }

// outputError is an error for results that could not be written. What standard error did not take can't be reported.
func (s *streams) outputError() error {
	if err := s.out.Err(); err != nil {
		return fmt.Errorf("write to standard output: %w", err)
	}
	return nil
}

// usageError is an error that the caller mends by other flags, arguments or files.
type usageError struct{ err error }

func (e usageError) Error() string { return e.err.Error() }

// Unwrap is the reason.
func (e usageError) Unwrap() error { return e.err }

// exitCode is the exit code of a command that returned err.
func exitCode(err error) int {
	var usage usageError
	var configErrors settings.ConfigErrors
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage), errors.As(err, &configErrors), errors.Is(err, os.ErrNotExist),
		errors.Is(err, drmaa2.ErrInvalidArgument), errors.Is(err, drmaa2.ErrUnsupportedAttribute):
		return exitUsage
	case errors.Is(err, drmaa2.ErrDrmCommunication):
		return exitUnreachable
	case errors.Is(err, drmaa2.ErrTryLater):
		return exitTryLater
	case errors.Is(err, drmaa2.ErrTimeout):
		return exitTimeout
	}
	return exitFailed
}

// newLogger logs structured lines, from a level on: trace, debug, info, warn or error.
func (s *streams) newLogger(level string) zerolog.Logger {
	threshold, err := zerolog.ParseLevel(level)
	if err != nil {
		threshold = zerolog.InfoLevel
	}
	return zerolog.New(s.log).Level(threshold).With().Timestamp().Logger()
}
