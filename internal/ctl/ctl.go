// Package ctl is the code of chestnutctl, the operators' tool: it checks,
// bundles and compares objects, and shows what a gateway does and why.
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

// The exit codes.
const (
	// ExitOK means success: no fault, no difference, somewhere to run.
	ExitOK = 0
	// ExitFound means that the command found what it looks for: faults, a
	// difference, or a request that may run nowhere.
	ExitFound = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitFailure means that something couldn't be read, written or reached.
	ExitFailure = 3
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("ctl")
	// ErrFile says that a file can't be read or written.
	ErrFile = Errors.NewType("file")
	// ErrGateway says that a gateway can't be reached or understood.
	ErrGateway = Errors.NewType("gateway")
	// ErrUnknown says that an object named on the command line doesn't exist.
	ErrUnknown = Errors.NewType("unknown")
)

// errFound makes a command exit with ExitFound after it has printed all.
var errFound = errors.New("found")

// Env is where commands print.
type Env struct {
	Out io.Writer
	Err io.Writer
}

// Commands are the commands of chestnutctl, for kong.
type Commands struct {
	Check   CheckCommand   `cmd:"" help:"Check the objects below a directory as a whole and list every fault. Exits with 1 where there are faults."`
	Bundle  BundleCommand  `cmd:"" help:"Write the manifest and parts to publish."`
	Diff    DiffCommand    `cmd:"" help:"List what differs between two sets: directories of objects or bundles, or what is published. Exits with 1 where they differ."`
	Dump    DumpCommand    `cmd:"" help:"Print the state of a gateway."`
	Explain ExplainCommand `cmd:"" help:"Say which regions and backend servers may serve a team's requests, and why. Exits with 1 where none may."`
}

// Code prints the error of a command and returns the exit code.
func Code(env *Env, err error) int {
	var faults *objects.FaultError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errFound):
		return ExitFound
	case errors.As(err, &faults):
		for _, f := range faults.Faults {
			fmt.Fprintln(env.Err, f)
		}
		fmt.Fprintf(env.Err, "%d faults\n", len(faults.Faults))
		return ExitFound
	default:
		fmt.Fprintln(env.Err, "chestnutctl:", err)
		return ExitFailure
	}
}

// CheckCommand checks a directory.
type CheckCommand struct {
	Dir string `arg:"" help:"Directory of YAML files."`
}

// Run implements the command.
func (c *CheckCommand) Run(env *Env) error {
	set, err := objects.Load(c.Dir)
	if err != nil {
		return err
	}
	fmt.Fprintf(env.Out, "%d objects, no faults\n", set.Len())
	return nil
}

// The names of files of a bundle's directory.
const (
	manifestFile = published.ValueManifest
	partsDir     = published.ValuePartPrefix
)

// BundleCommand writes a bundle.
type BundleCommand struct {
	Dir string `arg:"" help:"Directory of YAML files."`
	Out string `required:"" help:"Directory to write to. Its files are named as the values to publish: parts/DIGEST first, manifest last. Parts of earlier bundles stay."`
}

// Run implements the command.
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

// writeBundle writes parts that aren't there, and the manifest last, so that
// the directory never holds a manifest without its parts. It returns the
// number of new parts and the bytes written.
func writeBundle(dir string, b *bundle.Bundle) (written, size int, err error) {
	if err := os.MkdirAll(filepath.Join(dir, partsDir), 0o755); err != nil {
		return 0, 0, ErrFile.Wrap(err, "directory %s", dir)
	}
	for digest, data := range b.Parts {
		path := filepath.Join(dir, partsDir, digest)
		if held, err := os.ReadFile(path); err == nil && bundle.Verify(digest, held) == nil {
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

// writeFile replaces a file as a whole.
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

// serviceTimeout bounds the reading of a published configuration.
const serviceTimeout = 30 * time.Second

// loadAny reads a directory of YAML files or of a bundle, or what is published
// at the URL of a configuration service.
func loadAny(source string) (*objects.Set, error) {
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
