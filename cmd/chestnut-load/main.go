// Command chestnut-load sends load to deployments on loopback, checks every
// response and compares policies.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/chestnutspring/chestnutspring/internal/experiment"
	"github.com/chestnutspring/chestnutspring/internal/logging"
	"github.com/chestnutspring/chestnutspring/internal/version"
)

type flags struct {
	Demo     demoCommand      `cmd:"" help:"Start a deployment, send requests to it and check every response."`
	Run      runCommand       `cmd:"" help:"Run experiments and write their results."`
	Compare  compareCommand   `cmd:"" help:"Compare the statistics of two results."`
	Summary  summaryCommand   `cmd:"" help:"Compare the project's own policy with the baselines and the targets."`
	Overhead overheadCommand  `cmd:"" help:"Measure the overhead of a gateway compared to direct calls."`
	Version  kong.VersionFlag `help:"Print the version and exit." env:"-"`
}

func main() {
	var f flags
	k := kong.Parse(&f,
		kong.Name("chestnut-load"),
		kong.Description("Sends load to deployments on loopback, checks every response and compares policies."),
		kong.Vars{"version": version.String()},
		kong.DefaultEnvars("CHESTNUT"),
		kong.UsageOnError(),
	)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	k.FatalIfErrorf(k.Run())
}

// logger returns a logger that writes to standard error.
func logger() *slog.Logger { return logging.New(os.Stderr, slog.LevelInfo) }

type demoCommand struct {
	Deployment string        `help:"Name of a deployment in the directory --examples, or path of a directory of objects." default:"kite-consortium"`
	Examples   string        `help:"Directory of the example deployments." default:"examples"`
	Bin        string        `help:"Directory of the program binaries." default:"bin"`
	Duration   time.Duration `help:"Time during which requests are sent." default:"8s"`
	Seed       uint64        `help:"Random seed of the request arrivals." default:"1"`
	LogDir     string        `help:"Directory for the gateways' logs; not kept by default."`
}

// Run executes the command.
func (c *demoCommand) Run(ctx context.Context) error {
	deployment := deploymentDir(c.Examples, c.Deployment)
	spec, err := experiment.DemoSpec(deployment, c.Duration, c.Seed)
	if err != nil {
		return err
	}
	runner := experiment.Runner{
		GatewayBinary: filepath.Join(c.Bin, "chestnut-gateway"),
		LogDir:        c.LogDir, Log: logger(),
	}
	run, outcomes, err := runner.RunDemo(ctx, spec)
	if err != nil {
		return err
	}
	fmt.Printf("%s: gateways run as processes, all other systems as stand-ins\n", filepath.Base(deployment))
	experiment.WriteRegionTable(os.Stdout, outcomes)
	experiment.WriteFailures(os.Stdout, outcomes)
	run.WriteViolations(os.Stdout)
	f := run.Overall
	if f.Served != f.Sent || len(run.Violations) > 0 {
		return fmt.Errorf("%d of %d requests were served, %d guarantee violations", f.Served, f.Sent, len(run.Violations))
	}
	fmt.Printf("all %d requests received the complete response to their own request\n", f.Sent)
	return nil
}

// deploymentDir returns the directory of a deployment: name itself if it is a
// path, else the directory of that name in examples.
func deploymentDir(examples, name string) string {
	if strings.ContainsRune(name, filepath.Separator) {
		return name
	}
	return filepath.Join(examples, name)
}
