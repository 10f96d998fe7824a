// Command jaystile schedules multi-accelerator jobs under workspace guarantees.
// Its roles and its operators' commands are subcommands.
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

// exitError carries the exit status of a command that has said why already.
type exitError struct {
	status int
	cause  error
}

// Error implements error.
func (e *exitError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.cause }

var global options

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	parser := flags.NewParser(&global, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "jaystile"
	for _, register := range commands {
		register(parser)
	}
	_, err := parser.ParseArgs(args)
	return status(err)
}

// commands add their subcommands to the parser.
var commands = []func(*flags.Parser){
	addEntry, addSide, addCellEntry, addCellSide, addStandin, addDemo, addSettings, addManifest, addJob, addWhy, addStatus, addTimeline, addLoad, addPolicy, addPlay, addLosses, addVersion,
}

// status says the error on stderr and returns the exit status.
func status(err error) int {
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

// add registers one subcommand; a failure is a fault of this program.
func add(c interface {
	AddCommand(string, string, string, any) (*flags.Command, error)
}, name, short, usage string, data any) *flags.Command {
	command, err := c.AddCommand(name, short, usage, data)
	if err != nil {
		panic(fmt.Errorf("register command %s: %w", name, err))
	}
	return command
}

// interruptible returns a context that ends at SIGINT or SIGTERM.
func interruptible() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

func logger() zerolog.Logger {
	level := zerolog.InfoLevel
	if global.Verbose {
		level = zerolog.DebugLevel
	}
	return zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
}
