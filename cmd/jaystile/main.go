// Command jaystile schedules multi-accelerator jobs under workspace guarantees.
// Its subcommands are the roles of a deployment and the operators' tools.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"
)

// Exit statuses, as docs/CLI.md lists them.
const (
	exitOK      = 0
	exitFailed  = 1
	exitUsage   = 2
	exitInvalid = 3
)

// options are accepted before every subcommand.
type options struct {
	Verbose bool `short:"v" long:"verbose" description:"log changes of state at debug level too"`
}

// exitError is an error with the exit status of the command.
type exitError struct {
	status int
	cause  error
}

// Error implements error.
func (e *exitError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.cause }

var globalOptions options

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	parser := flags.NewParser(&globalOptions, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "jaystile"
	for _, register := range commands {
		register(parser)
	}
	_, err := parser.ParseArgs(args)
	return exitStatus(err)
}

// commands holds the functions that add the subcommands to the parser.
var commands = []func(*flags.Parser){
	addEntry, addSide, addCellEntry, addCellSide, addStandin, addDemo, addSettings, addManifest, addJob, addWhy, addStatus, addTimeline, addLoad, addPolicy, addPlay, addLosses, addCheck, addVersion,
}

// exitStatus prints the error to stderr and returns the exit status.
func exitStatus(err error) int {
	if err == nil {
		return exitOK
	}
	var f *flags.Error
	if errors.As(err, &f) {
		if f.Type == flags.ErrHelp {
			fmt.Println(f.Message)
			return exitOK
		}
		fmt.Fprintln(os.Stderr, "jaystile:", f.Message)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "jaystile:", err)
	var e *exitError
	if errors.As(err, &e) {
		return e.status
	}
	return exitFailed
}

// addCommand registers a subcommand. It panics on failure, which is a programming
// error.
func addCommand(c interface {
	AddCommand(string, string, string, any) (*flags.Command, error)
}, name, short, usage string, data any) *flags.Command {
	command, err := c.AddCommand(name, short, usage, data)
	if err != nil {
		panic(fmt.Errorf("register command %s: %w", name, err))
	}
	return command
}

// signalContext returns a context that is canceled by SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

func newLogger() zerolog.Logger {
	level := zerolog.InfoLevel
	if globalOptions.Verbose {
		level = zerolog.DebugLevel
	}
	return zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
}
