// Command flaxshelf runs the scheduler, its DRMAA2 clients, the stand-in nodes and inventory, and the tools that test and plan
// a cluster.
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

// Exit codes. The same list is in the output of --help and in docs/operating.md.
const (
	exitOK          = 0
	exitFailed      = 1 // the command failed: a violated rule, a failed job, or an error without a code of its own
	exitUsage       = 2 // a wrong flag, argument or configuration
	exitUnreachable = 3 // the scheduler could not be reached
	exitTryLater    = 4 // the scheduler rejected the request with TryLater
	exitTimeout     = 5 // a wait for a job timed out
)

type commandLine struct {
	Up         upCmd         `cmd:"" help:"Run an inventory, stand-in nodes and a scheduler in one process, on loopback."`
	Serve      serveCmd      `cmd:"" help:"Run a scheduler."`
	Platform   platformCmd   `cmd:"" help:"Run a scheduler that uses the platform's protocol and configuration."`
	Node       nodeCmd       `cmd:"" help:"Run the stand-in nodes of a fleet file."`
	Inventory  inventoryCmd  `cmd:"" help:"Run the stand-in inventory."`
	Job        jobCmd        `cmd:"" help:"Submit and control jobs through the DRMAA2 API."`
	Machines   machinesCmd   `cmd:"" help:"List the nodes that a scheduler knows."`
	Trial      trialCmd      `cmd:"" help:"Play a scripted day over sockets and check the five rules; exit code 1 if violated."`
	Emulate    emulateCmd    `cmd:"" help:"Emulate a scripted day on a simulated clock."`
	Load       loadCmd       `cmd:"" help:"Send, capture, import and summarize loads."`
	Experiment experimentCmd `cmd:"" help:"Compare designs by emulation over seeds, with confidence intervals and a report."`
	Search     searchCmd     `cmd:"" help:"Play drawn days of the platform's scheduler in simulated time, and find those that break a rule."`
	Plan       planCmd       `cmd:"" help:"Predict the limits of a load, the nodes for a goal, and capacity after failures."`
	Verify     verifyCmd     `cmd:"" help:"Check the recording of a trial against the rules."`
	Replay     replayCmd     `cmd:"" help:"Replay recorded placer steps and compare the actions with the recorded ones."`
	Config     configCmd     `cmd:"" help:"Check configuration files and print their schema."`
}

const description = `A scheduler that places long-running jobs on the machines of a cluster.

Exit codes: 0 success; 1 failed or a rule violated; 2 wrong usage or configuration; 3 the scheduler could not be reached;
4 the scheduler answered TryLater; 5 a wait timed out.`

// streams are the output streams of a command.
type streams struct {
	out *printer // results
	err *printer // progress and errors
	// log receives the log lines, on standard error. It is not a printer, because the log must continue after a failed write.
	log io.Writer
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run parses and runs a command line and returns the exit code. Long-running commands end when ctx is done.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	std := &streams{out: newPrinter(out), err: newPrinter(errOut), log: errOut}
	var commands commandLine
	const notExited = -1
	parserExit := notExited
	parser, err := newParser(ctx, std, &commands, func(code int) { parserExit = code })
	if err != nil {
		std.reportError(err)
		return exitFailed
	}
	command, err := parser.Parse(args)
	if parserExit != notExited { // the parser has printed the help
		return parserExit
	}
	if err != nil {
		std.reportError(err)
		std.err.println("flaxshelf: see --help")
		return exitUsage
	}
	if err = applyDeprecatedFlags(command, std.newLogger("warn")); err == nil {
		err = command.Run()
	}
	if err == nil {
		err = std.outputError()
	}
	if err != nil {
		std.reportError(err)
	}
	return exitCode(err)
}

// newParser returns the parser of the command line. The parser calls exit after it has printed help.
func newParser(ctx context.Context, std *streams, commands *commandLine, exit func(code int)) (*kong.Kong, error) {
	return kong.New(commands, kong.Name("flaxshelf"), kong.Description(description), kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.Writers(std.out, std.err), kong.Exit(exit),
		kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(std))
}

func (s *streams) reportError(err error) { s.err.println("flaxshelf:", err) }

// outputError returns an error if a write of results to standard output failed. A failed write to standard error has no
// stream left to be reported on.
func (s *streams) outputError() error {
	if err := s.out.Err(); err != nil {
		return fmt.Errorf("write to standard output: %w", err)
	}
	return nil
}

// usageError reports invalid flags, arguments or input files; its exit code is exitUsage.
type usageError struct{ err error }

func (e usageError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e usageError) Unwrap() error { return e.err }

// exitCode returns the exit code for the error that a command returned.
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

// newLogger returns a logger that writes JSON lines to standard error. The level is trace, debug, info, warn or error; for any
// other value it is info.
func (s *streams) newLogger(level string) zerolog.Logger {
	threshold, err := zerolog.ParseLevel(level)
	if err != nil {
		threshold = zerolog.InfoLevel
	}
	return zerolog.New(s.log).Level(threshold).With().Timestamp().Logger()
}
