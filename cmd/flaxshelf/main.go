// Command flaxshelf is the scheduler, its clients, its simulated peers and its checkers in one binary.
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
	exitFailed      = 1 // the command failed: a violated rule, a failed job, any other error
	exitUsage       = 2 // a wrong flag, argument or configuration
	exitUnreachable = 3 // the scheduler could not be reached
	exitTryLater    = 4 // the scheduler answered TryLater
	exitTimeout     = 5 // a wait timed out
)

type commandLine struct {
	Up         upCmd         `cmd:"" help:"Run an inventory, a few stand-in nodes and a scheduler in one process, on loopback."`
	Serve      serveCmd      `cmd:"" help:"Run a scheduler."`
	Platform   platformCmd   `cmd:"" help:"Run a scheduler on the platform, with its protocol and its configuration."`
	Node       nodeCmd       `cmd:"" help:"Run the stand-in nodes of a fleet file."`
	Inventory  inventoryCmd  `cmd:"" help:"Run the stand-in inventory."`
	Job        jobCmd        `cmd:"" help:"Submit and control jobs, as a DRMAA client."`
	Machines   machinesCmd   `cmd:"" help:"List the nodes as a scheduler sees them."`
	Trial      trialCmd      `cmd:"" help:"Play a scripted day over real sockets and check the five rules. Exit 1 on a violation."`
	Emulate    emulateCmd    `cmd:"" help:"Play a scripted day on a simulated clock."`
	Load       loadCmd       `cmd:"" help:"Send, capture, import and show loads."`
	Experiment experimentCmd `cmd:"" help:"Compare designs over seeds by emulation, with intervals and a report."`
	Plan       planCmd       `cmd:"" help:"Show the first limit of a load, the nodes that a goal needs, and the capacity after the loss of a failure domain."`
	Verify     verifyCmd     `cmd:"" help:"Check the recording of a trial again."`
	Replay     replayCmd     `cmd:"" help:"Replay a scheduler's recorded steps to the module and compare its actions."`
	Config     configCmd     `cmd:"" help:"Check configuration files."`
}

const description = `A scheduler that places long-running jobs on the machines of a cluster.

Exit codes: 0 success; 1 failed or a rule violated; 2 wrong usage or configuration; 3 the scheduler could not be reached;
4 the scheduler answered TryLater; 5 a wait timed out.`

// streams are the outputs of a command.
type streams struct {
	out *printer // results
	err *printer // progress and errors
	// log is standard error for the logger. It is not a printer, since a log must continue after a write that failed.
	log io.Writer
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run runs the command line and returns the exit code. Long-running commands end when ctx does.
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
	if parserExit != notExited { // --help
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

// newParser returns the parser of the command line. It calls exit after it has printed help.
func newParser(ctx context.Context, std *streams, commands *commandLine, exit func(code int)) (*kong.Kong, error) {
	return kong.New(commands, kong.Name("flaxshelf"), kong.Description(description), kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.Writers(std.out, std.err), kong.Exit(exit),
		kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(std))
}

func (s *streams) reportError(err error) { s.err.println("flaxshelf:", err) }

// outputError returns an error if results could not be written. A failed write to standard error can't be reported.
func (s *streams) outputError() error {
	if err := s.out.Err(); err != nil {
		return fmt.Errorf("write to standard output: %w", err)
	}
	return nil
}

// usageError reports wrong flags, arguments or files.
type usageError struct{ err error }

func (e usageError) Error() string { return e.err.Error() }

// Unwrap returns the reason.
func (e usageError) Unwrap() error { return e.err }

// exitCode returns the exit code of a command that returned err.
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

// newLogger returns a logger of JSON lines on standard error, with a level of trace, debug, info, warn or error.
func (s *streams) newLogger(level string) zerolog.Logger {
	threshold, err := zerolog.ParseLevel(level)
	if err != nil {
		threshold = zerolog.InfoLevel
	}
	return zerolog.New(s.log).Level(threshold).With().Timestamp().Logger()
}
