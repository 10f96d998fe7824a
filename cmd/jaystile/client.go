package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/jaystile/jaystile/internal/connection/jaytls"
	"github.com/jaystile/jaystile/pkg/jayclient"
	"github.com/jaystile/jaystile/pkg/jayrefusal"
)

// connection holds the options for connecting to the entries.
type connection struct {
	Entries string        `long:"entries" env:"JAYSTILE_ENTRIES" default:"127.0.0.1:8080" description:"addresses of entries, separated by commas"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"time for the whole command"`
	TLS     string        `long:"authority" env:"JAYSTILE_AUTHORITY" description:"file of the certificates that entries are verified against; without one plain HTTP"`
	JSON    bool          `long:"json" description:"print JSON"`
}

// callerConnection adds a workspace's credential.
type callerConnection struct {
	connection
	Workspace string `long:"workspace" env:"JAYSTILE_WORKSPACE" required:"yes" description:"the caller's workspace"`
	Key       string `long:"key" env:"JAYSTILE_KEY" required:"yes" description:"the workspace's key"`
}

// operatorConnection adds the operators' key.
type operatorConnection struct {
	connection
	OperatorKey string `long:"operator-key" env:"JAYSTILE_OPERATOR_KEY" required:"yes" description:"the operators' key"`
}

// open returns a client, a context with the command's timeout and a function that
// releases both.
func (c connection) open() (*jayclient.Client, context.Context, func()) {
	client, closeClient := jayclient.New(strings.Split(c.Entries, ",")...)
	authority, err := jaytls.Authority(c.TLS)
	if err != nil {
		fmt.Fprintln(os.Stderr, "jaystile:", err)
		os.Exit(exitInvalid)
	}
	client.Authority = authority
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	return client, ctx, func() {
		cancel()
		closeClient()
	}
}

func (c callerConnection) open() (*jayclient.Client, context.Context, func()) {
	client, ctx, done := c.connection.open()
	client.Workspace = c.Workspace
	client.Key = c.Key
	return client, ctx, done
}

func (c operatorConnection) open() (*jayclient.Client, context.Context, func()) {
	client, ctx, done := c.connection.open()
	client.OperatorKey = c.OperatorKey
	return client, ctx, done
}

// Exit statuses of refused jobs and commands, by outcome.
const (
	exitNotRun  = 4
	exitUnknown = 5
	exitRan     = 6
)

// refusalError wraps a refusal with the exit status of its outcome.
func refusalError(err error) error {
	if err == nil {
		return nil
	}
	switch jayrefusal.From(err).Outcome() {
	case jayrefusal.NotRun:
		return &exitError{status: exitNotRun, cause: err}
	case jayrefusal.Ran:
		return &exitError{status: exitRan, cause: err}
	default:
		return &exitError{status: exitUnknown, cause: err}
	}
}

// print prints a value as JSON if --json is set, and calls printText otherwise.
func (c connection) print(v any, printText func()) error {
	if !c.JSON {
		printText()
		return nil
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
