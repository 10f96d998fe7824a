package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/jaystile/jaystile/internal/version/jayconfig"
	jayadapter "github.com/jaystile/jaystile/platform"
)

const usageCheck = `Checks a configuration of the users' platform offline, before it is sent. It lists parts that cannot be decoded, routes that never match, keys of two workspaces and limits that contradict each other, and with --against the differences from the version in force. Keys are shown by the first digits of their SHA-256 hash. It exits with 3 if there are errors.`

type checkCommand struct {
	outputOption
	Against      string `long:"against" value-name:"FILE" description:"the configuration in force"`
	Accelerators int    `long:"accelerators" description:"accelerators of all runners, to compare the guarantees with; 0 skips this"`
	Args         struct {
		Configuration string `positional-arg-name:"CONFIGURATION"`
	} `positional-args:"yes" required:"yes"`
}

func addCheck(p *flags.Parser) {
	addCommand(p, "check", "check a configuration of the users' platform offline", usageCheck, &checkCommand{})
}

type checkJSON struct {
	Errors   int           `json:"errors"`
	Warnings int           `json:"warnings"`
	Findings []findingJSON `json:"findings"`
	Changes  []changeJSON  `json:"changes"`
}

type findingJSON struct {
	Severity string `json:"severity"`
	Code     string `json:"code"`
	Subject  string `json:"subject"`
	Message  string `json:"message"`
}

type changeJSON struct {
	Change  string `json:"change"`
	Subject string `json:"subject"`
	Field   string `json:"field,omitempty"`
	From    string `json:"from,omitempty"`
	To      string `json:"to,omitempty"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if c.Accelerators < 0 {
		return &exitError{status: exitUsage, cause: fmt.Errorf("accelerators must be 0 or more")}
	}
	b, err := os.ReadFile(c.Args.Configuration)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	var inForce []byte
	if c.Against != "" {
		if inForce, err = os.ReadFile(c.Against); err != nil {
			return fmt.Errorf("read configuration in force: %w", err)
		}
	}
	r := jayadapter.CheckConfig(b, inForce, c.Accelerators)
	if c.JSON {
		err = json.NewEncoder(os.Stdout).Encode(checkToJSON(r))
	} else {
		c.printReport(r)
	}
	if err != nil {
		return fmt.Errorf("print: %w", err)
	}
	if err := r.Err(); err != nil {
		return &exitError{status: exitInvalid, cause: err}
	}
	return nil
}

func checkToJSON(r jayconfig.Report) checkJSON {
	out := checkJSON{Errors: r.Count(jayconfig.SeverityError), Warnings: r.Count(jayconfig.SeverityWarning), Findings: []findingJSON{}, Changes: []changeJSON{}}
	for _, f := range r.Findings {
		out.Findings = append(out.Findings, findingJSON{Severity: f.Severity.String(), Code: f.Code, Subject: f.Subject, Message: f.Message})
	}
	for _, x := range r.Changes {
		out.Changes = append(out.Changes, changeJSON{Change: x.Kind.String(), Subject: x.Subject, Field: x.Field, From: x.From, To: x.To})
	}
	return out
}

func (c *checkCommand) printReport(r jayconfig.Report) {
	for _, f := range r.Findings {
		fmt.Printf("%s: %s\n", c.Args.Configuration, f)
	}
	for _, x := range r.Changes {
		fmt.Println(x)
	}
	fmt.Printf("%s: errors: %d, warnings: %d, changes: %d\n", c.Args.Configuration, r.Count(jayconfig.SeverityError), r.Count(jayconfig.SeverityWarning), len(r.Changes))
}
