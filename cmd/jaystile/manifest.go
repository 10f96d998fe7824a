package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/jaystile/jaystile/internal/process/jaydemo"
	"github.com/jaystile/jaystile/internal/process/jaypool"
	"github.com/jaystile/jaystile/internal/version/jaymanifest"
	"github.com/jaystile/jaystile/internal/version/jayplan"
	"github.com/jaystile/jaystile/pkg/jayapi"
	"github.com/jaystile/jaystile/pkg/jayclient"
)

const (
	usageManifest        = `Checks, publishes and shows manifests.`
	usageManifestCheck   = `Checks a manifest offline and lists all problems with their location. With --workers it also checks that all guarantees fit together in a pool of that many workers, three to a rack.`
	usageManifestPublish = `Publishes a manifest. It is accepted if it builds on the version in force. Publishing the same manifest again has no effect.`
	usageManifestShow    = `Prints the manifest in force or an earlier version.`
	usageManifestHistory = `Lists the versions that an entry keeps.`
	usageManifestDiff    = `Lists what publishing a manifest would change.`
	usageManifestExample = `Prints the manifest of a demo deployment, with the demo's keys.`
	usageManifestHash    = `Prints the salted hash of a workspace's key for use in a manifest.`
	versionPollInterval  = 50 * time.Millisecond
	workersPerRack       = 3
)

type manifestCommand struct{}

