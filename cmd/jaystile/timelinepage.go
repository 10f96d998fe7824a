package main

import (
	"fmt"
	"html/template"
	"os"

	_ "embed"

	"github.com/jaystile/jaystile/pkg/jayapi"
)

//go:embed timeline.html
var timelinePage string

// writeTimelinePage writes the events as a self-contained HTML page.
func writeTimelinePage(file string, t *jayapi.Timeline) error {
	page, err := template.New("timeline").Parse(timelinePage)
	if err != nil {
		return fmt.Errorf("timeline page: %w", err)
	}
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("timeline page: %w", err)
	}
	if err := page.Execute(f, t); err != nil {
		_ = f.Close()
		return fmt.Errorf("timeline page: %w", err)
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("timeline page: %w", err)
	}
	fmt.Printf("%d events written to %s\n", len(t.Events), file)
	return nil
}
