package main

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/jaystile/jaystile/internal/version/jaysettings"
)

const (
	usageSettings        = `Validates settings files and prints examples.`
	usageSettingsCheck   = `Validates a settings file. Every problem is reported with file, line, key, the value and the allowed values. It exits with 3 if the file is invalid.`
	usageSettingsExample = `Prints valid settings, each key with its meaning and unit.`
)

type settingsCommand struct{}

type settingsCheckCommand struct {
	Role string `long:"role" description:"entry, side, standin, cell-entry or cell-side; without it the role that the file fits best"`
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

type settingsExampleCommand struct {
	Args struct {
		Role string `positional-arg-name:"ROLE"`
	} `positional-args:"yes" required:"yes"`
}

func addSettings(p *flags.Parser) {
	c := addCommand(p, "settings", "check settings files", usageSettings, &settingsCommand{})
	addCommand(c, "check", "check a settings file", usageSettingsCheck, &settingsCheckCommand{})
	addCommand(c, "example", "print example settings", usageSettingsExample, &settingsExampleCommand{})
}

// Execute implements flags.Commander.
func (c *settingsCheckCommand) Execute([]string) error {
	source, err := jaysettings.ReadSource(c.Args.File)
	if err != nil {
		return err
	}
	role := jaysettings.Role(c.Role)
	if role == "" {
		role = jaysettings.DetectRole(source)
	}
	if err := jaysettings.Check(role, source); err != nil {
		return &exitError{status: exitInvalid, cause: fmt.Errorf("settings of role %s: %w", role, err)}
	}
	fmt.Printf("%s: settings of role %s are valid\n", c.Args.File, role)
	return nil
}

// Execute implements flags.Commander.
func (c *settingsExampleCommand) Execute([]string) error {
	s, err := jaysettings.Example(jaysettings.Role(c.Args.Role))
	if err != nil {
		return &exitError{status: exitUsage, cause: err}
	}
	fmt.Print(s)
	return nil
}
