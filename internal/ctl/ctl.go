// Package ctl implements the commands of chestnutctl, the operators' tool. They
// check, bundle and compare objects, print the state of a gateway and explain
// where requests may be served.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/chestnutspring/chestnutspring/internal/bundle"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/published"
)

// Exit codes.
const (
	// ExitOK means success: no faults, no differences, or a region that may
	// serve.
	ExitOK = 0
	// ExitFound means that the command found faults or differences, or that no
	// region may serve the request.
	ExitFound = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
	// ExitFailure means that a file, the configuration service or a gateway
	// could not be read, written or reached.
	ExitFailure = 3
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("ctl")
	// ErrFile is the type of errors for files that can't be read or written.
	ErrFile = Errors.NewType("file")
	// ErrInput is the type of errors for platform configurations that can't be read or
	// aren't JSON. The exit code is ExitUsage.
	ErrInput = Errors.NewType("input")
	// ErrGateway is the type of errors for gateways that are unreachable or
	// respond unexpectedly.
	ErrGateway = Errors.NewType("gateway")
	// ErrUnknown is the type of errors for objects that are named on the command
	// line but don't exist.
	ErrUnknown = Errors.NewType("unknown")
)

// errFound makes a command exit with ExitFound without an error message.
var errFound = errors.New("found")

// Env holds the output streams of a command.
type Env struct {
	Out io.Writer
	Err io.Writer
}

// Commands is the kong grammar of chestnutctl.
type Commands struct {
	Check         CheckCommand         `cmd:"" help:"Check all objects in a directory and list every fault. Exits with 1 if there are faults."`
	CheckPlatform CheckPlatformCommand `cmd:"" help:"Check a platform configuration before it is published, and list its differences from the one in force. Exits with 1 if there are errors, and with 2 if a file can't be read."`
	Bundle        BundleCommand        `cmd:"" help:"Write the manifest and the parts to publish."`
	Diff          DiffCommand          `cmd:"" help:"List the differences between two sets of objects, each from a directory of objects, a bundle or the configuration service. Exits with 1 if they differ."`
	Dump          DumpCommand          `cmd:"" help:"Print the state dump of a gateway."`
	Explain       ExplainCommand       `cmd:"" help:"Explain which regions and backend servers may serve a team's requests. Exits with 1 if none may."`
}

// HandleError prints the error of a command, if any, and returns its exit code.
func HandleError(env *Env, err error) int {
	var faults *objects.FaultError
	// Kong joins errors, which errorx.IsOfType doesn't look into.
	var typed *errorx.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errFound):
		return ExitFound
	case errors.As(err, &faults):
		printFindings(env.Err, faults.Faults)
		fmt.Fprintf(env.Err, "%d faults\n", len(faults.Faults))
		return ExitFound
	case errors.As(err, &typed) && typed.IsOfType(ErrInput):
		fmt.Fprintln(env.Err, "chestnutctl:", err)
		return ExitUsage
	default:
		fmt.Fprintln(env.Err, "chestnutctl:", err)
		return ExitFailure
	}
}

// CheckCommand checks the objects in a directory.
type CheckCommand struct {
	Dir  string `arg:"" help:"Directory of YAML files."`
	JSON bool   `name:"json" help:"Print the findings as JSON."`
}

// Run executes the command.
func (c *CheckCommand) Run(env *Env) error {
	set, err := objects.Load(c.Dir)
	var faults *objects.FaultError
	if c.JSON && (err == nil || errors.As(err, &faults)) {
		var findings []objects.Fault
		if faults != nil {
			findings = faults.Faults
		}
		return printJSON(env.Out, findings)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(env.Out, "%d objects, no faults\n", set.Len())
	return nil
}

// File names in the directory of a bundle.
const (
	manifestFile = published.ValueManifest
	partsDir     = published.ValuePartPrefix
)

// BundleCommand writes the objects in a directory as a bundle.
type BundleCommand struct {
	Dir string `arg:"" help:"Directory of YAML files."`
	Out string `required:"" help:"Directory to write to. Each file is named after the value to publish from it: publish parts/DIGEST first, the manifest last. Parts of earlier bundles are kept."`
}

// Run executes the command.
func (c *BundleCommand) Run(env *Env) error {
	set, err := objects.Load(c.Dir)
	if err != nil {
		return err
	}
	b, err := bundle.Build(set)
	if err != nil {
		return err
	}
	written, size, err := writeBundle(c.Out, b)
	if err != nil {
		return err
	}
	fmt.Fprintf(env.Out, "%d objects in %d parts, %d of them new; %d bytes to publish\n",
		set.Len(), len(b.Parts), written, size)
	return nil
}

// writeBundle writes the missing parts, then the manifest, so that the directory
// never contains a manifest without its parts. It returns the number of parts
// and of bytes written.
func writeBundle(dir string, b *bundle.Bundle) (written, size int, err error) {
	if err := os.MkdirAll(filepath.Join(dir, partsDir), 0o755); err != nil {
		return 0, 0, ErrFile.Wrap(err, "directory %s", dir)
	}
	for digest, data := range b.Parts {
		path := filepath.Join(dir, partsDir, digest)
		if existing, err := os.ReadFile(path); err == nil && bundle.Verify(digest, existing) == nil {
			continue
		}
		if err := writeFile(path, data); err != nil {
			return 0, 0, err
		}
		written++
		size += len(data)
	}
	if err := writeFile(filepath.Join(dir, manifestFile), b.Manifest); err != nil {
		return 0, 0, err
	}
	return written, size + len(b.Manifest), nil
}

// writeFile replaces a file atomically.
func writeFile(path string, data []byte) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, data, 0o644); err != nil {
		return ErrFile.Wrap(err, "file %s", path)
	}
	if err := os.Rename(temporary, path); err != nil {
		return ErrFile.Wrap(err, "file %s", path)
	}
	return nil
}

// serviceTimeout bounds fetching a configuration from the configuration service.
const serviceTimeout = 30 * time.Second

// loadSet loads a set from a directory of YAML files, the directory of a bundle
// or the URL of a configuration service.
func loadSet(source string) (*objects.Set, error) {
	if strings.HasPrefix(source, "http://") || strings.HasPrefix(source, "https://") {
		return loadPublished(source)
	}
	manifest, err := os.ReadFile(filepath.Join(source, manifestFile))
	if errors.Is(err, os.ErrNotExist) {
		return objects.Load(source)
	}
	if err != nil {
		return nil, ErrFile.Wrap(err, "manifest of %s", source)
	}
	return bundle.Open(manifest, func(digest string) ([]byte, error) {
		return os.ReadFile(filepath.Join(source, partsDir, digest))
	})
}

// loadPublished loads the set published at the URL of a configuration service.
func loadPublished(url string) (*objects.Set, error) {
	ctx, cancel := context.WithTimeout(context.Background(), serviceTimeout)
	defer cancel()
	client := published.NewClient(strings.TrimSuffix(url, "/"))
	manifest, err := client.Read(ctx, published.ValueManifest)
	if err != nil {
		return nil, err
	}
	set, err := bundle.Open(manifest.Data, func(digest string) ([]byte, error) {
		part, err := client.Read(ctx, published.ValuePartPrefix+digest)
		return part.Data, err
	})
	if err != nil {
		return nil, err
	}
	set.Revision = manifest.Revision
	return set, nil
}