type manifestCheckCommand struct {
	Workers      int `long:"workers" default:"11" description:"workers of the pool; 0 checks the file alone"`
	Accelerators int `long:"accelerators" default:"8" description:"accelerators of each worker"`
	Args         struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

type manifestPublishCommand struct {
	operatorConnection
	DryRun bool `long:"dry-run" description:"only say what would change"`
	Wait   bool `long:"wait" description:"return when every known process has it in force"`
	Args   struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

type manifestShowCommand struct {
	operatorConnection
	Version uint64 `long:"version" description:"the version; 0 for the one in force"`
}

type manifestHistoryCommand struct{ operatorConnection }

type manifestDiffCommand struct {
	operatorConnection
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

type manifestExampleCommand struct {
	Base uint64 `long:"base" description:"the version that the manifest builds on"`
	Args struct {
		Deployment string `positional-arg-name:"DEPLOYMENT"`
	} `positional-args:"yes" required:"yes"`
}

type manifestHashCommand struct {
	Args struct {
		Key string `positional-arg-name:"KEY"`
	} `positional-args:"yes" required:"yes"`
}

func addManifest(p *flags.Parser) {
	c := addCommand(p, "manifest", "check, publish and show manifests", usageManifest, &manifestCommand{})
	addCommand(c, "check", "check a manifest offline", usageManifestCheck, &manifestCheckCommand{})
	addCommand(c, "publish", "publish a manifest", usageManifestPublish, &manifestPublishCommand{})
	addCommand(c, "show", "print a manifest", usageManifestShow, &manifestShowCommand{})
	addCommand(c, "history", "list versions", usageManifestHistory, &manifestHistoryCommand{})
	addCommand(c, "diff", "list what a manifest would change", usageManifestDiff, &manifestDiffCommand{})
	addCommand(c, "example", "print a deployment's manifest", usageManifestExample, &manifestExampleCommand{})
	addCommand(c, "hash-key", "hash a workspace's key", usageManifestHash, &manifestHashCommand{})
}

func readManifest(file string) ([]byte, *jaymanifest.Manifest, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, fmt.Errorf("read manifest: %w", err)
	}
	m, err := jaymanifest.Parse(b)
	if err != nil {
		return nil, nil, &exitError{status: exitInvalid, cause: err}
	}
	return b, m, nil
}

// Execute implements flags.Commander.
func (c *manifestCheckCommand) Execute([]string) error {
	b, err := os.ReadFile(c.Args.File)
	if err != nil {
		return fmt.Errorf("read manifest: %w", err)
	}
	m, err := jaymanifest.Parse(b)
	var invalid *jaymanifest.InvalidError
	if errors.As(err, &invalid) {
		for _, p := range invalid.Problems {
			fmt.Fprintf(os.Stderr, "%s: %s\n", c.Args.File, p)
		}
	}
	if err != nil {
		return &exitError{status: exitInvalid, cause: err}
	}
	if c.Workers > 0 {
		pool := jaypool.New()
		for i := range c.Workers {
			pool.Add(fmt.Sprintf("worker-%05d", i), jaypool.NewLocation("dc", fmt.Sprintf("rack-%d", i/workersPerRack), "cell"), c.Accelerators)
		}
		if err := jayplan.Build(m.Base()+1, m.Guarantees(), pool, nil).Err(pool); err != nil {
			return &exitError{status: exitInvalid, cause: err}
		}
	}
	fmt.Printf("%s: manifest is valid: %d workspaces, %d guarantees\n", c.Args.File, len(m.Names()), len(m.Guarantees()))
	return nil
}

// Execute implements flags.Commander.
func (c *manifestPublishCommand) Execute([]string) error {
	b, _, err := readManifest(c.Args.File)
	if err != nil {
		return err
	}
	client, ctx, done := c.open()
	defer done()
	p, err := client.Publish(ctx, b, c.DryRun)
	if err != nil {
		return refusalError(err)
	}
	if c.Wait && !c.DryRun {
		if err := awaitVersion(ctx, client, p.Version); err != nil {
			return err
		}
	}
	return c.print(p, func() {
		effect := "in force"
		if p.DryRun {
			effect = "would be in force"
		}
		fmt.Printf("version %d %s, digest %s\n", p.Version, effect, p.Digest[:12])
		for _, change := range p.Changes {
			fmt.Println(" ", change)
		}
	})
}

// VersionPendingError reports the processes in which a version is not in force yet.
type VersionPendingError struct {
	Version   uint64
	Processes []string
}

// Error implements error.
func (e *VersionPendingError) Error() string {
	return fmt.Sprintf("version %d is not in force yet in %v", e.Version, e.Processes)
}

// awaitVersion waits until the version is in force in every known process.
func awaitVersion(ctx context.Context, client *jayclient.Client, version uint64) error {
	for {
		v, err := client.Versions(ctx)
		if err != nil {
			return refusalError(err)
		}
		var pending []string
		for _, p := range v.Processes {
			if p.Manifest < version {
				pending = append(pending, p.Process)
			}
		}
		if len(pending) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return &VersionPendingError{Version: version, Processes: pending}
		case <-time.After(versionPollInterval):
		}
	}
}

// Execute implements flags.Commander.
func (c *manifestShowCommand) Execute([]string) error {
	client, ctx, done := c.open()
	defer done()
	m, err := client.Manifest(ctx, c.Version)
	if err != nil {
		return refusalError(err)
	}
	return c.print(m, func() { fmt.Printf("# version %d, digest %s\n%s", m.Version, m.Digest, m.Source) })
}

// Execute implements flags.Commander.
func (c *manifestHistoryCommand) Execute([]string) error {
	client, ctx, done := c.open()
	defer done()
	list, err := client.Manifests(ctx)
	if err != nil {
		return refusalError(err)
	}
	return c.print(list, func() {
		for _, m := range list {
			fmt.Printf("version %d  digest %s  %d bytes\n", m.Version, m.Digest[:12], len(m.Source))
		}
	})
}

// Execute implements flags.Commander.
func (c *manifestDiffCommand) Execute([]string) error {
	_, next, err := readManifest(c.Args.File)
	if err != nil {
		return err
	}
	client, ctx, done := c.open()
	defer done()
	current, err := client.Manifest(ctx, 0)
	if err != nil {
		return refusalError(err)
	}
	before, err := jaymanifest.Parse(current.Source)
	if err != nil {
		return err
	}
	p := jayapi.Published{Version: current.Version, Digest: next.DigestString(), Changes: []string{}, DryRun: true}
	for _, change := range jaymanifest.Diff(before, next) {
		p.Changes = append(p.Changes, change.String())
	}
	return c.print(p, func() {
		for _, change := range p.Changes {
			fmt.Println(change)
		}
	})
}

// Execute implements flags.Commander.
func (c *manifestExampleCommand) Execute([]string) error {
	d, err := jaydemo.FindDeployment(c.Args.Deployment)
	if err != nil {
		return &exitError{status: exitUsage, cause: err}
	}
	b, err := d.Manifest(c.Base)
	if err != nil {
		return err
	}
	fmt.Print(string(b))
	return nil
}

// Execute implements flags.Commander.
func (c *manifestHashCommand) Execute([]string) error {
	fmt.Println(jaymanifest.NewCredential(c.Args.Key))
	return nil
}
