package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

const usageVersion = `Prints the version of this program and of Go.`

// version is the release version; release builds override it.
var version = "0.1.0-dev"

type versionCommand struct {
	JSON bool `long:"json" description:"print JSON"`
}

func addVersion(p *flags.Parser) {
	addCommand(p, "version", "print the version", usageVersion, &versionCommand{})
}

type versionJSON struct {
	Version  string `json:"version"`
	Go       string `json:"go"`
	Revision string `json:"revision"`
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	v := versionJSON{Version: version, Go: runtime.Version()}
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				v.Revision = s.Value
			}
		}
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(v)
	}
	fmt.Printf("jaystile %s (%s)\n", v.Version, v.Go)
	return nil
}
