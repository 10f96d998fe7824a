package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/jaystile/jaystile/pkg/jayapi"
)

const usageStatus = `Prints the pool as one entry knows it: each worker's accelerators by rack, the
workspaces that use them and those whose home they are.

Each character is one accelerator: '.' is free, a letter is the workspace that
uses it, in upper case for work that cannot be preempted.`

type statusCommand struct{ operatorConnection }

func addStatus(p *flags.Parser) {
	addCommand(p, "status", "print the pool", usageStatus, &statusCommand{})
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	client, ctx, done := c.open()
	defer done()
	s, err := client.Status(ctx)
	if err != nil {
		return refusalError(err)
	}
	return c.print(s, func() { fmt.Fprint(os.Stdout, drawPool(s)) })
}

// drawPool draws the pool in at most 80 columns, without colour.
func drawPool(s *jayapi.Status) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  manifest %d  log %s  %d of %d accelerators free  fragmentation %.2f\n", s.Entry, s.Manifest, s.Log, s.Free, s.Total, s.Fragmentation)
	fmt.Fprintf(&b, "%d waiting, %d running, %d entries\n", s.Waiting, s.Running, len(s.Entries))
	for _, g := range s.UnmetGuarantees {
		fmt.Fprintf(&b, "GUARANTEE WITHOUT A HOME: %s\n", g)
	}
	letters := workspaceLetters(s)
	rack := ""
	for _, w := range s.Workers {
		if w.Rack != rack {
			rack = w.Rack
			fmt.Fprintf(&b, "%s\n", rack)
		}
		fmt.Fprintf(&b, "  %-12.12s %-18s %s%s\n", w.Name, drawAccelerators(w, letters), formatHomes(w, letters), formatFlags(w))
	}
	names := make([]string, 0, len(letters))
	for _, w := range s.Workers {
		for _, h := range w.Homes {
			if l, ok := letters[h.Workspace]; ok {
				names = append(names, fmt.Sprintf("%c %s", l, h.Workspace))
				delete(letters, h.Workspace)
			}
		}
	}
	fmt.Fprintf(&b, ". free  %s\n", strings.Join(names, "  "))
	return b.String()
}

// workspaceLetters assigns a letter to each workspace.
func workspaceLetters(s *jayapi.Status) map[string]rune {
	letters := map[string]rune{}
	next := 'a'
	assignLetter := func(workspace string) {
		if _, ok := letters[workspace]; !ok {
			letters[workspace] = next
			next = 'a' + (next-'a'+1)%26
		}
	}
	for _, w := range s.Workers {
		for _, h := range w.Homes {
			assignLetter(h.Workspace)
		}
		for _, h := range w.Holds {
			assignLetter(h.Workspace)
		}
	}
	return letters
}

func drawAccelerators(w jayapi.WorkerStatus, letters map[string]rune) string {
	var b strings.Builder
	used := 0
	for _, h := range w.Holds {
		letter := string(letters[h.Workspace])
		if !h.Stoppable {
			letter = strings.ToUpper(letter)
		}
		b.WriteString(strings.Repeat(letter, h.Accelerators))
		used += h.Accelerators
	}
	b.WriteString(strings.Repeat(".", max(w.Accelerators-used, 0)))
	return "[" + b.String() + "]"
}

func formatHomes(w jayapi.WorkerStatus, letters map[string]rune) string {
	var parts []string
	for _, h := range w.Homes {
		parts = append(parts, fmt.Sprintf("%c:%d", letters[h.Workspace], h.Accelerators))
	}
	if len(parts) == 0 {
		return ""
	}
	return "home " + strings.Join(parts, " ")
}

func formatFlags(w jayapi.WorkerStatus) string {
	s := ""
	if !w.Linked {
		s += " NOT LINKED"
	}
	if w.Draining {
		s += " DRAINING"
	}
	if w.Quarantined {
		s += " QUARANTINED"
	}
	return s
}
